#pragma once

#include "base/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Kumquatpick {

// A model that replicas of a service can be formed for.
struct ModelSpec {
    std::string name;
    uint32_t hostsPerReplica = 1;
    double workShare = 0; // Of the service's work, as the operators expect it at the start; 0..1.
    double pace = 1; // Factor on the service's step times; below 1 is faster.
    Milliseconds load {}; // From the weight store.
    Milliseconds warmLoad {}; // From the host's own staged copy.
};

// How the engines of a service spend their time, for predicting it.
struct EngineTiming {
    double stepMs = 0; // One token of every writing request.
    double perSequenceMs = 0; // Added to a step by each writing request.
    double promptTokensPerSecond = 0;
    double loadsPerSecond = 0; // Loads that may begin, over all hosts.
    uint32_t concurrentLoads = 1; // More share the weight store's rate, so each of them takes longer.
    Milliseconds reportLag {}; // How far a host's own report of its state is behind.
    uint32_t usualPromptTokens = 0;
    uint32_t usualAnswerTokens = 0;
};

struct ServiceSpec {
    std::string name;
    std::vector<ModelSpec> models; // Empty for a plain service.
    EngineTiming timing;
    uint32_t capacity = 0; // Requests that one replica runs at once; 0 if only its hosts know.

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
    bool resumable = false; // A broken stream may go on at another replica.
    bool isPublic = false; // Takes requests without a key.
    Milliseconds timeout {};
    Milliseconds targetLatency {}; // To the first byte; later answers are worth less.
    int priority = 0; // 0 goes first.
    uint32_t maxAttempts = 1; // Replicas that may run one request.
};

struct TeamSpec {
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority; // Goes before the route's.
};

// What callers may send, and how long they may take.
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
    std::vector<TeamSpec> teams; // Empty: no route asks for a key.
    CallerLimits limits;

    const ServiceSpec* service(std::string_view name) const;
};

} // namespace Kumquatpick
