#include "node/clusterview.h"

#include "base/logline.h"

#include <algorithm>
#include <future>
#include <nlohmann/json.hpp>

namespace Kumquatpick {

namespace {

    // Each leg is a message and its reply. The first leg compares summaries. Further legs transfer digests, and compare
    // the member lists of zones whose member sets differ.
    constexpr int maxExchangeLegs = 3;

    std::string_view name(Liveness liveness)
    {
        switch (liveness) {
        case Liveness::Alive:
            return "alive";
        case Liveness::Suspect:
            return "suspect";
        case Liveness::Dead:
            return "dead";
        case Liveness::Gone:
            return "gone";
        }
        return "unknown";
    }

}

struct ClusterView::Core {
    Core(const NodeInfo& self, const Settings& settings, Random::result_type seed)
        : gossip(self, settings.gossip)
        , detector(self, settings.detector)
        , listedNodes(settings.absenceGrace)
        , gossipRandom(seed)
        , detectorRandom(seed + 1)
        , started(monotonicNow())
    {
    }

    Gossip gossip;
    Detector detector;
    ListedNodes listedNodes;
    Random gossipRandom;
    Random detectorRandom;
    MonotonicTime started;
};

ClusterView::ClusterView(ClusterHooks hooks, Settings settings, Random::result_type seed)
    : m_hooks(std::move(hooks))
    , m_settings(settings)
    , m_seed(seed)
{
}

ClusterView::~ClusterView() { stop(); }

void ClusterView::start(NodeTransport& transport)
{
    m_transport = &transport;
    {
        std::lock_guard lock(m_mutex);
        m_core = std::make_unique<Core>(transport.self(), m_settings, m_seed);
    }
    m_gossipThread = std::thread([this] { runGossip(); });
    m_detectorThread = std::thread([this] { runDetector(); });
}

void ClusterView::stop()
{
    {
        std::lock_guard lock(m_waitMutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    for (std::thread* thread : { &m_gossipThread, &m_detectorThread }) {
        if (thread->joinable())
            thread->join();
    }
}

void ClusterView::requestGossipRound()
{
    {
        std::lock_guard lock(m_waitMutex);
        m_roundRequested = true;
    }
    m_wake.notify_all();
}

GossipMessage ClusterView::answer(const GossipMessage& message)
{
    std::lock_guard lock(m_mutex);
    return m_core ? m_core->gossip.answer(message) : GossipMessage {};
}

void ClusterView::setListedNodes(std::vector<NodeInfo> nodes)
{
    std::lock_guard lock(m_mutex);
    if (!m_core)
        return;
    MonotonicTime now = monotonicNow();
    m_core->listedNodes.update(nodes, now);
    for (const NodeInfo& node : nodes)
        m_core->detector.recordListed(m_core->gossip.table(), node.id, now);
    std::erase_if(nodes, [this](const NodeInfo& node) {
        bool isReachable = node.peerAddress.port != 0; // The list does not always tell an address.
        return !isReachable || node.id.name == m_core->gossip.table().self().id.name;
    });
    m_core->gossip.setSeeds(std::move(nodes));
}

std::vector<NodeDigest> ClusterView::digests() const
{
    std::vector<NodeDigest> all;
    std::lock_guard lock(m_mutex);
    if (m_core)
        m_core->gossip.table().forEach([&](const NodeDigest& digest) { all.push_back(digest); });
    return all;
}

std::vector<NodeInfo> ClusterView::liveNodes() const
{
    std::vector<NodeInfo> live;
    for (const NodeDigest& digest : digests()) {
        if (!digest.stopping)
            live.push_back(digest.node);
    }
    return live;
}

std::vector<NodeDigest> ClusterView::entryNodes() const
{
    std::vector<NodeDigest> entries = digests();
    std::erase_if(entries,
        [this](const NodeDigest& digest) { return digest.stopping || liveness(digest.node.id) != Liveness::Alive; });
    return entries;
}

Liveness ClusterView::liveness(const NodeId& id) const
{
    std::lock_guard lock(m_mutex);
    if (!m_core)
        return Liveness::Alive;
    const DigestTable& table = m_core->gossip.table();
    if (table.find(id.incarnation))
        return m_core->detector.liveness(id.incarnation);
    if (table.newestIncarnation(id.name) > id.incarnation)
        return Liveness::Gone;
    Liveness verdict = m_core->detector.liveness(id.incarnation);
    bool isUnseen = verdict == Liveness::Alive && monotonicNow() - m_core->started >= m_settings.unseenGrace;
    return isUnseen ? Liveness::Dead : verdict;
}

std::vector<NodeId> ClusterView::provenGone(std::span<const NodeId> ids)
{
    std::vector<NodeId> gone;
    std::lock_guard lock(m_mutex);
    if (!m_core)
        return gone;
    const DigestTable& table = m_core->gossip.table();
    for (const NodeId& id : ids) {
        bool isKnown = table.find(id.incarnation) != nullptr;
        bool replacedByNewer = table.newestIncarnation(id.name) > id.incarnation
            || m_core->detector.liveness(id.incarnation) == Liveness::Gone;
        if (replacedByNewer || (!isKnown && m_core->listedNodes.isProvenGone(id)))
            gone.push_back(id);
    }
    return gone;
}

bool ClusterView::newerIncarnationAnswers(const NodeInfo& node, Milliseconds timeout)
{
    auto answer = settle([&] { return m_transport->hello(node.peerAddress, timeout); });
    const NodeInfo* found = std::get_if<NodeInfo>(&answer);
    return found && found->id.name == node.id.name && found->id.incarnation > node.id.incarnation;
}

std::vector<TeamUsage> ClusterView::otherNodesUsage() const
{
    std::lock_guard lock(m_mutex);
    return m_core ? m_core->gossip.otherNodesUsage() : std::vector<TeamUsage> {};
}

std::vector<SuspicionCount> ClusterView::suspicions() const
{
    std::lock_guard lock(m_mutex);
    return m_core ? m_core->gossip.suspicions() : std::vector<SuspicionCount> {};
}

bool ClusterView::isReplaced() const
{
    std::lock_guard lock(m_mutex);
    return m_core && m_core->gossip.table().isReplaced();
}

void ClusterView::runGossip()
{
    do
        gossipRound();
    while (waitPeriod(m_settings.gossip.period, true));
}

void ClusterView::runDetector()
{
    while (waitPeriod(m_settings.detector.probePeriod, false))
        probeRound();
}

bool ClusterView::waitPeriod(Milliseconds period, bool wakeOnRequest)
{
    std::unique_lock lock(m_waitMutex);
    m_wake.wait_for(lock, period, [&] { return m_stopping || (wakeOnRequest && m_roundRequested); });
    if (wakeOnRequest)
        m_roundRequested = false;
    return !m_stopping;
}

void ClusterView::gossipRound()
{
    OwnReport report = m_hooks.ownReport ? m_hooks.ownReport() : OwnReport {};
    std::vector<NodeInfo> peers;
    {
        std::lock_guard lock(m_mutex);
        report.suspects = m_core->detector.ownSuspects();
        m_core->gossip.report(report, monotonicNow());
        peers = m_core->gossip.pickPeers(m_core->gossipRandom);
    }
    for (const NodeInfo& peer : peers)
        exchangeWith(peer);
    fetchNewerConfig(report.configVersion);
    if (m_hooks.gossipRoundDone)
        m_hooks.gossipRoundDone();
}

void ClusterView::exchangeWith(const NodeInfo& peer)
{
    GossipMessage message;
    {
        std::lock_guard lock(m_mutex);
        message = m_core->gossip.openingMessage();
    }
    for (int leg = 0; leg < maxExchangeLegs && !message.empty(); ++leg) {
        auto reply
            = settle([&] { return m_transport->exchange(peer.peerAddress, message, m_settings.exchangeTimeout); });
        // The failure detector handles peers that do not answer.
        if (std::holds_alternative<Error>(reply))
            return;
        message = answer(std::get<GossipMessage>(reply));
    }
}

void ClusterView::fetchNewerConfig(Offset currentVersion)
{
    std::optional<NodeDigest> holder;
    {
        std::lock_guard lock(m_mutex);
        holder = m_core->gossip.nodeWithNewerConfig(currentVersion, m_core->gossipRandom);
    }
    if (!holder || !m_hooks.adoptConfig)
        return;
    auto fetched
        = settle([&] { return m_transport->fetchAcceptedText(holder->node.peerAddress, m_settings.exchangeTimeout); });
    if (const AcceptedText* text = std::get_if<AcceptedText>(&fetched); text && text->version > currentVersion)
        m_hooks.adoptConfig(*text);
}

void ClusterView::probeRound()
{
    std::vector<std::pair<NodeId, Liveness>> lost;
    std::optional<ProbePlan> plan;
    {
        std::lock_guard lock(m_mutex);
        const DigestTable& table = m_core->gossip.table();
        m_core->detector.tick(table, monotonicNow());
        for (uint64_t incarnation : m_core->detector.takeLost()) {
            Liveness verdict = m_core->detector.liveness(incarnation);
            if (const NodeDigest* digest = table.find(incarnation))
                lost.emplace_back(digest->node.id, verdict);
            m_core->gossip.forget(incarnation, verdict == Liveness::Gone);
        }
        plan = m_core->detector.nextProbe(table, m_core->detectorRandom);
    }
    for (const auto& [id, verdict] : lost) {
        logLine(LogLevel::Warning, "node lost", { { "node", id.name }, { "verdict", name(verdict) } });
        if (m_hooks.nodeLost)
            m_hooks.nodeLost(id, verdict);
    }
    if (!plan)
        return;
    ProbeResult result = executeProbe(*plan);
    std::lock_guard lock(m_mutex);
    m_core->detector.recordProbe(m_core->gossip.table(), result, monotonicNow());
}

// Sends indirect probes through all helpers in parallel, only if the direct probe fails.
ProbeResult ClusterView::executeProbe(const ProbePlan& plan)
{
    ProbeResult result;
    result.targetIncarnation = plan.target.id.incarnation;
    result.startedAt = monotonicNow();
    Milliseconds timeout = m_settings.detector.probeTimeout;
    auto direct = settle([&] { return m_transport->hello(plan.target.peerAddress, timeout); });
    if (const NodeInfo* found = std::get_if<NodeInfo>(&direct))
        result.answeredBy = found->id;
    if (result.answeredBy)
        return result;
    using ProbeReply = std::variant<bool, Error>;
    std::vector<std::future<ProbeReply>> pendingReplies;
    pendingReplies.reserve(plan.helpers.size());
    for (const NodeInfo& helper : plan.helpers) {
        pendingReplies.push_back(std::async(std::launch::async, [this, &plan, &helper, timeout] {
            return settle([&] { return m_transport->probeThrough(helper.peerAddress, plan.target, timeout * 3 / 2); });
        }));
    }
    for (std::future<ProbeReply>& pendingReply : pendingReplies) {
        ProbeReply probeReply = pendingReply.get();
        const bool* reached = std::get_if<bool>(&probeReply);
        ++(!reached ? result.unansweredHelpers : *reached ? result.helperSuccesses : result.helperFailures);
    }
    return result;
}

} // namespace Kumquatpick
