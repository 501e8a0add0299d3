#pragma once

#include "fleet/config.h"
#include "fleet/hostorder.h"
#include "fleet/hosttable.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Kumquatpick {

// Simulates hosts of any services that execute orders at once, and the table of what they report, in simulated time.
class HostWorld {
public:
    void addHostOf(
        std::string_view service, const std::string& id, const std::string& domain, const std::string& zone = {})
    {
        Host host;
        host.id = id;
        host.service = service;
        host.address = { "10.0.0.1", static_cast<uint16_t>(1000 + m_addedHosts++) };
        host.status.domain = domain;
        host.zone = zone;
        table.applyListEntry(host, now);
    }

    // These hosts report their status 1 ms later.
    void report(const std::set<std::string, std::less<>>& hostIds)
    {
        now += Milliseconds(1);
        for (const std::string& id : hostIds) {
            const Host* host = table.find(id);
            if (!host || nonReportingHosts.contains(id))
                continue;
            HostStatus status = host->status;
            status.ordersAccepted = ordersAccepted[id];
            table.applyReport(id, status, now);
        }
    }

    // Heads whose requests have ended since they were closed return to ready.
    void finishClosing()
    {
        if (!closingDuration)
            return;
        for (const auto& [id, closedAt] : std::exchange(m_closedAt, {})) {
            const Host* host = table.find(id);
            if (!host || !host->status.membership || host->status.membership->state != MemberState::Closing)
                continue;
            if (now - closedAt < *closingDuration) {
                m_closedAt.emplace(id, closedAt);
                continue;
            }
            HostStatus status = host->status;
            status.membership->state = MemberState::Ready;
            status.ordersAccepted = ordersAccepted[id];
            table.applyReport(id, status, now += Milliseconds(1));
        }
    }

    OrderResult applyOrder(const HostOrder& order)
    {
        const Host* host = table.find(order.hostId);
        if (!host)
            return OrderResult::Lost;
        if (order.expectedOrderCount && *order.expectedOrderCount != ordersAccepted[order.hostId])
            return OrderResult::Unfit;
        HostStatus status = host->status;
        bool isMember = status.membership && status.membership->isOf(order.replica, order.epoch);
        if (order.kind == OrderKind::Leave && !isMember)
            return OrderResult::Holds;
        switch (order.kind) {
        case OrderKind::Join: {
            auto position = std::ranges::find(order.members, order.hostId);
            bool mustLoad = status.lastModel != order.model
                && std::ranges::find(status.stagedModels, order.model) == status.stagedModels.end();
            if (mustLoad) {
                ++loadsByJoin;
                status.stagedModels = { order.model };
            }
            status.model = order.model;
            status.membership = Membership { order.replica, order.epoch,
                static_cast<uint32_t>(position - order.members.begin()), MemberState::Ready };
            break;
        }
        case OrderKind::Open:
        case OrderKind::Close:
            if (!isMember)
                return OrderResult::Unfit;
            status.membership->state = order.kind == OrderKind::Open ? MemberState::Open : MemberState::Closing;
            if (order.kind == OrderKind::Close)
                m_closedAt.try_emplace(order.hostId, now);
            break;
        case OrderKind::Stage:
            ++loadsByStage;
            status.stagedModels = { order.model };
            break;
        case OrderKind::Leave:
            status.membership.reset();
            break;
        }
        status.ordersAccepted = ++ordersAccepted[order.hostId];
        table.applyReport(order.hostId, status, now += Milliseconds(1));
        return order.kind == OrderKind::Leave ? OrderResult::Holds : OrderResult::Accepted;
    }

    std::vector<ReplicaView> openReplicas() const
    {
        std::vector<ReplicaView> result = table.replicas();
        std::erase_if(result, [](const ReplicaView& replica) {
            return !replica.head || replica.head->status.membership->state != MemberState::Open;
        });
        return result;
    }

    HostTable table;
    std::set<std::string, std::less<>> nonReportingHosts; // Listed hosts that do not report.
    std::map<std::string, uint64_t, std::less<>> ordersAccepted; // As counted by the hosts.
    std::optional<Milliseconds> closingDuration; // How long a closed head finishes its requests; nothing: for ever.
    int loadsByJoin = 0; // From the weight store.
    int loadsByStage = 0;
    MonotonicTime now { std::chrono::hours(1) };

private:
    std::map<std::string, MonotonicTime> m_closedAt; // By head.
    size_t m_addedHosts = 0; // Gives each host its own address, also after others were removed.
};

inline ModelSpec makeModel(std::string name, uint32_t hosts)
{
    ModelSpec model;
    model.name = std::move(name);
    model.hostsPerReplica = hosts;
    model.load = Milliseconds(16'000);
    model.warmLoad = Milliseconds(1600);
    return model;
}

} // namespace Kumquatpick
