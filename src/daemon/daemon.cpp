#include "daemon/daemon.h"

#include "base/logline.h"
#include "daemon/parts.h"

#include <condition_variable>

namespace Kumquatpick {

namespace {

    // Callers cache addresses for the time to live of a /v1/entries answer, so new requests may arrive until then.
    constexpr Milliseconds entriesTimeToLive { 5'000 };
    constexpr Milliseconds handOverTimeout { 10'000 };
    constexpr Milliseconds handOverPollPeriod { 50 };
    constexpr std::chrono::hours unlimited { 24 };

    // Peers treat the larger incarnation as the newer process, so the start time is in the high bits. The random low
    // bits distinguish two processes that start in the same millisecond.
    uint64_t freshIncarnation()
    {
        constexpr unsigned randomBits = 20;
        auto random = seededFromSystem();
        auto startedAt = static_cast<uint64_t>(wallNow().time_since_epoch().count());
        return startedAt << randomBits | random() >> (64 - randomBits);
    }

    NodeInfo nodeInfo(const DaemonSettings& settings)
    {
        NodeInfo info;
        info.id = { settings.name, freshIncarnation() };
        info.zone = settings.zone;
        info.peerAddress = settings.peerAdvertised;
        info.callerAddress = settings.callerAdvertised;
        return info;
    }

    // Polls a condition that has no notification, until it holds or the deadline passes.
    template <typename Condition> bool pollUntil(Condition&& condition, MonotonicTime deadline)
    {
        std::mutex mutex;
        std::condition_variable neverNotified;
        std::unique_lock lock(mutex);
        while (!condition()) {
            if (monotonicNow() >= deadline)
                return false;
            neverNotified.wait_for(lock, handOverPollPeriod);
        }
        return true;
    }

}

Daemon::Daemon(std::unique_ptr<Parts> parts)
    : m_parts(std::move(parts))
{
}

Daemon::~Daemon() = default;

Result<std::unique_ptr<Daemon>> Daemon::start(const DaemonSettings& settings)
{
    auto parts = std::make_unique<Parts>(settings, nodeInfo(settings));
    BOOST_LEAF_CHECK(parts->start());
    logLine(LogLevel::Info, "node started",
        { { "name", settings.name }, { "zone", settings.zone }, { "incarnation", parts->self.id.incarnation } });
    return std::unique_ptr<Daemon>(new Daemon(std::move(parts)));
}

const Address& Daemon::callerAddress() const { return m_parts->self.callerAddress; }

const Address& Daemon::peerAddress() const { return m_parts->self.peerAddress; }

// The last node of a deployment has no other node to hand its slots to, so the handover has a time limit.
bool Daemon::stop()
{
    Parts& parts = *m_parts;
    logLine(LogLevel::Info, "shutdown started", { { "step", name(Step::Stop) } });
    parts.stopping = true;
    parts.cluster.requestGossipRound();
    pollUntil([] { return false; }, monotonicNow() + entriesTimeToLive);
    parts.callerServer->beginDrain();
    auto limit
        = parts.settings.stopTimeout.count() > 0 ? std::chrono::nanoseconds(parts.settings.stopTimeout) : unlimited;
    bool isDrained = parts.callerServer->drain(monotonicNow() + limit);
    parts.controller.stop();
    bool handedOver
        = pollUntil([&] { return parts.slots.handOver(parts.cluster.liveNodes()); }, monotonicNow() + handOverTimeout);
    logLine(LogLevel::Info, "shutdown finished",
        { { "step", name(Step::Stop) }, { "cut_off", !isDrained }, { "slots_handed_over", handedOver } });
    return isDrained;
}

} // namespace Kumquatpick
