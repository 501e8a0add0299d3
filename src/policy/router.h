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

// The properties of a request that the choice of its replica uses.
struct RequestShape {
    std::string_view service;
    std::string_view zone; // Zone of the entry node.
    // Hashes of the prompt's prefixes, shortest first, each twice as long as the one before; empty for plain services.
    std::span<const uint64_t> prefixes;
    std::span<const std::string> avoid; // Replicas that were already tried.
};

enum class DispatchEnd : uint8_t {
    Finished,
    CallerGone,
    NotAccepted, // Refused as full, or not sent: no evidence about the replica's health.
    Failed, // Connection lost, timed out or refused by the backend server.
};

// Reports that a replica cached or evicted a prompt prefix. Events may be late or lost.
struct CacheEvent {
    std::string replica;
    uint64_t prefix = 0;
    bool stored = true;
    bool gap = false; // Events before this one were lost, so earlier entries of the replica may be wrong.
};

// Chooses a replica by expected time to first token. One instance serves the whole node. Thread-safe.
class Router {
public:
    explicit Router(Random::result_type seed);
    ~Router();

    // Sets the replicas of a service that may get requests, with their latest reports. Replicas that are not
    // listed get no requests from this call on.
    void setServing(std::string_view service, std::vector<ReplicaSample>);
    void cacheEvent(std::string_view service, const CacheEvent&);

    // Returns the replica's name and counts the request as in flight there; empty if no replica is available.
    std::string choose(const RequestShape&, MonotonicTime now);
    // Each chosen request must be followed by one ended(), and by firstToken() before it if a token arrived.
    void firstToken(
        std::string_view service, std::string_view replica, std::chrono::nanoseconds sinceDispatch, MonotonicTime now);
    void ended(std::string_view service, std::string_view replica, DispatchEnd, MonotonicTime now);

    // Records that the replica refused a request and asked for no further requests for this time.
    void backoffRequested(std::string_view service, std::string_view replica, Milliseconds backoff, MonotonicTime now);

    // The number of requests that the service could start at once; used by admission control.
    uint32_t freeStreams(std::string_view service) const;

private:
    struct ServiceView;
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace Kumquatpick
