#include "fleet/clientbudget.h"

#include <algorithm>
#include <bit>

namespace Kumquatpick {

namespace {

    // Ending a running request wastes the work of a backend server.
    constexpr double runningWeight = 1.0 / 8;
    // Lets sizes decide between connections that have just come.
    constexpr Milliseconds minAge { 1 };

}

ClientBudget::Id ClientBudget::add(MonotonicTime now)
{
    Id id = m_nextId++;
    m_connections[id].since = now;
    ++m_descriptors;
    enlist(id);
    return id;
}

void ClientBudget::remove(Id id)
{
    setBytes(id, 0);
    releaseDescriptor(id);
    delist(id);
    m_connections.erase(id);
}

void ClientBudget::setStage(Id id, ClientStage stage, MonotonicTime now)
{
    Connection& connection = m_connections.at(id);
    delist(id);
    // What is left of a connection that was told to end may have to be ended once more.
    if (stage == ClientStage::Closing && std::exchange(connection.isLeaving, false))
        releaseLeaving(connection.bytes);
    connection.stage = stage;
    if (stage != ClientStage::Running && stage != ClientStage::Answering)
        connection.since = now;
    enlist(id);
}

void ClientBudget::setBytes(Id id, size_t bytes)
{
    Connection& connection = m_connections.at(id);
    bool changesOrder = std::bit_width(bytes) != std::bit_width(connection.bytes);
    if (changesOrder)
        delist(id);
    m_bytes += bytes - connection.bytes;
    if (connection.isLeaving && bytes < connection.bytes)
        releaseLeaving(connection.bytes - bytes);
    else if (connection.isLeaving)
        m_leavingBytes += bytes - connection.bytes;
    connection.bytes = bytes;
    if (changesOrder)
        enlist(id);
}

void ClientBudget::releaseDescriptor(Id id)
{
    Connection& connection = m_connections.at(id);
    m_descriptors -= std::exchange(connection.hasDescriptor, false) ? 1 : 0;
}

void ClientBudget::enlist(Id id)
{
    const Connection& connection = m_connections.at(id);
    if (!connection.isLeaving)
        bucketOf(connection).emplace(connection.since, id);
}

void ClientBudget::delist(Id id)
{
    const Connection& connection = m_connections.at(id);
    bucketOf(connection).erase({ connection.since, id });
}

ClientBudget::Bucket& ClientBudget::bucketOf(const Connection& connection)
{
    auto& buckets = connection.stage == ClientStage::Running ? m_running : m_others;
    return buckets[std::min<size_t>(static_cast<size_t>(std::bit_width(connection.bytes)), orders - 1)];
}

void ClientBudget::compareOldest(const std::array<Bucket, orders>& buckets, double weight, MonotonicTime now,
    std::optional<Id>& worst, double& highest) const
{
    for (const Bucket& bucket : buckets) {
        if (bucket.empty())
            continue;
        Id id = bucket.begin()->second;
        const Connection& connection = m_connections.at(id);
        double score = weight * static_cast<double>(connection.bytes) * toSeconds(now - connection.since + minAge);
        if (worst && score <= highest)
            continue;
        worst = id;
        highest = score;
    }
}

std::optional<ClientBudget::Id> ClientBudget::endForBytes(MonotonicTime now)
{
    std::optional<Id> worst;
    double highest = 0;
    compareOldest(m_others, 1, now, worst, highest);
    compareOldest(m_running, runningWeight, now, worst, highest);
    if (worst)
        markLeaving(*worst);
    return worst;
}

std::optional<ClientBudget::Id> ClientBudget::endForConnection(MonotonicTime now)
{
    std::optional<Id> worst;
    double highest = 0;
    compareOldest(m_others, 1, now, worst, highest);
    if (worst)
        markLeaving(*worst);
    return worst;
}

void ClientBudget::releaseLeaving(size_t bytes)
{
    m_leavingBytes -= bytes;
    m_releasedBytes += bytes;
}

void ClientBudget::markLeaving(Id id)
{
    delist(id);
    Connection& connection = m_connections.at(id);
    connection.isLeaving = true;
    m_leavingBytes += connection.bytes;
}

} // namespace Kumquatpick
