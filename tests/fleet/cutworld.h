#pragma once

#include "fleet/plannerworld.h"

#include <fmt/format.h>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Kumquatpick {

// A fleet of open replicas whose hosts may lose the store, lose the controller or fail. Its streams progress while all
// hosts of a replica are there, whatever the list and the controller's status requests show.
class CutWorld : public PlannerWorld {
public:
    struct Sizes {
        uint32_t large = 12;
        uint32_t small = 6;
        int domains = 2;
        int hostsPerDomain = 27;
    };
    using ReplicaKey = std::pair<std::string, uint64_t>;

    explicit CutWorld(Sizes sizes)
        : PlannerWorld({ makeModel("large", sizes.large), makeModel("small", sizes.small) })
    {
        service.capacity = 20;
        service.timing.stepMs = 6;
        service.timing.perSequenceMs = 0.1;
        service.timing.promptTokensPerSecond = 50'000;
        service.timing.usualPromptTokens = 900;
        wantedReplicas = { { "large", sizes.domains }, { "small", 20 } };
        handleOrder = [this](const HostOrder& order) { return handle(order); };
        closingDuration = Milliseconds(500);
        for (int i = 0; i < sizes.domains * sizes.hostsPerDomain; ++i)
            addHost(fmt::format("host-{:03}", i), fmt::format("domain-{}", i % sizes.domains));
        run(Milliseconds(5000));
        isBeforeTraffic = false;
        wantedReplicas = { { "large", 0.1 }, { "small", 0.1 } }; // No reason to give any replica another model.
        for (const ReplicaView& replica : openReplicas()) {
            std::vector<std::string>& members = m_members[{ replica.name, replica.epoch }];
            members.push_back(replica.head->id);
            for (const Host* member : replica.members) {
                if (member != replica.head)
                    members.push_back(member->id);
            }
        }
        orders.clear();
    }

    void run(Milliseconds duration)
    {
        for (MonotonicTime end = now + duration; now < end;) {
            updateList();
            updateProgress();
            PlannerWorld::run(Milliseconds(100));
        }
    }

    // The host loses the store, and the controller gets this instead of an answer to its status requests.
    void cut(const std::string& id, Milliseconds duration, HostContact contact)
    {
        if (m_dead.contains(id) || m_cutUntil.contains(id))
            return;
        contacts[id] = contact;
        nonReportingHosts.insert(id);
        m_cutUntil[id] = now + duration;
        m_unlistAt.try_emplace(id, now + Milliseconds(3600));
    }

    // Its streams stall, which the nodes report half a second later.
    void kill(const std::string& id, HostContact contact = HostContact::UnreachableByAll)
    {
        m_dead.emplace(id, now);
        m_cutUntil.erase(id);
        contacts[id] = contact;
        nonReportingHosts.insert(id);
        m_unlistAt.try_emplace(id, now + Milliseconds(3600));
    }

    bool isWhole(const ReplicaKey& key) const
    {
        return std::ranges::none_of(m_members.at(key), [this](const std::string& id) { return m_dead.contains(id); });
    }

    // Whole replicas of those at the start that got an order to close or whose hosts were told to leave.
    std::vector<std::string> wholeTakenApart() const
    {
        std::vector<std::string> result;
        for (const auto& [key, members] : m_members) {
            bool isTakenApart = std::ranges::any_of(orders, [epoch = key.second](const HostOrder& order) {
                return order.epoch == epoch && (order.kind == OrderKind::Leave || order.kind == OrderKind::Close);
            });
            if (isTakenApart && isWhole(key))
                result.push_back(key.first);
        }
        return result;
    }

    const std::map<ReplicaKey, std::vector<std::string>>& members() const { return m_members; } // The head first.
    // Hosts that were told to join another replica while the head of theirs could still serve.
    const std::vector<std::string>& joinedTwice() const { return m_joinedTwice; }

    bool hasTraffic = true;

private:
    OrderResult handle(const HostOrder& order)
    {
        if (contacts.contains(order.hostId) && contacts.at(order.hostId) != HostContact::Reachable)
            return OrderResult::Lost;
        for (const auto& [key, members] : m_members) {
            bool isMember = std::ranges::find(members, order.hostId) != members.end();
            if (order.kind == OrderKind::Join && isMember && key.second != order.epoch && mayServe(key))
                m_joinedTwice.push_back(order.hostId);
        }
        OrderResult result = applyOrder(order);
        bool isHeadLeaving = order.kind == OrderKind::Leave && result == OrderResult::Holds;
        for (const auto& [key, members] : m_members) {
            if (isHeadLeaving && key.second == order.epoch && members.front() == order.hostId)
                m_ended.insert(key);
        }
        return result;
    }

    bool mayServe(const ReplicaKey& key) const
    {
        return !m_ended.contains(key) && !m_dead.contains(m_members.at(key).front());
    }

    void updateList()
    {
        table.setListReadAt(now);
        for (auto& [id, at] : m_unlistAt) {
            const Host* host = table.find(id);
            if (!host || at > now)
                continue;
            m_unlisted.insert_or_assign(id, *host);
            table.removeListEntry(id);
        }
        for (const auto& [id, until] : std::exchange(m_cutUntil, {})) {
            if (until > now) {
                m_cutUntil.emplace(id, until);
                continue;
            }
            contacts.erase(id);
            nonReportingHosts.erase(id);
            m_unlistAt.erase(id);
            if (auto found = m_unlisted.find(id); found != m_unlisted.end()) {
                table.applyListEntry(found->second, now);
                m_unlisted.erase(found);
            }
        }
    }

    // New requests go to listed heads only. The last streams of an unlisted head end within two seconds.
    void updateProgress()
    {
        for (const auto& [key, members] : m_members) {
            const std::string& head = members.front();
            auto dead = std::ranges::find_if(members, [this](const auto& id) { return m_dead.contains(id); });
            auto unlistedAt = m_unlistAt.find(head);
            bool hasStreams = hasTraffic && !m_ended.contains(key)
                && (unlistedAt == m_unlistAt.end() || now < unlistedAt->second + Milliseconds(2000));
            inFlight[head] = hasStreams ? 10 : 0;
            if (dead == members.end() && hasStreams)
                progressAt[head] = now - Milliseconds(300);
            bool isStallKnown = dead != members.end() && now - m_dead.at(*dead) > Milliseconds(500);
            if (isStallKnown && hasStreams)
                stalledHeads.insert(head);
        }
    }

    std::map<ReplicaKey, std::vector<std::string>> m_members;
    std::set<ReplicaKey> m_ended; // Their heads have left.
    std::map<std::string, MonotonicTime> m_cutUntil;
    std::map<std::string, MonotonicTime> m_unlistAt;
    std::map<std::string, Host> m_unlisted;
    std::map<std::string, MonotonicTime> m_dead; // And since when.
    std::vector<std::string> m_joinedTwice;
};

} // namespace Kumquatpick
