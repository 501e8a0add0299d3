#pragma once

#include "base/random.h"
#include "node/detector.h"
#include "node/gossip.h"
#include "node/listednodes.h"
#include "node/transport.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <span>
#include <thread>
#include <vector>

namespace Kumquatpick {

// Callbacks that the daemon supplies. They are called on the view's two threads, with no lock held.
struct ClusterHooks {
    std::function<OwnReport()> ownReport; // The view fills in the suspects itself.
    // Receives a newer accepted configuration from a peer, which works also while the log is unavailable.
    std::function<void(const AcceptedText&)> adoptConfig;
    std::function<void()> gossipRoundDone; // Called after each gossip round, when usage and suspicions are up to date.
    std::function<void(const NodeId&, Liveness)> nodeLost; // The node became Dead or Gone.
};

// This node's view of the cluster's membership. One thread runs gossip, another one probes nodes. Thread-safe.
class ClusterView {
public:
    struct Settings {
        GossipOptions gossip;
        DetectorOptions detector;
        Milliseconds exchangeTimeout { 1000 };
        // A node that is absent from the membership list for this long counts as Gone.
        Milliseconds absenceGrace { 60'000 };
        // A node that has appeared in no digest by this long after the start counts as Dead.
        Milliseconds unseenGrace { 15'000 };
    };

    ClusterView(ClusterHooks, Settings, Random::result_type seed);
    ~ClusterView();
    ClusterView(const ClusterView&) = delete;
    ClusterView& operator=(const ClusterView&) = delete;

    // The transport must outlive stop().
    void start(NodeTransport&);
    void stop();
    // Starts a gossip round at once, so that a newly accepted configuration or a planned stop spreads without delay.
    void requestGossipRound();

    // Handles a gossip message from a peer; the implementation of PeerHandlers::exchangeDigests.
    GossipMessage answer(const GossipMessage&);
    // Sets the nodes of the membership list. To be called after each read of the list. The incarnation is 0 where
    // the list gives none.
    void setListedNodes(std::vector<NodeInfo>);

    // Digests of all nodes that are not Dead or Gone, including this node.
    std::vector<NodeDigest> digests() const;
    // Nodes that may become slot partners: neither dead nor stopping, including this node. A suspect remains eligible
    // until it is declared dead, as moving its slots is expensive.
    std::vector<NodeInfo> liveNodes() const;
    // Nodes to which callers may be directed: neither dead, suspect nor stopping, including this node.
    std::vector<NodeDigest> entryNodes() const;
    Liveness liveness(const NodeId&) const;
    // Returns those of the given incarnations that are proven to have ended for good.
    std::vector<NodeId> provenGone(std::span<const NodeId>);
    // Whether a newer incarnation with the same name answers at the node's address. Blocks.
    bool newerIncarnationAnswers(const NodeInfo&, Milliseconds timeout);

    std::vector<TeamUsage> otherNodesUsage() const;
    std::vector<SuspicionCount> suspicions() const;
    // Whether a newer incarnation with this node's name has appeared in gossip. This process must then stop.
    bool isReplaced() const;

private:
    struct Core;

    void runGossip();
    void runDetector();
    void gossipRound();
    void exchangeWith(const NodeInfo&);
    void fetchNewerConfig(Offset currentVersion);
    void probeRound();
    ProbeResult executeProbe(const ProbePlan&);
    // Waits for the period to end. Returns false if the view is stopping.
    bool waitPeriod(Milliseconds, bool wakeOnRequest);

    const ClusterHooks m_hooks;
    const Settings m_settings;
    NodeTransport* m_transport = nullptr;
    mutable std::mutex m_mutex; // Guards the core.
    std::unique_ptr<Core> m_core;
    std::mutex m_waitMutex;
    std::condition_variable m_wake;
    bool m_stopping = false;
    bool m_roundRequested = false;
    Random::result_type m_seed;
    std::thread m_gossipThread;
    std::thread m_detectorThread;
};

} // namespace Kumquatpick
