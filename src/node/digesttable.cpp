#include "node/digesttable.h"

#include <limits>
#include <utility>

namespace Kumquatpick {

namespace {

    // Limits on the memory that peers' messages can occupy.
    constexpr size_t maxNodes = 4096;
    constexpr size_t maxBuried = 8192;
    constexpr uint64_t forever = std::numeric_limits<uint64_t>::max();

    bool takeUsage(NodeDigest& known, const NodeDigest& update)
    {
        if (update.usageSequence <= known.usageSequence)
            return false;
        known.usageSequence = update.usageSequence;
        known.usage = update.usage;
        return true;
    }

    bool takeFields(NodeDigest& known, const NodeDigest& update)
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
    if (incarnation == 0 || incarnation == m_self.id.incarnation || obsolete({ incarnation, update.sequence }))
        return false;
    if (auto zone = m_zoneOf.find(incarnation); zone != m_zoneOf.end()) {
        NodeDigest& known = m_zones.at(zone->second).at(incarnation);
        bool newFields = takeFields(known, update);
        return takeUsage(known, update) || newFields;
    }
    const std::string& name = update.node.id.name;
    if (name.empty() || m_zoneOf.size() >= maxNodes)
        return false;
    auto newest = m_newest.find(name);
    if (newest != m_newest.end() && newest->second > incarnation) {
        bury(name, incarnation, forever);
        return false;
    }
    if (name == m_self.id.name) {
        m_replaced = true;
        return true;
    }
    if (newest != m_newest.end() && newest->second != incarnation) {
        uint64_t former = newest->second;
        erase(former);
        bury(name, former, forever);
    }
    insert(update);
    return true;
}

void DigestTable::setOwn(NodeDigest own)
{
    own.node = m_self;
    m_zones.at(m_self.zone).at(m_self.id.incarnation) = std::move(own);
}

void DigestTable::forget(uint64_t incarnation, bool forGood)
{
    const NodeDigest* known = find(incarnation);
    if (!known || incarnation == m_self.id.incarnation)
        return;
    bury(known->node.id.name, incarnation, forGood ? forever : known->sequence);
    erase(incarnation);
}

const NodeDigest* DigestTable::find(uint64_t incarnation) const
{
    auto zone = m_zoneOf.find(incarnation);
    return zone == m_zoneOf.end() ? nullptr : &m_zones.at(zone->second).at(incarnation);
}

bool DigestTable::obsolete(const IncarnationSequence& heard) const
{
    auto gone = m_gone.find(heard.incarnation);
    return gone != m_gone.end() && heard.sequence <= gone->second;
}

uint64_t DigestTable::newestOf(const std::string& name) const
{
    auto newest = m_newest.find(name);
    return newest == m_newest.end() ? 0 : newest->second;
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
    m_newest[digest.node.id.name] = incarnation;
    m_gone.erase(incarnation);
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

void DigestTable::bury(const std::string& name, uint64_t incarnation, uint64_t sequence)
{
    bool isNew = m_gone.insert_or_assign(incarnation, sequence).second;
    if (isNew)
        m_burialOrder.push_back({ name, incarnation });
    if (m_burialOrder.size() <= maxBuried)
        return;
    Buried oldest = std::move(m_burialOrder.front());
    m_burialOrder.pop_front();
    m_gone.erase(oldest.incarnation);
    auto newest = m_newest.find(oldest.name);
    if (newest != m_newest.end() && newest->second == oldest.incarnation && !m_zoneOf.contains(oldest.incarnation))
        m_newest.erase(newest);
}

} // namespace Kumquatpick
