#pragma once

#include "fleet/plannerworld.h"

#include <fmt/format.h>
#include <map>
#include <random>

namespace Kumquatpick {

// A fleet under a full day's load in which hosts fail permanently without notice, a few at a time, and empty hosts
// replace them. Joins and loads take as long as on real engines.
class LossyWorld : public PlannerWorld {
public:
    struct Sizes {
        uint32_t large = 8;
        uint32_t small = 2;
        int domains = 9;
        int hostsPerDomain = 18;
    };

    LossyWorld(Sizes sizes, double wantedLarge, double wantedSmall)
        : PlannerWorld({ makeModel("large", sizes.large), makeModel("small", sizes.small) })
        , m_sizes(sizes)
    {
        closingDuration = Milliseconds(2500); // Most calls of a closing head move to other replicas before that.
        service.models[1].load = Milliseconds(12'000);
        service.models[1].warmLoad = Milliseconds(1100);
        service.timing.loadsPerSecond = 14;
        service.timing.concurrentLoads = 20;
        wantedReplicas = { { "large", wantedLarge }, { "small", wantedSmall } };
        handleOrder = [this](const HostOrder& order) { return applyOrderWithDelays(order); };
        for (int i = 0; i < sizes.domains * sizes.hostsPerDomain; ++i)
            addHost(fmt::format("host-{:03}", m_hostCount++), domainName(i % sizes.domains));
        run(Milliseconds(14'000));
        isBeforeTraffic = false;
    }

    // Advances in steps of 100 ms and completes due joins and loads after each.
    void run(Milliseconds duration)
    {
        for (MonotonicTime end = now + duration; now < end;) {
            PlannerWorld::run(Milliseconds(100));
            completeDueOperations();
        }
    }

    // Fails hosts of the domain that are members of open replicas. They stop answering, and their list entries expire
    // three heartbeats later.
    void loseMembers(int domain, size_t count)
    {
        std::vector<const Host*> members;
        for (const ReplicaView& replica : openReplicas()) {
            if (replica.head->status.domain == domainName(domain))
                members.insert(members.end(), replica.members.begin(), replica.members.end());
        }
        for (size_t i = 0; i < std::min(count, members.size()); ++i) {
            loseHost(*members[(i * m_sizes.large + 1) % members.size()]);
        }
    }

    // Fails this many different hosts of the domain, whether they belong to a replica or not. Returns their number.
    int loseHosts(int domain, int count, unsigned seed)
    {
        std::vector<const Host*> alive;
        for (const auto& [id, host] : table.hosts()) {
            if (host.status.domain == domainName(domain) && !contacts.contains(id))
                alive.push_back(&host);
        }
        std::ranges::shuffle(alive, std::minstd_rand(seed + 1));
        alive.resize(std::min(alive.size(), static_cast<size_t>(count)));
        for (const Host* host : alive)
            loseHost(*host);
        return static_cast<int>(alive.size());
    }

    void addEmptyHosts(int domain, int count)
    {
        for (int i = 0; i < count; ++i)
            addHost(fmt::format("host-{:03}", m_hostCount++), domainName(domain));
    }

    // The number of open replicas whose members are all alive.
    size_t serving(std::string_view model) const
    {
        return static_cast<size_t>(std::ranges::count_if(openReplicas(), [&](const ReplicaView& replica) {
            bool isWhole = std::ranges::none_of(
                replica.members, [this](const Host* member) { return contacts.contains(member->id); });
            return replica.model == model && isWhole;
        }));
    }

private:
    void loseHost(const Host& lost)
    {
        contacts[lost.id] = HostContact::Unreachable;
        nonReportingHosts.insert(lost.id);
        m_unlistTimes[lost.id] = now + Milliseconds(3600);
        for (const ReplicaView& replica : openReplicas()) {
            if (replica.head && std::ranges::find(replica.members, &lost) != replica.members.end())
                stalledHeads.insert(replica.head->id);
        }
    }

    static std::string domainName(int domain) { return fmt::format("domain-{:02}", domain); }

    OrderResult applyOrderWithDelays(const HostOrder& order)
    {
        if (contacts.contains(order.hostId))
            return OrderResult::Lost;
        const Host* host = table.find(order.hostId);
        if (!host)
            return OrderResult::Lost;
        HostStatus previous = host->status;
        OrderResult result = applyOrder(order);
        if (result != OrderResult::Accepted)
            return result;
        const ModelSpec* model = service.model(order.model);
        HostStatus status = table.find(order.hostId)->status;
        if (order.kind == OrderKind::Join) {
            bool isLastModel = previous.lastModel == order.model;
            Milliseconds duration = isLastModel  ? Milliseconds(200)
                : previous.isStaged(order.model) ? model->warmLoad
                                                 : loadTime(*model);
            status.membership->state = MemberState::Joining;
            m_pendingJoins[order.hostId] = { now + duration, *status.membership };
        } else if (order.kind == OrderKind::Stage) {
            status.stagedModels = previous.stagedModels;
            m_pendingLoads[order.hostId] = { now + loadTime(*model), order.model };
        } else if (order.kind == OrderKind::Leave) {
            m_pendingJoins.erase(order.hostId);
        }
        table.applyReport(order.hostId, status, now += std::chrono::microseconds(1));
        return result;
    }

    Milliseconds loadTime(const ModelSpec& model) const { return isBeforeTraffic ? model.load / 10 : model.load; }

    void completeDueOperations()
    {
        std::erase_if(m_pendingJoins, [this](const auto& entry) {
            const auto& [at, membership] = entry.second;
            const Host* host = table.find(entry.first);
            if (at > now)
                return false;
            if (host && host->isMemberOf(membership.replica, membership.epoch)) {
                HostStatus status = host->status;
                status.membership->state = MemberState::Ready;
                table.applyReport(entry.first, status, now += std::chrono::microseconds(1));
            }
            return true;
        });
        std::erase_if(m_pendingLoads, [this](const auto& entry) {
            const auto& [at, model] = entry.second;
            const Host* host = table.find(entry.first);
            if (at > now)
                return false;
            if (host) {
                HostStatus status = host->status;
                status.stagedModels = { model };
                table.applyReport(entry.first, status, now += std::chrono::microseconds(1));
            }
            return true;
        });
        std::erase_if(m_unlistTimes, [this](const auto& entry) {
            if (entry.second > now)
                return false;
            table.removeListEntry(entry.first);
            return true;
        });
    }

    Sizes m_sizes;
    int m_hostCount = 0;
    std::map<std::string, std::pair<MonotonicTime, Membership>> m_pendingJoins; // By host.
    std::map<std::string, std::pair<MonotonicTime, std::string>> m_pendingLoads;
    std::map<std::string, MonotonicTime> m_unlistTimes;
};

} // namespace Kumquatpick
