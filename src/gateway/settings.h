#pragma once

#include "base/address.h"
#include "base/clock.h"
#include "base/settings.h"
#include "fleet/retryallowance.h"

#include <span>
#include <string>
#include <variant>
#include <vector>

namespace Kumquatpick {

// Settings of a gateway node, by flag or variable.
struct GatewaySettings {
    std::string name;
    std::string zone;
    Address callers; // Listens for requests.
    Address readiness; // Listens for the platform's checks and for readers of the metrics.
    Address entries; // Listens for callers that ask which node to use.
    Address peers; // Listens for other nodes.
    std::string seeds; // Peer addresses of some nodes, separated by commas; may be stale.
    Address store;

    std::string cpuShare; // Of one core, that this node may use; decimal. See cpuShareOrUsual().

    Milliseconds stopGrace { 8000 }; // From SIGTERM until the process is killed.
    Milliseconds configWithin { 2000 }; // From its acceptance to its being in force here.
    Milliseconds entriesLifetime { 1000 }; // How long callers may use an answer.
    std::string retryRatio = "0.2"; // Of first sends; decimal.
    std::chrono::seconds retryWindow { 10 };
    uint64_t retryAllowance = 100; // On top, for the whole fleet, in each window.
    uint64_t queuePerReplica = 2; // Calls that may wait at a replica beyond its places and still be in time.

    std::string without; // Parts of the policy that are off, by mechanismNames; for measuring what they are worth.

    RetryLimits retryLimits() const;
    // A usual share if none is given or if it is none: a node serves callers all the same.
    double cpuShareOrUsual() const;
    bool isCpuShareReadable() const;
    std::vector<Address> seedAddresses() const;

    int logDescriptor = 1; // Standard output; tests take another one.
};

// Reads and checks them; all faults are named at once.
std::variant<GatewaySettings, SettingsExit> parseGatewaySettings(
    std::span<const std::string> arguments, const Environment&);

} // namespace Kumquatpick
