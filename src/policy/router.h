#pragma once

#include "base/clock.h"
#include "base/random.h"
#include "policy/replicasample.h"

#include <cstdint>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

// What of a request matters for choosing its replica.
struct RequestShape {
    std::string_view service;
    std::string_view zone; // Of the entry node.
    // Hashes of the prompt's growing prefixes, shortest first; empty for plain services.
    std::span<const uint64_t> prefixes;
    std::span<const std::string> avoid; // Replicas tried already.
};

enum class DispatchEnd : uint8_t {
    Finished,
    CallerGone,
    NotTaken, // Refused as full, or not sent after all: says nothing of the replica's health.
    Failed, // Broken off, timed out or refused by the backend server.
};

// A late and gappy report that a replica stored or dropped the cache of a prompt prefix.
struct CacheEvent {
    std::string replica;
    uint64_t prefix = 0;
    bool stored = true;
    bool gap = false; // Events before this one were lost: what is believed of the replica is doubtful.
};

// Chooses a replica by expected time to first token. One instance serves a whole node; thread-safe.
class Router {
public:
    explicit Router(Random::result_type seed);
    ~Router();

    // The replicas of a service that may get work now, with their latest reports. Replicas left out
    // get nothing from this call on.
    void setServing(std::string_view service, std::vector<ReplicaSample>);
    void cacheEvent(std::string_view service, const CacheEvent&);

    // The replica's name, or empty if none may be chosen; counts the request as in flight there.
    std::string choose(const RequestShape&, MonotonicTime now);
    // Each chosen request is told about until its end.
    void firstToken(
        std::string_view service, std::string_view replica, std::chrono::nanoseconds sinceDispatch, MonotonicTime now);
    void ended(std::string_view service, std::string_view replica, DispatchEnd, MonotonicTime now);

    // The replica refused a request and asked this node to send it nothing for so long.
    void backoffAsked(std::string_view service, std::string_view replica, Milliseconds backoff, MonotonicTime now);

    // Requests that the service could start at once; for admission.
    uint32_t freeStreams(std::string_view service) const;

private:
    struct ServiceView;
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace Kumquatpick
