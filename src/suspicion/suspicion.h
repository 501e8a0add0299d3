#pragma once

#include "base/clock.h"
#include "suspicion/suspect.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

// The backend server deaths that one node holds against one suspect, as sent to other nodes.
struct SuspicionCount {
    static constexpr size_t maxDeathIds = 4;

    uint64_t fingerprint = 0; // Id of the suspect.
    uint64_t observer = 0; // Incarnation of the node that observed them; the counts of one observer never decrease.
    uint32_t deaths = 0;
    // Of a request: deaths, over all observers, that were cleared by a normal end of it. Of other suspects: deaths that
    // this observer has cleared. Never decreases.
    uint32_t clearedDeaths = 0;
    // Identifies deaths, because a server's death is observed by each node that had such a request there. Of a request:
    // the first ones, at most maxDeathIds; deaths without an id are added up over the observers. Of other suspects: the
    // ones that count, at most maxSharedDeathIds.
    std::vector<uint64_t> deathIds {};

    // Only of suspects that different requests share.
    static constexpr size_t maxSharedDeathIds = 8;
    static constexpr size_t maxClearedIds = 16;
    static constexpr uint32_t maxDepth = 64;

    SuspectKind kind = SuspectKind::Request;
    uint32_t depth = 0; // The deeper of two suspects is shared by fewer requests.
    std::vector<uint64_t> clearedIds {}; // The latest ones, at most maxClearedIds.
    Milliseconds detectionDelay {}; // From the latest death until the observer knew of it.

    Suspect suspect() const { return { kind, fingerprint }; }
};

// What makes two requests the same one, sent again. Ids and keys of single attempts and deadlines are no part of it:
// callers also resend a request that killed a server under a new one.
struct RequestContent {
    std::string_view target; // Path and query, or the service where a path says nothing.
    std::string_view body;
    // Empty where the same content from two callers counts as one request.
    std::string_view caller {};
    std::string_view host {}; // As requested by the caller, where it decides what the path means.
};
uint64_t requestFingerprint(const RequestContent&);
// As written in logs.
std::string fingerprintName(uint64_t fingerprint);
// A request by its fingerprint, a prompt part by its id as the caller wrote it.
std::string suspectName(const Suspect&);
std::vector<std::string> promptPartNames(const RunSuspects&);

// Detects requests that crash each backend server that runs them. Thread-safe.
class SuspicionTable {
public:
    explicit SuspicionTable(uint64_t selfIncarnation);
    ~SuspicionTable();

    // Whether a request with this fingerprint may be dispatched now. After one death this node runs at most one
    // such request at a time; after a few deaths no node runs any, as far as gossip has spread the counts.
    bool mayDispatch(uint64_t fingerprint, MonotonicTime now) const;
    // Time after which a retry is worthwhile when mayDispatch() returns false.
    Milliseconds retryAfter(uint64_t fingerprint, MonotonicTime now) const;
    // Replicas that a suspected request should avoid, because this node runs another suspected request there: a death
    // would not show which of the two caused it. Empty if the request is not suspected.
    std::vector<std::string> replicasToAvoid(uint64_t fingerprint, MonotonicTime now) const;
    void dispatched(uint64_t fingerprint, std::string_view replica, MonotonicTime now);
    void finished(uint64_t fingerprint, std::string_view replica, MonotonicTime now);
    // Records an end without evidence: the caller disconnected, or the backend server refused the request.
    void withdrawn(uint64_t fingerprint, std::string_view replica);
    // Records the death of a replica against all requests that it was running for this node.
    void replicaDied(std::string_view replica, MonotonicTime now);

    // The counts to send by gossip: those that this node observed, and those of all observers for stopped requests.
    std::vector<SuspicionCount> counts() const;
    void merge(std::span<const SuspicionCount>, MonotonicTime now);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace Kumquatpick
