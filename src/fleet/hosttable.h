#pragma once

#include "fleet/host.h"

#include <functional>
#include <map>
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
};

// What is known of the backend servers: the list's entries, overtaken by what hosts report themselves.
class HostTable {
public:
    // A list entry; keeps a newer status that the host reported itself.
    void listed(Host);
    // The list dropped the entry.
    void unlisted(std::string_view id);
    // A report of the host itself; ignored for hosts that are not listed or if it is older than what is known.
    void reported(std::string_view id, HostStatus);

    const Host* find(std::string_view id) const;
    const std::map<std::string, Host, std::less<>>& hosts() const { return m_hosts; }
    std::vector<ReplicaView> replicas() const;
    // Grows with each change, so that views can be rebuilt only when needed.
    uint64_t version() const { return m_version; }

private:
    std::map<std::string, Host, std::less<>> m_hosts;
    uint64_t m_version = 0;
};

// Whether a status replaces another one of the same host.
bool isNewer(const HostStatus& candidate, const HostStatus& known);

} // namespace Kumquatpick
