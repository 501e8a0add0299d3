#include "fleet/servingtargets.h"

#include "fleet/config.h"
#include "fleet/hosttable.h"

#include <algorithm>

namespace Kumquatpick {

namespace {

    bool isHeadIn(const ReplicaView& replica, MemberState state)
    {
        return replica.head && replica.head->status.membership->state == state;
    }

    bool isLeaving(const ReplicaView& replica)
    {
        return std::ranges::any_of(replica.members, [](const Host* member) { return member->draining; });
    }

}

ServingTargets servingTargets(
    const FleetConfig& config, const HostTable& hosts, const std::function<bool(std::string_view zone)>& isEvacuated)
{
    ServingTargets result;
    for (const ReplicaView& replica : hosts.replicas()) {
        if (isHeadIn(replica, MemberState::Closing) && !isLeaving(replica))
            result.retiringHeads.insert(replica.head->id);
        const ServiceSpec* service = config.service(replica.service);
        const ModelSpec* model = service ? service->model(replica.model) : nullptr;
        bool isOpen = isHeadIn(replica, MemberState::Open) && !isLeaving(replica);
        if (!model || !isOpen || !replica.isComplete(model->hostsPerReplica))
            continue;
        uint32_t capacity = service->capacity > 0 ? service->capacity : replica.head->capacity;
        if (std::ranges::any_of(replica.members, [&](const Host* member) { return isEvacuated(member->zone); }))
            capacity = 0;
        result.targets.push_back(
            { replica.head->id, service->name, model->name, replica.head->zone, capacity, model->pace });
    }
    for (const auto& [id, host] : hosts.hosts()) {
        const ServiceSpec* service = config.service(host.service);
        if (service && !service->servesModels() && !host.draining)
            result.targets.push_back(
                { id, service->name, {}, host.zone, isEvacuated(host.zone) ? 0 : host.capacity, 1 });
    }
    return result;
}

} // namespace Kumquatpick
