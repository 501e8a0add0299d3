#pragma once

#include "base/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Kumquatpick {

// Requests in flight at the backend servers, by host.
using LoadsByHost = std::map<std::string, uint32_t, std::less<>>;

// What the nodes of a zone have in flight, added up by one of them for all, and the sums that other zones' nodes made.
// What is older than a second is left out: its node has ended, or tells another one. Not thread-safe.
class LoadBoard {
public:
    void nodeTold(std::string_view node, LoadsByHost, MonotonicTime now);
    void zoneTold(std::string_view zone, LoadsByHost, MonotonicTime now);

    // Whether any node told its loads lately, so that this one adds up for them.
    bool isUsed(MonotonicTime now) const;
    // Whether the zone's sum is younger than this.
    bool heardOfZone(std::string_view zone, Milliseconds within, MonotonicTime now) const;
    // Of this zone's nodes.
    LoadsByHost zoneTotal(MonotonicTime now) const;
    // Of all nodes but this one.
    LoadsByHost othersOf(std::string_view node, MonotonicTime now) const;

private:
    struct Told {
        LoadsByHost loads;
        MonotonicTime at {};
    };
    using ToldBy = std::map<std::string, Told, std::less<>>;

    static void addUp(const ToldBy&, std::string_view except, MonotonicTime now, LoadsByHost& total);

    ToldBy m_nodes;
    ToldBy m_zones;
};

} // namespace Kumquatpick
