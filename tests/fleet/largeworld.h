#pragma once

#include "fleet/plannerworld.h"

#include <fmt/format.h>
#include <map>

namespace Kumquatpick {

// 760 hosts in 40 domains of 19, for replicas of eight and of four hosts. Joins take the load time of the weight store
// before traffic; all other orders are executed at once.
class LargeWorld : public PlannerWorld {
public:
    LargeWorld()
        : PlannerWorld({ makeModel("large", 8), makeModel("small", 4) })
    {
        constexpr int hosts = 760;
        constexpr int domains = 40;
        wantedReplicas = { { "large", 47.5 }, { "small", 95 } };
        service.timing.loadsPerSecond = 63;
        service.timing.concurrentLoads = 95;
        for (int i = 0; i < hosts; ++i)
            addHost(fmt::format("host-{:03}", i), fmt::format("domain-{:02}", i % domains));
        handleOrder = [this](const HostOrder& order) { return applyOrderWithLoads(order); };
    }

    // Advances in steps of 100 ms and completes due loads after each.
    void run(Milliseconds duration)
    {
        for (MonotonicTime end = now + duration; now < end;) {
            size_t joins = m_joinCount;
            PlannerWorld::run(Milliseconds(100));
            largestJoinBatch = std::max(largestJoinBatch, m_joinCount - joins);
            completeLoads();
        }
    }

    void replaceController() { startTerm(++m_fencing); }

    size_t joiningHosts() const { return countHostsByHeadState(MemberState::Joining) + m_loadEndTimes.size(); }
    size_t openHosts() const { return countHostsByHeadState(MemberState::Open); }

    int leavesOfMembers = 0;
    size_t largestJoinBatch = 0; // Joins in one plan.

private:
    OrderResult applyOrderWithLoads(const HostOrder& order)
    {
        const Host* host = table.find(order.hostId);
        bool isMember = host && host->isMemberOf(order.replica, order.epoch);
        if (order.kind == OrderKind::Leave && isMember)
            ++leavesOfMembers;
        m_joinCount += order.kind == OrderKind::Join ? 1 : 0;
        bool mustLoad = order.kind == OrderKind::Join && !host->status.hasLocalCopy(order.model);
        OrderResult result = applyOrder(order);
        if (!mustLoad || result != OrderResult::Accepted)
            return result;
        HostStatus status = table.find(order.hostId)->status;
        status.membership->state = MemberState::Joining;
        status.stagedModels.clear();
        table.applyReport(order.hostId, status, now += std::chrono::microseconds(1));
        m_loadEndTimes[order.hostId] = now + Milliseconds(1600);
        return result;
    }

    void completeLoads()
    {
        for (auto load = m_loadEndTimes.begin(); load != m_loadEndTimes.end();) {
            if (load->second > now) {
                ++load;
                continue;
            }
            HostStatus status = table.find(load->first)->status;
            status.stagedModels = { status.lastModel };
            if (status.membership)
                status.membership->state = MemberState::Ready;
            table.applyReport(load->first, status, now += std::chrono::microseconds(1));
            load = m_loadEndTimes.erase(load);
        }
    }

    size_t countHostsByHeadState(MemberState state) const
    {
        size_t count = 0;
        for (const ReplicaView& replica : table.replicas())
            count += replica.head && replica.head->status.membership->state == state ? replica.members.size() : 0;
        return count;
    }

    uint64_t m_fencing = 7;
    size_t m_joinCount = 0;
    std::map<std::string, MonotonicTime> m_loadEndTimes; // By host.
};

} // namespace Kumquatpick
