#pragma once

#include "node/digest.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Kumquatpick {

// The latest digest sequences that the sender has for the nodes of one availability zone.
struct ZoneSummary {
    std::string zone;
    uint64_t membersHash = 0; // Hash of the zone's known incarnations in ascending order.
    std::vector<uint16_t> sequences; // Low bits of the latest sequences, in the same order.
    std::vector<IncarnationSequence> listed; // Replaces the two fields above if the member sets differ.
};

// One message of a gossip exchange. All messages of an exchange are answered in the same way.
struct GossipMessage {
    std::string zone; // Availability zone of the sender.
    bool complete = false; // Contains all zones that the sender knows; set in the first message of an exchange.
    std::vector<ZoneSummary> zones;
    std::vector<uint64_t> wanted; // Incarnations of which the sender requests a newer digest.
    std::vector<uint64_t> unknown; // Incarnations that are not in the sender's table.
    std::vector<NodeDigest> updates;

    bool empty() const { return zones.empty() && wanted.empty() && unknown.empty() && updates.empty(); }
};

} // namespace Kumquatpick
