#pragma once

#include "base/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Kumquatpick {

// A model that replicas of a service can serve.
struct ModelSpec {
    std::string name;
    uint32_t hostsPerReplica = 1;
    double workShare = 0; // Expected share of the service's work at the start, set by the operators; 0..1.
    double pace = 1; // Factor on the service's step times; below 1 is faster.
    Milliseconds load {}; // From the weight store.
    Milliseconds warmLoad {}; // From a staged copy on the host.
};

// Timing parameters of a service's engines, used for predictions.
struct EngineTiming {
    double stepMs = 0; // Time to produce one token for every active request.
    double perSequenceMs = 0; // Added to a step by each active request.
    double promptTokensPerSecond = 0;
    double contextMsPerThousand = 0; // Added to a step by each active request per thousand tokens of its context.
    uint32_t stepsPerPass = 1; // An engine takes on new requests only between passes.
    double loadsPerSecond = 0; // Rate at which loads may begin, over all hosts.
    uint32_t concurrentLoads = 1; // More loads at once share the weight store's bandwidth, so each takes longer.
    Milliseconds reportLag {}; // Delay of a host's own status reports.
    uint32_t usualPromptTokens = 0;
    uint32_t usualAnswerTokens = 0;
};

struct ServiceSpec {
    std::string name;
    std::vector<ModelSpec> models; // Empty for a plain service.
    EngineTiming timing;
    uint32_t capacity = 0; // Concurrent requests per replica; 0 if it is taken from the hosts' entries.

    bool servesModels() const { return !models.empty(); }
    const ModelSpec* model(std::string_view name) const;
};

struct WeightedService {
    std::string service;
    double weight = 1;
};

struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix; // Begins and ends with a slash.
    std::vector<WeightedService> services;
    bool streaming = false;
    bool idempotent = false;
    bool resumable = false; // A broken stream may be resumed at another replica.
    bool isPublic = false; // Accepts requests without a key.
    Milliseconds timeout {};
    Milliseconds targetLatency {}; // To the first byte; later answers earn less credit.
    Milliseconds targetGap {}; // Longest pause between events of a stream that is on time; 0 if none is named.
    int priority = 0; // 0 is the highest.
    uint32_t maxAttempts = 1; // Replicas on which one request may be attempted.
};

struct TeamSpec {
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority; // Overrides the route's priority.
};

// Size limits and time-outs for callers' requests.
struct CallerLimits {
    uint32_t headerBytes = 16 * 1024;
    uint64_t bodyBytes = 4 * 1024 * 1024;
    Milliseconds headerTimeout { 3000 };
    Milliseconds idleTimeout { 15'000 };
};

// One accepted version of the operators' configuration.
struct FleetConfig {
    uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceSpec> services;
    std::vector<TeamSpec> teams; // If empty, no route requires a key.
    CallerLimits limits;

    const ServiceSpec* service(std::string_view name) const;
};

} // namespace Kumquatpick
