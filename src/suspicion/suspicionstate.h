#pragma once

#include "suspicion/serverruns.h"
#include "suspicion/sharedsuspects.h"
#include "suspicion/suspect.h"
#include "suspicion/suspicion.h"
#include "suspicion/suspicionsettings.h"

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Kumquatpick {

enum class SuspicionVerdict : uint8_t {
    Clear, // Not suspected, or suspected while no request with the same suspect is running.
    AlreadyRunning, // Suspected, and a request with the same suspect is running.
    Stopped, // Too many servers died under it.
};

// The guard against requests that end the servers which run them, deterministic for given events and times: the logic
// of SuspicionTable. Suspects are whole requests, counted here, and what different requests share. Not thread-safe.
class SuspicionState {
public:
    static constexpr size_t maxSuspects = 4096;
    static constexpr size_t maxGossipCounts = 64;
    static constexpr size_t maxObservers = 16; // Per fingerprint; the deaths that more would add decide nothing.
    static constexpr size_t maxNormalEnds = 16384;

    explicit SuspicionState(uint64_t self, SuspicionSettings settings = {});

    SuspicionVerdict verdict(const RunSuspects&, MonotonicTime now) const;
    // Time after which a retry is worthwhile if the verdict is not Clear.
    Milliseconds retryAfter(const RunSuspects&, MonotonicTime now) const;
    std::vector<std::string> replicasToAvoid(const RunSuspects&, MonotonicTime now) const;
    // The number of deaths that count against the suspect now.
    uint32_t deaths(const Suspect&, MonotonicTime now) const;
    uint32_t deaths(uint64_t fingerprint, MonotonicTime now) const;

    void dispatched(const RunSuspects&, std::string_view replica, MonotonicTime now);
    // A part of the answer arrived.
    void wrote(const RunSuspects&, std::string_view replica, MonotonicTime now);
    // Records a normal end, which shows that this request did not cause the earlier deaths.
    void finished(const RunSuspects&, std::string_view replica, MonotonicTime now);
    // Records an end without evidence: the backend server refused the request, or failed it.
    void withdrawn(const RunSuspects&, std::string_view replica);
    // Records that the run ended without an answer: it counts if the replica turns out to have died.
    void abandoned(const RunSuspects&, std::string_view replica, MonotonicTime now);
    // A part of any answer of the replica arrived, so it has not died.
    void heardFrom(std::string_view replica, MonotonicTime now) { m_runs.heardFrom(replica, now); }
    // Whether any request would be counted for a death of the replica.
    bool hasUnanswered(std::string_view replica) const { return m_runs.hasUnanswered(replica); }
    // Returns the suspects against which the death counts.
    std::vector<Suspect> replicaDied(
        std::string_view replica, MonotonicTime now, ServerEndSign = ServerEndSign::ClosedConnection);
    // The replica ended or left for another reason than its requests.
    void replicaLeft(std::string_view replica) { m_runs.forget(replica); }
    // Whether the death of a replica with a unique name is known.
    bool hasDied(std::string_view replica) const { return m_deathCounts.contains(replica); }
    // Whether the suspect is stopped, whatever request it is part of.
    bool isStopped(const Suspect&, MonotonicTime now) const;

    std::vector<SuspicionCount> counts() const;
    // Counts of this node that changed since the last call.
    std::vector<SuspicionCount> takeOwnChanges();
    // Whether one of these changes should not wait: a request was running at the death of a second server, or something
    // that many requests share at the death of any.
    bool hasUrgentChanges() const { return m_hasUrgentChanges || m_shared.hasUrgentChanges(); }
    // Returns the suspects that became stopped.
    std::vector<Suspect> merge(std::span<const SuspicionCount>, MonotonicTime now);
    // Ids of the nodes that are alive, ordered. Until they are known, all are taken to be.
    void setLiveNodes(std::vector<uint64_t> ids) { m_shared.setLiveNodes(std::move(ids)); }

    size_t suspects() const { return m_suspects.size() + m_shared.size(); }

private:
    struct ObservedDeaths {
        uint32_t deaths = 0;
        uint32_t clearedDeaths = 0;
        std::set<uint64_t> deathIds;
    };

    // Of a whole request.
    struct Evidence {
        std::map<uint64_t, ObservedDeaths> byObserver;
        MonotonicTime latestGrowth {}; // When this node last saw the counts grow.

        uint32_t totalDeaths() const;
        uint32_t clearedDeaths() const;
    };

    uint32_t countedDeaths(const Evidence&, MonotonicTime now) const;
    bool isHarmless(uint64_t fingerprint, MonotonicTime now) const;
    void rememberNormalEnd(uint64_t fingerprint, MonotonicTime now);
    void clearDeaths(uint64_t fingerprint, Evidence&);
    void evictSuspects(MonotonicTime now);
    void forgetOldDeaths(MonotonicTime now);
    void countDeath(uint64_t fingerprint, uint64_t death, MonotonicTime now);
    void mergeRequest(const SuspicionCount&, MonotonicTime now);
    bool isStoppedRequest(uint64_t fingerprint, MonotonicTime now) const;
    SuspicionVerdict requestVerdict(uint64_t fingerprint, MonotonicTime now) const;
    // Of what the request shares with others.
    SuspicionVerdict sharedVerdict(const RunSuspects&, MonotonicTime now) const;
    bool isSuspected(const RunSuspects&, MonotonicTime now) const;
    std::span<const SharedSuspects::StoppedRequest> stoppedRequests(MonotonicTime now) const;

    // Deaths of one replica as observed by this node; repeated reports of the same death count once.
    struct DeathCount {
        uint32_t deaths = 0;
        MonotonicTime latest {};
    };

    struct StoppedRequests {
        std::vector<SharedSuspects::StoppedRequest> requests;
        MonotonicTime at {};
        bool isOutdated = true;
    };

    uint64_t deathId(std::string_view replica, MonotonicTime now);

    uint64_t m_self;
    SuspicionSettings m_settings;
    std::map<std::string, DeathCount, std::less<>> m_deathCounts;
    std::unordered_map<uint64_t, Evidence> m_suspects; // By fingerprint.
    mutable StoppedRequests m_stopped;
    SharedSuspects m_shared;
    ServerRuns m_runs;
    std::unordered_map<uint64_t, MonotonicTime> m_normalEnds;
    std::set<uint64_t> m_changed; // Fingerprints whose own counts changed.
    bool m_hasUrgentChanges = false;
};

} // namespace Kumquatpick
