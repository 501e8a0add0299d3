#pragma once

#include "fleet/host.h"
#include "fleet/ratelimits.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

// Status of a host as the controller read it, for nodes whose list is behind.
struct ReportedStatus {
    std::string hostId;
    HostStatus status;
    Milliseconds age {}; // Time since it was read.
};

// The state that a node sends to the others several times a second.
struct PeerDigest {
    std::string name;
    uint64_t incarnation = 0; // Identifies this run of the process.
    std::string callers; // Address for callers' requests.
    std::string peers; // Address for digests.
    std::string zone;
    double cpuShare = 0; // In cores.
    bool isStopping = false;
    bool isReady = false;
    bool anyCallSeen = false;
    uint64_t controllerTerm = 0; // Newest term that it read from the log; see ControllerLease.
    uint64_t configVersion = 0;
    std::map<std::string, uint32_t, std::less<>> inFlight; // By host.
    std::map<std::string, double, std::less<>> unmetDemand; // Slots that refused calls would have occupied, by model.
    std::vector<std::string> stalledHeads; // Heads of stalled replicas.
    std::vector<std::string> knownPeers; // Addresses for digests.
    std::vector<ReportedStatus> reported;
    std::vector<HostRateLimit> limits; // Limits that backend servers recently announced or lifted.
};

// Name of one incarnation of a node in the controller log.
std::string incarnationName(std::string_view node, uint64_t incarnation);

// Adds the transit time of a received digest to the ages of what it reports about hosts. A digest received as a request
// may have been delayed for as long as a partition lasted, so its statuses and limits are removed (no time given). A
// digest received as a response is no older than the request.
void addTransitDelay(PeerDigest&, std::optional<Milliseconds> atMost);

std::string encode(const PeerDigest&);
// Returns nothing if the text cannot be decoded.
std::optional<PeerDigest> decodeDigest(std::string_view);

} // namespace Kumquatpick
