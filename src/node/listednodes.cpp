#include "node/listednodes.h"

namespace Kumquatpick {

ListedNodes::ListedNodes(Milliseconds grace)
    : m_grace(grace)
{
}

void ListedNodes::update(std::span<const NodeInfo> nodes, MonotonicTime now)
{
    std::map<std::string, uint64_t> previous = std::exchange(m_listed, {});
    for (const NodeInfo& node : nodes)
        m_listed[node.id.name] = node.id.incarnation;
    for (const auto& [name, incarnation] : previous) {
        if (!m_listed.contains(name))
            m_absentSince.try_emplace(name, now);
    }
    std::erase_if(m_absentSince, [this](const auto& entry) { return m_listed.contains(entry.first); });
    m_updatedAt = now;
    m_hasList = true;
}

bool ListedNodes::isProvenGone(const NodeId& id)
{
    if (!m_hasList)
        return false;
    if (auto listed = m_listed.find(id.name); listed != m_listed.end())
        return listed->second > id.incarnation;
    auto [absent, isNew] = m_absentSince.try_emplace(id.name, m_updatedAt);
    return !isNew && m_updatedAt - absent->second >= m_grace;
}

} // namespace Kumquatpick
