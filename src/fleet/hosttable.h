#pragma once

#include "fleet/host.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

// Hosts that say they belong to one replica at one epoch.
struct ReplicaView {
    std::string name;
    uint64_t epoch = 0;
    std::string model;
    std::string service;
    const Host* head = nullptr; // nullptr while no host says it is the head.
    std::vector<const Host*> members; // The head included.
    std::vector<const Host*> lapsed; // Members that the list dropped lately; as they were then.

    // As far as the list tells: one that it dropped may have lost only its way to the store.
    bool isWhole(uint32_t hosts) const { return members.size() + lapsed.size() >= hosts; }
};

// What is known of the backend servers. Their list comes late; a host's own report overtakes it until the list had
// time to follow.
//
// Hosts write their entries every second or so, most of them without news: such an entry leaves the version as it is,
// so that nothing is made anew for it. Of 760 hosts that was some 600 new versions a second, and each had every node
// go through all hosts.
class HostTable {
public:
    // False if it says what the list said before.
    bool listed(Host, MonotonicTime at);
    // The list was read up to now; entries that did not come again are as they were.
    void listWasRead(MonotonicTime at) { m_listReadAt = at; }
    // The list dropped the entry.
    void unlisted(std::string_view id);
    // The host says of itself that it drains: from then on it counts as draining, whatever its entry says. Returns
    // whether that is news.
    bool saidDraining(std::string_view id);
    // The listed life of the host with this name; nullptr if none is.
    const Host* findByName(std::string_view name) const;
    // A report of the host itself, of what it was at this time; ignored for hosts that are not listed or if a later one
    // is known.
    void reported(std::string_view id, HostStatus, MonotonicTime at);
    // The time that the host's latest report is of; nothing if it gave none in this life.
    std::optional<MonotonicTime> reportedAt(std::string_view id) const;
    // The orders that it had accepted then, also if the list tells its state by now.
    std::optional<uint64_t> ordersAccepted(std::string_view id) const;
    // Whether a report counts and says other than the list.
    bool isAheadOfList(std::string_view id) const;
    // Lets the list decide again about hosts that did not report lately.
    void expireReports(MonotonicTime now);

    const Host* find(std::string_view id) const;
    const std::map<std::string, Host, std::less<>>& hosts() const { return m_hosts; }
    std::vector<ReplicaView> replicas() const;
    // Grows with each change, so that views can be rebuilt only when needed.
    uint64_t version() const { return m_version; }

private:
    struct Sources {
        Host listed;
        std::optional<HostStatus> reported;
        MonotonicTime reportedAt {}; // The latest, whether it still counts or not.
        // Of all reports in this life: they only grow, so one that counts fewer was held up on its way, by a partition
        // for as long as that lasts.
        std::optional<uint64_t> mostOrders;
        std::string lastModel;
    };

    bool isEarlierLife(const Host&) const;
    bool dropEarlierLife(const Host&);
    void erase(std::string_view id);
    void reportedAfterLapse(std::string_view id, const HostStatus&);
    static void keepLastModel(Sources&, HostStatus&);

    std::map<std::string, Host, std::less<>> m_hosts; // With the status that counts.
    std::map<std::string, Sources, std::less<>> m_sources;
    struct Lapsed {
        Host host;
        MonotonicTime at;
    };
    std::map<std::string, Lapsed, std::less<>> m_lapsed; // Members of replicas, other than heads.
    std::map<std::string, uint64_t, std::less<>> m_firstSeen; // In which order lives appeared; small, and kept.
    std::map<std::string, std::string, std::less<>> m_newestLife; // Its id, by the host's name; kept likewise.
    std::set<std::string, std::less<>> m_saidDraining; // Lives that said so; small, and kept.
    MonotonicTime m_listReadAt {};
    uint64_t m_version = 0;
};

} // namespace Kumquatpick
