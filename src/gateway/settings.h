#pragma once

#include "base/address.h"
#include "base/clock.h"
#include "base/settings.h"
#include "fleet/clientbudget.h"
#include "fleet/retryallowance.h"
#include "fleet/warmuplimits.h"

#include <span>
#include <string>
#include <variant>
#include <vector>

namespace Kumquatpick {

// Settings of a gateway node, given by flags or environment variables.
struct GatewaySettings {
    std::string name;
    std::string zone;
    Address callers; // Listens for callers' requests.
    Address readiness; // Listens for the platform's readiness checks and for metrics scrapers.
    Address entries; // Listens for callers that request the list of nodes.
    Address peers; // Listens for other nodes.
    std::string seeds; // Peer addresses of some nodes, separated by commas; may be outdated.
    Address store;

    std::string firstStart = "false"; // Whether all nodes start now, and for the first time.
    std::string cpuShare; // Share of one core that this node may use; decimal. See cpuShareOrDefault().

    Milliseconds stopGrace { 8000 }; // From SIGTERM until the process is killed.
    Milliseconds configWithin { 2000 }; // From the acceptance of a configuration until it is in force here.
    Milliseconds leaveWithin { 2000 }; // From the acceptance of a host's leaving until it gets no more work.
    Milliseconds evacuateWithin { 5000 }; // From the request to evacuate a zone until it gets nothing new.
    Milliseconds heartbeat { 1200 }; // Between two writes of a host's entry in the list of backend servers.
    Milliseconds entriesLifetime { 1000 }; // How long callers may use a list of nodes.
    std::string retryRatio = "0.2"; // Share of first sends; decimal.
    std::chrono::seconds retryWindow { 10 };
    std::string warmupOverrun = "1.5"; // What a cold server takes in any second, as a multiple of its rate; decimal.
    uint64_t warmupAllowance = 5; // Requests that it takes beyond that.
    uint64_t retryAllowance = 100; // Additional retries of the whole fleet per window.
    uint64_t queuePerReplica = 2; // Calls that may queue at a replica beyond its slots and still meet their deadlines.

    // What clients may make this node hold; 0 stands for a share of what the host has. See the budgets below.
    uint64_t memoryMb = 0; // That this node may use; 0: all of the host's.
    uint64_t maxDescriptors = 0; // That this node may open; 0: as many as the system allows.
    uint64_t callerMemoryMb = 0;
    uint64_t callerConnections = 0;
    uint64_t peerMemoryMb = 0;
    uint64_t peerConnections = 0;
    uint64_t queryMemoryMb = 8; // For each of the addresses for readiness checks and for lists of nodes.
    uint64_t queryConnections = 0; // For each of them.
    Milliseconds bodyPeriod { 10'000 }; // In each of these, a body has to grow at its lowest rate.
    uint64_t bodyBytesPerSecond = 1024; // The lowest rate.
    Milliseconds answerTimeout { 10'000 }; // For a caller to take an answer that has no deadline.

    std::string disabledMechanisms; // Disabled mechanisms, by mechanismNames; used to measure their effect.

    // Between two reads of the list of backend servers, so that one read returns many records; and after a read that
    // changed nothing.
    Milliseconds hostReadPause() const;
    Milliseconds quietHostReadPause() const;
    // Data of a node that reads the list for others is used up to this age.
    Milliseconds maxHostListAge() const;
    bool isFirstStart() const { return firstStart == "true"; }
    RetryLimits retryLimits() const;
    WarmupBound warmupBound() const;
    // The default if the setting is missing or invalid, because a node must serve callers in any case.
    double cpuShareOrDefault() const;
    bool isCpuShareReadable() const;
    std::vector<Address> seedAddresses() const;
    // Of each listener.
    ClientBudget::Limits callerBudget() const;
    ClientBudget::Limits peerBudget() const;
    ClientBudget::Limits queryBudget() const;
    // Bytes that answers to this node's own requests may hold while they arrive.
    size_t exchangeBudget() const;

    int logDescriptor = 1; // Standard output; tests use another descriptor.
};

// Parses and validates the settings; reports all errors at once.
std::variant<GatewaySettings, SettingsExit> parseGatewaySettings(
    std::span<const std::string> arguments, const Environment&);

} // namespace Kumquatpick
