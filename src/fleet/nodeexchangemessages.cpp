#include "fleet/nodeexchange.h"

#include <algorithm>

// The part of NodeExchange that writes and reads the messages of an exchange.

namespace Kumquatpick {

namespace {

    // After a longer time, most of what changed has arrived through others, and comparing hashes is cheaper.
    constexpr Milliseconds recentContact { 2000 };
    constexpr size_t maxNodesPerMessage = 200;
    constexpr size_t maxFactsPerMessage = 48;
    // Some 13 KB. What the servers of a whole domain were running when they ended passes within two messages.
    constexpr size_t maxSuspicionsPerMessage = 400;
    // For which a relay calls a node that another one could not reach.
    constexpr Milliseconds probeDuration { 2000 };

    Milliseconds clockOf(MonotonicTime now) { return std::chrono::floor<Milliseconds>(now.time_since_epoch()); }

}

NodeMessage NodeExchange::ownMessage(std::string_view receiver, MonotonicTime now) const
{
    NodeMessage message;
    message.sender = m_table.self();
    message.isRelay = m_isRelay;
    message.isSettled = isSettled(now);
    message.configVersion = m_own.configVersion;
    message.controllerTerm = m_newestTerm;
    message.anyCallSeen = m_anyCallSeen;
    message.fleetNodes = m_own.fleetNodes;
    message.clock = clockOf(now);
    auto partner = m_partners.find(receiver);
    if (partner != m_partners.end()) {
        message.received = partner->second.received;
        if (partner->second.clockIncarnation != 0)
            message.echo = ClockEcho { partner->second.clockIncarnation, partner->second.clock,
                std::chrono::floor<Milliseconds>(now - partner->second.clockAt) };
    }
    bool isRecent = partner != m_partners.end() && now - partner->second.heardAt < recentContact;
    if (message.received.incarnation == 0 || !isRecent)
        message.bucketHashes = m_table.bucketHashes();
    return message;
}

void NodeExchange::addChanges(NodeMessage& message, std::string_view receiver, MonotonicTime now) const
{
    auto partner = m_partners.find(receiver);
    if (partner == m_partners.end())
        return;
    const FeedPosition& acknowledged = partner->second.acknowledged;
    bool hasPosition = acknowledged.incarnation == m_table.self().incarnation;
    if (!hasPosition && !partner->second.hashes)
        return;
    auto nodes = partner->second.hashes ? m_table.changesIn(*partner->second.hashes, receiver)
                                        : m_table.changesSince(acknowledged.nodes, receiver, maxNodesPerMessage);
    message.nodes = std::move(nodes.nodes);
    message.hasMore = nodes.hasMore;
    message.sent = { m_table.self().incarnation, nodes.through };
    addObservations(message, hasPosition ? acknowledged : FeedPosition {}, receiver, now);
}

// What nodes observed of backend servers and of requests.
void NodeExchange::addObservations(
    NodeMessage& message, const FeedPosition& acknowledged, std::string_view receiver, MonotonicTime now) const
{
    auto facts = m_facts.changesSince(acknowledged.facts, receiver, maxFactsPerMessage, now);
    message.facts = std::move(facts.facts);
    message.sent.facts = facts.through;
    auto suspicions = m_suspicions.changesSince(acknowledged.suspicions, receiver, maxSuspicionsPerMessage);
    message.suspicions = std::move(suspicions.counts);
    message.sent.suspicions = suspicions.through;
    // A node of an earlier version acknowledges none, and would be called again without a pause.
    message.hasMore |= suspicions.hasMore && acknowledged.suspicions > 0;
}

// Enough for the receiver to find a relay.
void NodeExchange::addRelays(NodeMessage& message, std::string_view zone) const
{
    for (const std::string& relay : zones().relaysOf(zone)) {
        if (const NodeTable::Entry* entry = m_table.find(relay))
            message.nodes.push_back(entry->state);
    }
}

NodeMessage NodeExchange::request(std::string_view address, MonotonicTime now)
{
    NodeMessage message = ownMessage(address, now);
    // An ordinary node's relay knows the states of other nodes already; the node only reports what it observed itself.
    if (m_isRelay || isFullMesh()) {
        addChanges(message, address, now);
    } else {
        auto partner = m_partners.find(address);
        bool hasPosition
            = partner != m_partners.end() && partner->second.acknowledged.incarnation == m_table.self().incarnation;
        message.sent = { m_table.self().incarnation };
        addObservations(message, hasPosition ? partner->second.acknowledged : FeedPosition {}, address, now);
    }
    for (const auto& [partnerAddress, partner] : m_partners) {
        const NodeTable::Entry* entry = m_table.find(partnerAddress);
        if (failedRecently(partnerAddress, now) && entry && !entry->state.isSilent)
            message.unreachable.push_back(partnerAddress);
    }
    return message;
}

bool NodeExchange::servesChangesTo(const NodeMessage& request) const
{
    const NodeState& self = m_table.self();
    if (isFullMesh() || !request.unreachable.empty())
        return true;
    bool isChosen = zones().isRelayOf(self.zone, self.address);
    bool isOfOwnZone = request.sender.zone == self.zone;
    return zones().isRelayOf(request.sender.zone, request.sender.address) || (isChosen && isOfOwnZone);
}

NodeMessage NodeExchange::answer(const NodeMessage& request, MonotonicTime now, Received& received)
{
    std::optional<Milliseconds> transit;
    if (request.echo && request.echo->incarnation == m_table.self().incarnation) {
        Milliseconds bound = clockOf(now) - request.echo->at - request.echo->heldFor;
        transit = std::max(bound, Milliseconds(0));
    }
    apply(request, transit, now, received);
    const std::string& sender = request.sender.address;
    if (m_isRelay) {
        for (const std::string& address : request.unreachable) {
            if (isAlive(address) && address != m_table.self().address)
                m_partners[address].probeUntil = now + probeDuration;
        }
    }
    NodeMessage message = ownMessage(sender, now);
    if (servesChangesTo(request))
        addChanges(message, sender, now);
    else
        addRelays(message, request.sender.zone);
    const NodeTable::Entry* known = m_table.find(sender);
    // The sender must learn of a report that it has to refute.
    if (known && known->state.sequence >= request.sender.sequence && known->state != request.sender)
        message.nodes.push_back(known->state);
    return message;
}

void NodeExchange::apply(
    const NodeMessage& message, std::optional<Milliseconds> transit, MonotonicTime now, Received& received)
{
    const std::string& sender = message.sender.address;
    if (sender == m_table.self().address)
        return;
    Partner& partner = m_partners[sender];
    partner.heardAt = now;
    partner.failures = 0;
    partner.clock = message.clock;
    partner.clockIncarnation = message.sender.incarnation;
    partner.clockAt = now;
    m_lastContactAt = now;
    m_isIsolated = false;
    if (partner.received.incarnation != message.sender.incarnation) {
        partner.received = {};
        partner.acknowledged = {};
        m_suspicions.forgetSource(sender);
    }
    if (message.received.incarnation == m_table.self().incarnation)
        partner.acknowledged = message.received;
    partner.hashes = message.bucketHashes;
    m_table.merge(message.sender, sender, now);
    for (const NodeState& state : message.nodes)
        m_table.merge(state, sender, now);
    m_newestTerm = std::max(m_newestTerm, message.controllerTerm);
    m_anyCallSeen = m_anyCallSeen || message.anyCallSeen;
    m_toldFleetNodes = std::max(m_toldFleetNodes, message.fleetNodes);
    bool hasPosition = message.sent.incarnation == message.sender.incarnation;
    if (hasPosition) {
        partner.received.incarnation = message.sent.incarnation;
        partner.received.nodes = message.sent.nodes;
        partner.received.suspicions = message.sent.suspicions;
    }
    for (const SuspicionCount& count : message.suspicions) {
        if (m_suspicions.merge(count, sender, now))
            received.newSuspicions.push_back(count);
    }
    // Statuses and limits of unknown age may be older than what is known.
    if (!transit)
        return;
    if (hasPosition)
        partner.received.facts = message.sent.facts;
    for (HostFact fact : message.facts) {
        fact.age += *transit;
        if (m_facts.merge(fact, sender, now))
            received.newFacts.push_back(std::move(fact));
    }
    for (HostRateLimit limit : message.limits) {
        limit.age += *transit;
        received.limits.push_back(std::move(limit));
    }
}

bool NodeExchange::applyAnswer(
    std::string_view address, const NodeMessage& message, MonotonicTime askedAt, MonotonicTime now, Received& received)
{
    auto partner = m_partners.find(address);
    if (partner != m_partners.end()) {
        partner->second.probeUntil = {};
    }
    m_lastAnswerAt = now;
    apply(message, std::chrono::ceil<Milliseconds>(now - askedAt), now, received);
    bool hasChanges = message.sent.incarnation == message.sender.incarnation;
    m_isInformed = m_isInformed || (hasChanges && !message.hasMore && message.isSettled);
    return message.hasMore;
}

void NodeExchange::callFailed(std::string_view address, MonotonicTime now)
{
    Partner& partner = m_partners[std::string(address)];
    ++partner.failures;
    partner.failedAt = now;
}

} // namespace Kumquatpick
