#pragma once

#include "base/random.h"
#include "node/detector.h"
#include "node/gossip.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <vector>

namespace Kumquatpick {

struct SimulationOptions {
    // How nodes detect failures. Swim uses the gossip-based failure detector with several observers. SingleObserver
    // is the baseline: each node pings every other node once per second and declares it dead after three misses.
    enum class Detection : uint8_t {
        Swim,
        SingleObserver,
    };

    size_t nodes = 8;
    size_t zones = 3;
    size_t regions = 1;
    double loss = 0; // Fraction of messages lost, in each direction of each call.
    double delayed = 0; // Fraction of messages that take two seconds longer.
    Detection detection = Detection::Swim;
    GossipOptions gossip {};
    DetectorOptions detector {};
    size_t services = 2;
    size_t teams = 10; // Each node reports the usage of each team for each service.
    uint64_t seed = 1;
};

// One observer's verdict that a target is lost.
struct SimulatedVerdict {
    Milliseconds at {};
    size_t observer = 0;
    size_t target = 0;
    bool targetDied = false;
    bool targetPaused = false;
    bool targetResumed = false; // The target was paused before and is running again.
};

// Discrete-event simulation of many nodes. It runs the production classes Gossip and Detector, and takes message sizes
// from the production encoding. Lost calls are not sent again, which is stricter than TCP. The same options give the
// same run.
class MembershipSimulation {
public:
    explicit MembershipSimulation(const SimulationOptions&);
    ~MembershipSimulation();

    void run(Milliseconds duration);
    Milliseconds now() const { return std::chrono::duration_cast<Milliseconds>(m_now.time_since_epoch()); }

    void kill(size_t node);
    void pause(size_t node, Milliseconds duration);
    // Lets one node adopt a newer configuration version, as if it had read it from the log.
    void publish(size_t node, Offset version);

    size_t size() const { return m_nodes.size(); }
    // Returns Dead for targets that are no longer in the observer's digest table.
    Liveness liveness(size_t observer, size_t target) const;
    const Gossip& gossip(size_t node) const;
    // Time at which the node adopted this version; empty if it did not.
    std::optional<Milliseconds> adoptedAt(size_t node, Offset version) const;
    uint64_t bytesSent(size_t node) const;
    const std::vector<SimulatedVerdict>& verdicts() const { return m_verdicts; }
    // Number of times that a node's own probes made it suspect a node that was alive and not paused.
    uint64_t falseSuspicions() const { return m_falseSuspicions; }

private:
    struct Node;
    struct Event;
    using Continue = std::function<void(bool answered)>;

    void schedule(size_t node, std::chrono::nanoseconds delay, std::function<void()>);
    // Runs handle at the target and then done(true) at the caller, or done(false) at the time-out.
    void call(size_t from, size_t to, Milliseconds timeout, std::function<void()> handle, Continue done);
    std::optional<std::chrono::nanoseconds> randomTransitTime(size_t from, size_t to);
    bool randomChance(double share);

    void gossipRound(size_t node);
    void gossipOnce(size_t node);
    void exchange(size_t from, size_t to, const std::shared_ptr<GossipMessage>&, int legsLeft);
    void fetchNewerConfig(size_t node);
    void adoptVersion(size_t node, Offset version);
    OwnReport reportOf(size_t node);
    void probeRound(size_t node);
    void askHelpers(size_t node, const std::shared_ptr<ProbePlan>&, const std::shared_ptr<ProbeResult>&);
    void finishProbe(size_t node, const ProbeResult&);
    void pingRound(size_t node);
    bool ping(size_t from, size_t to);
    void recordPing(size_t observer, size_t target, bool answered);
    void recordLost(size_t observer, size_t target);

    SimulationOptions m_options;
    Random m_random;
    MonotonicTime m_now {};
    uint64_t m_nextEvent = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<SimulatedVerdict> m_verdicts;
    uint64_t m_falseSuspicions = 0;
};

} // namespace Kumquatpick
