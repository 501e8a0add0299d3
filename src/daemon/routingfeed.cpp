#include "daemon/routingfeed.h"

#include "policy/admission.h"
#include "policy/capacityshare.h"
#include "policy/router.h"

namespace Kumquatpick {

namespace {

    ReplicaSample sampleOf(const ReplicaView& view, const ServiceConfig& service)
    {
        ReplicaSample sample;
        sample.replica = view.replica;
        sample.zone = view.zone;
        sample.streamLimit = service.streamsPerReplica;
        sample.reportedRunning = view.leaderStatus.running;
        sample.reportedQueued = view.leaderStatus.queued;
        sample.reportedCacheUsed = view.leaderStatus.cacheUsed;
        sample.reportedAt = view.leaderStatus.readAt;
        return sample;
    }

    uint32_t runningOf(const std::map<std::string, uint32_t>& running, const std::string& service)
    {
        auto found = running.find(service);
        return found == running.end() ? 0 : found->second;
    }

}

RoutingFeed::RoutingFeed(ReplicaDirectory& directory, Router& router, Admission& admission)
    : m_directory(directory)
    , m_router(router)
    , m_admission(admission)
{
}

void RoutingFeed::refresh(const OperatorConfig& text, const ClusterLoad& load, MonotonicTime now)
{
    for (const auto& service : text.services)
        refreshService(service, load, now);
}

void RoutingFeed::refreshService(const ServiceConfig& service, const ClusterLoad& load, MonotonicTime now)
{
    std::vector<ReplicaSample> serving;
    for (const auto& view : m_directory.replicas(service.name, now)) {
        if (view.reason == NotServing::No)
            serving.push_back(sampleOf(view, service));
    }
    auto streams = static_cast<uint32_t>(serving.size()) * service.streamsPerReplica;
    m_router.setServing(service.name, std::move(serving));
    auto share = capacityShare(
        streams, runningOf(load.remoteRunning, service.name), runningOf(load.localRunning, service.name), load.nodes);
    m_admission.setCapacity(service.name, share, now);
}

} // namespace Kumquatpick
