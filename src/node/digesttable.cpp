#include "node/digesttable.h"

#include <limits>
#include <utility>

namespace Kumquatpick {

namespace {

    // Limits on the memory that peers' messages can occupy.
    constexpr size_t maxNodes = 4096;
    constexpr size_t maxForgotten = 8192;
    constexpr uint64_t allSequences = std::numeric_limits<uint64_t>::max();

    bool mergeUsage(NodeDigest& known, const NodeDigest& update)
    {
        if (update.usageSequence <= known.usageSequence)
            return false;
        known.usageSequence = update.usageSequence;
        known.usage = update.usage;
        return true;
    }

    bool mergeFields(NodeDigest& known, const NodeDigest& update)
    {
        if (update.sequence <= known.sequence)
            return false;
        NodeDigest newer = update;
        newer.node = known.node;
        newer.usageSequence = known.usageSequence;
        newer.usage = std::move(known.usage);
        known = std::move(newer);
        return true;
    }

}

DigestTable::DigestTable(const NodeInfo& self)
    : m_self(self)
{
    NodeDigest own;
    own.node = self;
    insert(own);
}

bool DigestTable::merge(const NodeDigest& update)
{
    uint64_t incarnation = update.node.id.incarnation;
    if (incarnation == 0 || incarnation == m_self.id.incarnation || isObsolete({ incarnation, update.sequence }))
        return false;
    if (auto zone = m_zoneOf.find(incarnation); zone != m_zoneOf.end()) {
        NodeDigest& known = m_zones.at(zone->second).at(incarnation);
        bool newFields = mergeFields(known, update);
        return mergeUsage(known, update) || newFields;
    }
    const std::string& name = update.node.id.name;
    if (name.empty() || m_zoneOf.size() >= maxNodes)
        return false;
    auto newest = m_newestByName.find(name);
    if (newest != m_newestByName.end() && newest->second > incarnation) {
        recordForgotten(name, incarnation, allSequences);
        return false;
    }
    if (name == m_self.id.name) {
        m_replaced = true;
        return true;
    }
    if (newest != m_newestByName.end() && newest->second != incarnation) {
        uint64_t replacedIncarnation = newest->second;
        erase(replacedIncarnation);
        recordForgotten(name, replacedIncarnation, allSequences);
    }
    insert(update);
    return true;
}

void DigestTable::setOwn(NodeDigest own)
{
    own.node = m_self;
    m_zones.at(m_self.zone).at(m_self.id.incarnation) = std::move(own);
}

void DigestTable::forget(uint64_t incarnation, bool permanently)
{
    const NodeDigest* known = find(incarnation);
    if (!known || incarnation == m_self.id.incarnation)
        return;
    recordForgotten(known->node.id.name, incarnation, permanently ? allSequences : known->sequence);
    erase(incarnation);
}

const NodeDigest* DigestTable::find(uint64_t incarnation) const
{
    auto zone = m_zoneOf.find(incarnation);
    return zone == m_zoneOf.end() ? nullptr : &m_zones.at(zone->second).at(incarnation);
}

bool DigestTable::isObsolete(const IncarnationSequence& digestId) const
{
    auto gone = m_rejectedUpTo.find(digestId.incarnation);
    return gone != m_rejectedUpTo.end() && digestId.sequence <= gone->second;
}

uint64_t DigestTable::newestIncarnation(const std::string& name) const
{
    auto newest = m_newestByName.find(name);
    return newest == m_newestByName.end() ? 0 : newest->second;
}

void DigestTable::forEach(const std::function<void(const NodeDigest&)>& visit) const
{
    for (const auto& [name, zone] : m_zones) {
        for (const auto& [incarnation, digest] : zone)
            visit(digest);
    }
}

void DigestTable::insert(const NodeDigest& digest)
{
    uint64_t incarnation = digest.node.id.incarnation;
    m_zones[digest.node.zone][incarnation] = digest;
    m_zoneOf[incarnation] = digest.node.zone;
    m_newestByName[digest.node.id.name] = incarnation;
    m_rejectedUpTo.erase(incarnation);
}

void DigestTable::erase(uint64_t incarnation)
{
    auto zoneOf = m_zoneOf.find(incarnation);
    if (zoneOf == m_zoneOf.end())
        return;
    auto zone = m_zones.find(zoneOf->second);
    zone->second.erase(incarnation);
    if (zone->second.empty())
        m_zones.erase(zone);
    m_zoneOf.erase(zoneOf);
}

void DigestTable::recordForgotten(const std::string& name, uint64_t incarnation, uint64_t sequence)
{
    bool isNew = m_rejectedUpTo.insert_or_assign(incarnation, sequence).second;
    if (isNew)
        m_forgottenOrder.push_back({ name, incarnation });
    if (m_forgottenOrder.size() <= maxForgotten)
        return;
    ForgottenIncarnation oldest = std::move(m_forgottenOrder.front());
    m_forgottenOrder.pop_front();
    m_rejectedUpTo.erase(oldest.incarnation);
    auto newest = m_newestByName.find(oldest.name);
    if (newest != m_newestByName.end() && newest->second == oldest.incarnation
        && !m_zoneOf.contains(oldest.incarnation))
        m_newestByName.erase(newest);
}

} // namespace Kumquatpick
