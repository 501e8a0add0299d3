#pragma once

#include "base/clock.h"
#include "suspicion/suspect.h"
#include "suspicion/suspicion.h"
#include "suspicion/suspicionsettings.h"

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Kumquatpick {

// How far the evidence against a suspect goes.
enum class Standing : uint8_t {
    Clear,
    Suspected, // May run one at a time on this node.
    Stopped,
};

// The evidence against suspects that requests with different contents share. Sound requests share them too, and most
// servers that die run many requests, so each death counts against many suspects that are innocent. Three rules find
// the cause:
//
// - A run that began to write after a death, and went well, clears all that it shares with others of that death.
// - Where such runs are frequent, a death is in doubt until the time is over in which the next one would have shown.
// - Each death counts against one suspect only: the one with the most deaths, and of several the one that the fewest
//   requests share. Whole requests that are stopped are among them.
//
// What is stopped runs nowhere, and so could not be cleared any more. Therefore one node tries it once: a sound run
// clears it, and another death confirms the stop. The nodes take turns; those that are gone have none.
//
// Not thread-safe.
class SharedSuspects {
public:
    static constexpr size_t maxSuspects = 4096;
    static constexpr size_t maxOpenDeaths = 32; // Per suspect.
    static constexpr size_t maxSoundRuns = 16384; // Suspects whose latest sound run is known.
    // A suspect with a sound run this long before a death is likely to have another one soon.
    static constexpr Milliseconds soundRunPeriod { 10'000 };
    // In which a run that begins after a death shows to be sound, and other nodes are told.
    static constexpr Milliseconds verificationTime { 1500 };
    // From the stop until the first node may try, and then until each further one may: callers may send no such request
    // to the first one, or it may have ended.
    static constexpr Milliseconds trialDelay { 3000 };
    static constexpr Milliseconds trialTurn { 2000 };
    static constexpr size_t maxObservers = 16; // Per suspect, that may try it.

    SharedSuspects(uint64_t self, const SuspicionSettings&);

    void recordDispatch(const Suspect&, MonotonicTime now);
    // diedAt: no earlier than the death, and as close to it as is known.
    void recordDeath(const Suspect&, uint32_t depth, uint64_t death, MonotonicTime diedAt, MonotonicTime now);
    // A run of a request with this suspect was sound. begunAt: the server was writing its answer from then on, at the
    // latest.
    void recordSoundRun(const Suspect&, MonotonicTime begunAt, MonotonicTime now);

    // A whole request that is stopped, with the ids of its deaths.
    struct StoppedRequest {
        uint64_t fingerprint = 0;
        std::vector<uint64_t> deaths;
    };

    Standing standing(const Suspect&, std::span<const StoppedRequest>, MonotonicTime now) const;
    // Time until a stopped suspect may run again.
    Milliseconds stopLeft(const Suspect&, MonotonicTime now) const;
    // The number of deaths that count against the suspect now and that nothing else explains.
    uint32_t deaths(const Suspect&, std::span<const StoppedRequest>, MonotonicTime now) const;

    // Counts of this node that changed since the last call.
    std::vector<SuspicionCount> takeOwnChanges();
    bool hasUrgentChanges() const { return !m_changed.empty(); }
    void merge(const SuspicionCount&, MonotonicTime now);
    // Ids of the nodes that are alive, ordered. Until they are known, all are taken to be.
    void setLiveNodes(std::vector<uint64_t> ids) { m_liveNodes = std::move(ids); }

    bool isEmpty() const { return m_evidence.empty(); }
    size_t size() const { return m_evidence.size(); }

private:
    struct Death {
        MonotonicTime at {}; // When this node learned of it, or earlier.
        bool isOwn = false; // Observed by this node.
    };
    struct Cleared {
        MonotonicTime at {};
        bool isOwn = false; // By this node.
    };
    struct Evidence {
        std::map<uint64_t, Death> open; // Deaths by id.
        std::map<uint64_t, Cleared> cleared; // Kept for a while, as they may be reported once more.
        uint32_t ownDeaths = 0; // Ever observed by this node.
        uint32_t ownCleared = 0; // Ever cleared by this node.
        std::set<uint64_t> observers; // Nodes that observed a death.
        uint32_t depth = 0;
        MonotonicTime latestGrowth {};
        MonotonicTime latestDeathAt {};
        MonotonicTime dispatchedAt {}; // Latest run of this node.
        Milliseconds detectionDelay {}; // Of the latest death that this node observed.
    };
    using EvidenceMap = std::unordered_map<Suspect, Evidence, SuspectHash>;
    // The deaths of one suspect that may count against it.
    struct Charge {
        std::vector<uint64_t> confirmed; // Ids, ordered.
        std::vector<uint64_t> doubtful;
    };
    struct Candidate;
    // Which suspects are stopped at one moment.
    struct Assessment {
        std::map<Suspect, MonotonicTime> stopped; // With the time since when.
        std::set<uint64_t> explained; // Deaths that count against one of these, or will unless it proves sound.
        MonotonicTime at {};
        bool isOutdated = true;
    };

    Evidence& evidenceOf(const Suspect&, uint32_t depth, MonotonicTime now);
    static void addObserver(Evidence&, uint64_t observer);
    bool addDeath(Evidence&, uint64_t death, const Death&, MonotonicTime now);
    bool hasSoundRunSince(const Suspect&, MonotonicTime) const;
    void refute(const Suspect&, Evidence&, uint64_t death, MonotonicTime now);
    static void clear(Evidence&, uint64_t death, const Cleared&, MonotonicTime now);
    void evict(MonotonicTime now);
    Charge charge(const Suspect&, const Evidence&, MonotonicTime now) const;
    std::vector<Candidate> candidates(std::span<const StoppedRequest>, MonotonicTime now) const;
    const Assessment& assess(std::span<const StoppedRequest>, MonotonicTime now) const;
    bool isAlive(uint64_t node) const;
    bool isTrialDue(const Suspect&, const Evidence&, MonotonicTime stoppedAt, MonotonicTime now) const;

    uint64_t m_self;
    SuspicionSettings m_settings;
    EvidenceMap m_evidence;
    // When the latest sound run with a suspect began to write.
    std::unordered_map<Suspect, MonotonicTime, SuspectHash> m_soundRuns;
    std::set<Suspect> m_changed; // Suspects whose own counts changed.
    mutable Assessment m_assessment;
    std::vector<uint64_t> m_liveNodes; // Ordered; empty until known.
};

} // namespace Kumquatpick
