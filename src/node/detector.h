#pragma once

#include "base/clock.h"
#include "base/random.h"
#include "node/digesttable.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Kumquatpick {

struct DetectorOptions {
    Milliseconds probePeriod { 1000 };
    Milliseconds probeTimeout { 500 }; // Of the direct probe and of each helper's probe.
    size_t helperCount = 3; // Number of nodes asked to probe the target indirectly.
    // Base time from suspicion to the verdict Dead. It is multiplied by log10 of the number of nodes (at least 1), as
    // refutations take longer to spread in a large cluster, and by 1 + the local health penalty.
    Milliseconds suspicionTime { 3000 };
    int maxHealthPenalty = 4;
    // Multiplies the time to the verdict if there was no helper to ask and no other node suspects the target.
    int soleObserverFactor = 3;
};

struct ProbePlan {
    NodeInfo target;
    std::vector<NodeInfo> helpers; // Probe the target indirectly if the direct probe fails.
};

// Outcome of the probes of one ProbePlan.
struct ProbeResult {
    uint64_t targetIncarnation = 0;
    MonotonicTime startedAt {};
    std::optional<NodeId> answeredBy; // The node that answered at the target's address, if any.
    size_t helperSuccesses = 0; // Number of helpers that reached the target.
    size_t helperFailures = 0; // Number of helpers that did not reach the target.
    size_t unansweredHelpers = 0; // Number of helpers that did not answer this node.
};

enum class Liveness : uint8_t {
    Alive,
    Suspect,
    Dead, // Suspected long enough, normally by more than one observer. The verdict may be wrong.
    Gone, // Proven: a newer incarnation with the same name answered at its address or is in the membership list.
};

// SWIM-like failure detector without I/O. Each node probes one other node per period. After a failed probe, other
// nodes probe the target indirectly. Suspicions are sent in digests, and a digest of the suspect with a higher
// sequence refutes them. The verdict Dead needs at least two nodes that cannot reach the target, unless the observer
// had no other node to ask. Verdicts are used to choose partners and to start slot replacement. Safety does not depend
// on them, as only Gone is certain.
class Detector {
public:
    Detector(const NodeInfo& self, DetectorOptions = {});

    // Advances all time-outs. To be called once per probe period, before nextProbe().
    void tick(const DigestTable&, MonotonicTime now);
    std::optional<ProbePlan> nextProbe(const DigestTable&, Random&);
    void recordProbe(const DigestTable&, const ProbeResult&, MonotonicTime now);
    // Reports the incarnation that the membership list gives for a node name. Older incarnations become Gone.
    void recordListed(const DigestTable&, const NodeId&, MonotonicTime now);

    Liveness liveness(uint64_t incarnation) const;
    // Suspects to publish in this node's digest.
    std::vector<IncarnationSequence> ownSuspects() const;
    // Returns the nodes that became Dead or Gone since the last call. The caller removes them from gossip.
    std::vector<uint64_t> takeLost();
    bool ignoresFailedProbes(MonotonicTime now) const { return now < m_ignoreFailuresUntil; }
    int healthPenalty() const { return m_healthPenalty; }

private:
    struct Suspicion {
        uint64_t sequence = 0; // Latest sequence of the suspect when suspected; a higher one refutes.
        MonotonicTime since {};
        bool isOwn = false; // This node suspects it too.
        bool hadNoHelper = false; // No helper was available to repeat this node's failed probe.
        size_t observerCount = 0; // Number of other nodes that suspect it.
    };

    struct Lost {
        Liveness verdict = Liveness::Dead;
        MonotonicTime since {};
        uint64_t sequence = 0;
        bool isPublished = false; // Still published in this node's digest, as other nodes count this observer.
    };

    void detectOwnPause(MonotonicTime now);
    void mergeSuspicions(const DigestTable&, MonotonicTime now);
    void dropRefuted(const DigestTable&);
    void expirePublishedLost(MonotonicTime now);
    void declareDead(const DigestTable&, MonotonicTime now);
    void suspect(const DigestTable&, const ProbeResult&, MonotonicTime now);
    void markLost(uint64_t incarnation, Liveness, MonotonicTime now);
    void adjustHealthPenalty(int change);
    std::chrono::nanoseconds timeToDeadVerdict(const Suspicion&, size_t nodes) const;
    std::vector<NodeInfo> pickHelpers(const DigestTable&, uint64_t target, Random&) const;
    void refillProbeOrder(const DigestTable&, Random&);

    NodeInfo m_self;
    DetectorOptions m_options;
    std::map<uint64_t, Suspicion> m_suspicions;
    std::map<uint64_t, Lost> m_lost;
    std::vector<uint64_t> m_newlyLost;
    std::vector<uint64_t> m_probeOrder; // Nodes still to be probed in the current pass over all nodes.
    std::optional<MonotonicTime> m_lastTick;
    MonotonicTime m_ignoreFailuresUntil {};
    MonotonicTime m_pauseDetectedAt {};
    int m_healthPenalty = 0;
    bool m_probeSuspectNext = false;
};

} // namespace Kumquatpick
