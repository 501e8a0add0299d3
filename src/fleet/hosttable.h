#pragma once

#include "fleet/host.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Kumquatpick {

// Hosts of one service that report membership in one replica at one epoch. Hosts of other services may report the same
// name and epoch, under a controller that numbers the replicas of each service by itself.
struct ReplicaView {
    std::string name;
    uint64_t epoch = 0;
    std::string model;
    std::string service;
    const Host* head = nullptr; // nullptr while no host reports that it is the head.
    std::vector<const Host*> members; // Including the head.
    std::vector<const Host*> recentlyUnlisted; // Members recently removed from the list, in their last listed state.
    const Host* unlistedHead = nullptr; // The head, if it was recently removed from the list; it takes no new requests.
    bool isHeadWithdrawn = false; // The unlisted head removed its entry itself, which did not expire.

    // Whether no member is missing. Unlisted hosts count: they may have lost only their connection to the store.
    bool isComplete(uint32_t hosts) const
    {
        return members.size() + recentlyUnlisted.size() + (unlistedHead ? 1 : 0) >= hosts;
    }
};

// A host incarnation that left the list.
struct GoneHost {
    std::string id;
    std::string service;
    Address address;
    bool wasDraining = false;
    bool isReplaced = false; // Another incarnation is listed under its name or at its address.
};

// The known state of the backend servers. Their list is delayed, so a host's own report takes precedence until the list
// has had time to catch up.
//
// Hosts write their entries about once a second, mostly unchanged. An unchanged entry does not change the version, so
// nothing is recomputed for it: otherwise 760 hosts caused about 600 versions a second, and for each one every node
// iterated over all hosts.
class HostTable {
public:
    // Applies an entry of the list. Returns false if it is of no use to nodes that read the list from this one: it is
    // unchanged, and nothing contradicts it.
    bool applyListEntry(Host, MonotonicTime at);
    // The list was read up to this time; entries that it did not repeat are unchanged.
    void setListReadAt(MonotonicTime at) { m_listReadAt = at; }
    // The usual time between two writes of a host's entry, which expires after three of them without a write.
    void setHeartbeat(Milliseconds heartbeat) { m_heartbeat = heartbeat; }
    // The entry was removed from the list.
    void removeListEntry(std::string_view id);
    // The host reported that it is draining. From then on it counts as draining whatever its entry says. Returns false
    // if that was known.
    bool markDraining(std::string_view id);
    // The listed incarnation of the host with this name; nullptr if there is none.
    const Host* findByName(std::string_view name) const;
    // Applies a host's own report of its status at this time, unless a later one is known. For a host that is not
    // listed, it only shows whether the host is still a member of its replica.
    void applyReport(std::string_view id, HostStatus, MonotonicTime at);
    // The time of the host's latest report; nullopt if this incarnation has not reported.
    std::optional<MonotonicTime> reportedAt(std::string_view id) const;
    // The number of orders accepted as of the latest report, even if the list determines the host's status by now.
    std::optional<uint64_t> ordersAccepted(std::string_view id) const;
    // Whether a report is in effect and differs from the list.
    bool differsFromList(std::string_view id) const;
    // The incarnations that left since the last call, oldest first.
    std::vector<GoneHost> takeGone() { return std::exchange(m_gone, {}); }
    // Returns hosts that have not reported recently to their listed status.
    void expireReports(MonotonicTime now);

    const Host* find(std::string_view id) const;
    const std::map<std::string, Host, std::less<>>& hosts() const { return m_hosts; }
    std::vector<ReplicaView> replicas() const;
    // Incremented by each change, so that views are rebuilt only when needed.
    uint64_t version() const { return m_version; }

private:
    struct StatusSources {
        Host listed;
        MonotonicTime listedAt {}; // Latest write of the entry that this node has seen.
        MonotonicTime newsUntil {}; // Until then, unchanged entries are of use to other nodes, too.
        std::optional<HostStatus> reported;
        MonotonicTime reportedAt {}; // Time of the latest report, whether or not it is still in effect.
        // Over all reports of this incarnation. The count only grows, so a report with a lower count was delayed, for
        // example by a partition for as long as it lasts.
        std::optional<uint64_t> maxOrdersAccepted;
        std::string lastModel;
    };

    bool isEarlierIncarnation(const Host&) const;
    bool dropEarlierIncarnation(const Host&, MonotonicTime at);
    bool hasOutlasted(const std::string& laterIncarnation, MonotonicTime at);
    void erase(std::string_view id, bool isReplaced);
    void applyReportOfUnlisted(std::string_view id, const HostStatus&);
    static void keepLastModel(StatusSources&, HostStatus&);

    std::map<std::string, Host, std::less<>> m_hosts; // With the status in effect.
    std::map<std::string, StatusSources, std::less<>> m_sources;
    struct UnlistedHost {
        Host host;
        MonotonicTime at;
        bool isWithdrawn = false; // Its last write is too recent for the entry to have expired.
    };
    std::map<std::string, UnlistedHost, std::less<>> m_recentlyUnlisted; // By host incarnation.
    // Entries that were refused because of this incarnation since it last wrote its own.
    struct Contradiction {
        MonotonicTime since;
        int entries = 0;
    };
    std::map<std::string, Contradiction, std::less<>> m_contradictions; // By the later incarnation; small.
    std::map<std::string, uint64_t, std::less<>> m_firstSeen; // Order of appearance; small, never pruned.
    uint64_t m_appearances = 0;
    std::map<std::string, std::string, std::less<>> m_newestIncarnation; // Incarnation id by host name; never pruned.
    std::vector<GoneHost> m_gone;
    std::set<std::string, std::less<>> m_drainingHosts; // Incarnation ids; small, never pruned.
    MonotonicTime m_listReadAt {};
    Milliseconds m_heartbeat { 1200 };
    uint64_t m_version = 0;
};

} // namespace Kumquatpick
