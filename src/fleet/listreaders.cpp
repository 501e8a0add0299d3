#include "fleet/listreaders.h"

#include <algorithm>

namespace Kumquatpick {

namespace {

    // With two readers, one continues if the other fails.
    constexpr size_t readersPerZone = 2;
    constexpr const char* duty = "read-hosts";
    constexpr Milliseconds retryDelay { 2000 };
    // Covers a few rounds of requests and is below the two seconds for which a leaving host may still get work.
    constexpr Milliseconds storeReadDelay { 1000 };
    // Time that readers need to list about a thousand hosts from a store that has just got requests from the whole
    // fleet.
    constexpr Milliseconds readerGracePeriod { 6000 };

}

ListReaders::ListReaders(std::string self)
    : m_self(std::move(self))
{
}

bool ListReaders::hasFailed(std::string_view node, MonotonicTime now) const
{
    auto failed = m_failedAt.find(node);
    return failed != m_failedAt.end() && now - failed->second < retryDelay;
}

std::vector<std::string> ListReaders::readersOf(std::span<const CandidateNode> zone, MonotonicTime now) const
{
    std::vector<CandidateNode> nodes;
    std::ranges::copy_if(
        zone, std::back_inserter(nodes), [&](const CandidateNode& node) { return !hasFailed(node.address, now); });
    return chooseNodes(nodes, duty, readersPerZone);
}

std::vector<std::string> ListReaders::readersToQuery(std::span<const CandidateNode> ownZone, MonotonicTime now) const
{
    auto readers = readersOf(ownZone, now);
    bool isReader = std::ranges::find(readers, m_self) != readers.end();
    return isReader ? std::vector<std::string>() : readers;
}

void ListReaders::recordFailure(std::string_view node, MonotonicTime now)
{
    std::erase_if(m_failedAt, [&](const auto& entry) { return now - entry.second >= retryDelay; });
    m_failedAt.insert_or_assign(std::string(node), now);
}

bool ListReaders::mayReadStore(bool didAnyAnswer, MonotonicTime now)
{
    m_unavailableSince = m_unavailableSince.value_or(now);
    return now - *m_unavailableSince >= (didAnyAnswer ? readerGracePeriod : storeReadDelay);
}

} // namespace Kumquatpick
