#include "gateway/storeclient.h"

#include "gateway/asio.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Kumquatpick {

namespace {

    // Allows for many versions of a long text over a link that is shared with callers.
    constexpr Milliseconds bodyTimeout { 1500 };
    constexpr Milliseconds inactivePollPeriod { 200 };
    // Delay before peers are asked again instead of the store, as further messages may name other peers.
    constexpr Milliseconds peerRetryDelay { 150 };
    // Records after the end of an older listing may have expired.
    constexpr Milliseconds maxListingAge { 15'000 };
    // Longer than two pauses between reads from peers.
    constexpr Milliseconds peerReadMargin { 700 };
    // Interval between attempts to read an unavailable store. In between, the node reads from its peers.
    constexpr Milliseconds storeRetryDelay { 1000 };
    // A single lost response is not an outage.
    constexpr int failuresUntilOutage = 2;
    // Names in logs and metrics, indexed by LogName.
    constexpr std::array<const char*, 3> logNames { "config", "hosts", "control" };

    const char* toString(LogName log) { return logNames[static_cast<size_t>(log)]; }

}

void StoreHealth::recordResponse()
{
    m_failures = 0;
    if (m_isServing)
        return;
    m_isServing = true;
    m_servedSince = m_context.now();
    m_context.log.write("store_available", nlohmann::json::object());
}

void StoreHealth::recordFailure(const Error& error)
{
    if (++m_failures < failuresUntilOutage || !m_isServing)
        return;
    m_isServing = false;
    m_context.log.write("store_unavailable", { { "problem", describe(error) } });
}

LogFollower::LogFollower(
    GatewayContext& context, StoreHealth& health, LogName log, ReadOptions options, Handlers handlers)
    : m_context(context)
    , m_health(health)
    , m_log(log)
    , m_readOptions(options)
    , m_handlers(std::move(handlers))
    , m_reads(options.reads)
{
}

asio::awaitable<void> LogFollower::run()
{
    for (;;) {
        if (!m_isActive()) {
            // Only the newest records are of use after the interruption.
            m_isListed = false;
            m_listing.reset();
            co_await sleepFor(inactivePollPeriod);
            continue;
        }
        Outcome outcome = co_await readOnce();
        Milliseconds delay = m_hadNews ? m_readOptions.readPause : m_readOptions.quietPause;
        if (m_listing)
            delay = Milliseconds(0);
        if (outcome == Outcome::Failed)
            delay = m_reads.recordFailure(m_context.drawUniform());
        else if (outcome == Outcome::RetryPeers)
            delay = peerRetryDelay;
        if (delay.count() > 0)
            co_await sleepFor(delay);
    }
}

asio::awaitable<LogFollower::Outcome> LogFollower::readOnce()
{
    // The store is not tried if other nodes read it: after a power failure, all nodes of a large fleet fail there once,
    // and would keep it from responding to anyone.
    bool isStoreDue = m_mayReadStore && m_reads.failures() > 0 && m_context.now() - m_storeTriedAt > storeRetryDelay;
    // A started listing goes on at the store.
    if (m_readFromPeer && !m_listing && !isStoreDue) {
        PeerReadResult read = co_await m_readFromPeer(m_nextOffset, m_reads.failures() > 0);
        m_mayReadStore = read.mayReadStore;
        if (read.batch && applyBatch(std::move(*read.batch)))
            co_return Outcome::Done;
        if (!read.batch && !read.mayReadStore)
            co_return Outcome::RetryPeers;
    }
    bool isListing = m_readOptions.isKeyed && !m_isListed;
    bool isDone = false;
    if (isListing)
        isDone = co_await listNewest();
    else
        isDone = co_await readOn();
    co_return isDone ? Outcome::Done : Outcome::Failed;
}

// Lists page by page. A failed page is requested again, because a long list over a slow link may need several attempts.
asio::awaitable<bool> LogFollower::listNewest()
{
    if (m_listing && m_context.now() - m_listing->begunAt > maxListingAge)
        m_listing.reset();
    m_storeTriedAt = m_context.now();
    auto hasMore = co_await listPage();
    if (!hasMore)
        co_return false;
    if (*hasMore)
        co_return true;
    // Pages are not a snapshot: changes made between them are read again, starting where the log ended at the first
    // page.
    std::ranges::sort(m_listing->records, {}, &LogRecord::offset);
    applyListing(std::move(m_listing->records), m_listing->end, m_context.now());
    co_return true;
}

// Adds the next page to the listing. Returns whether there are more, or nothing on failure.
asio::awaitable<std::optional<bool>> LogFollower::listPage()
{
    m_context.metrics.count("store_calls_total{kind=\"newest\"}");
    MonotonicTime askedAt = m_context.now();
    std::string after = m_listing ? m_listing->after : std::string();
    auto answer
        = co_await m_context.pool.exchange(m_context.settings.store, m_context.platform.readNewest(m_log, after),
            m_reads.listingTimeout(), Step::LogRead, bodyTimeout, AnswerLimits::storePageBytes);
    auto* response = std::get_if<HttpResponse>(&answer);
    auto page = response ? m_context.platform.newestPage(*response) : Settled<LogPage>(std::get<Error>(answer));
    if (auto* error = std::get_if<Error>(&page)) {
        readFailed(*error, askedAt);
        co_return std::nullopt;
    }
    m_health.recordResponse();
    auto& found = std::get<LogPage>(page);
    if (!m_listing)
        m_listing = Listing { m_context.now(), found.nextOffset, {}, {} };
    bool hasMore = found.hasMore && !found.records.empty();
    for (const LogRecord& record : found.records)
        m_listing->after = record.key.empty() ? m_listing->after : record.key;
    std::ranges::move(found.records, std::back_inserter(m_listing->records));
    co_return hasMore;
}

void LogFollower::applyListing(std::vector<LogRecord> records, uint64_t nextOffset, MonotonicTime readAt)
{
    m_listing.reset();
    m_handlers.beginListing();
    for (const LogRecord& record : records)
        m_handlers.record(record);
    m_nextOffset = nextOffset;
    m_handlers.endListing();
    m_feed.replaceAll(records, m_nextOffset, readAt);
    m_isListed = true;
    m_hadNews = true;
    m_reads.recordSuccess();
    m_syncedAt = std::max(m_syncedAt.value_or(readAt), readAt);
}

asio::awaitable<bool> LogFollower::readOn()
{
    m_context.metrics.count("store_calls_total{kind=\"read\"}");
    m_storeTriedAt = m_context.now();
    ReadTimeouts timeouts = m_reads.nextTimeouts();
    auto answer = co_await m_context.pool.exchange(m_context.settings.store,
        m_context.platform.readLog(m_log, m_nextOffset, timeouts.longPollTime), timeouts.responseTimeout, Step::LogRead,
        bodyTimeout, AnswerLimits::storePageBytes);
    auto* response = std::get_if<HttpResponse>(&answer);
    auto page = response ? m_context.platform.logPage(m_log, m_nextOffset, *response)
                         : Settled<LogPage>(std::get<Error>(answer));
    if (auto* error = std::get_if<Error>(&page)) {
        readFailed(*error, m_storeTriedAt);
        co_return false;
    }
    m_health.recordResponse();
    m_reads.recordSuccess();
    m_peerReadAt.reset();
    auto& found = std::get<LogPage>(page);
    if (found.isGap) {
        m_isListed = false;
        m_nextOffset = found.nextOffset;
        m_feed.restart(m_nextOffset, m_context.now());
        co_return true;
    }
    uint64_t from = m_nextOffset;
    auto changes = applyRecords(std::move(found.records), found.nextOffset);
    m_syncedAt = m_context.now();
    m_feed.append(from, std::move(changes), m_nextOffset, m_context.now());
    co_return true;
}

void LogFollower::readFailed(const Error& error, MonotonicTime askedAt)
{
    auto waited = std::chrono::round<Milliseconds>(m_context.now() - askedAt);
    m_context.metrics.count(fmt::format("store_failures_total{{log=\"{}\"}}", toString(m_log)));
    m_context.log.write("store_read_failed",
        { { "log", toString(m_log) }, { "next", m_nextOffset }, { "waited_ms", waited.count() },
            { "failures", m_reads.failures() + 1 }, { "problem", describe(error) } });
    m_health.recordFailure(error);
}

// Returns the records that changed something.
std::vector<LogRecord> LogFollower::applyRecords(std::vector<LogRecord> records, uint64_t nextOffset)
{
    std::erase_if(records, [this](const LogRecord& record) { return !m_handlers.record(record); });
    m_nextOffset = nextOffset;
    m_hadNews = !records.empty();
    m_handlers.caughtUp();
    return records;
}

// Returns false if the batch does not continue from the state of this node.
bool LogFollower::applyBatch(RecordBatch batch)
{
    if (!m_isListed && !batch.isListing)
        return false;
    MonotonicTime readAt = m_context.now() - batch.age;
    m_peerReadAt = m_context.now();
    m_health.observePeerServedSince(m_context.now() - batch.storeUptime);
    if (batch.isListing) {
        applyListing(std::move(batch.records), batch.nextOffset, readAt);
        return true;
    }
    uint64_t from = m_nextOffset;
    auto changes = applyRecords(std::move(batch.records), batch.nextOffset);
    m_syncedAt = std::max(m_syncedAt.value_or(readAt), readAt);
    // Nodes that know few others yet may consider this node a reader and read from it.
    m_feed.append(from, std::move(changes), m_nextOffset, *m_syncedAt);
    return true;
}

bool LogFollower::hasRecentPeerRead() const
{
    return m_peerReadAt && m_context.now() - *m_peerReadAt < m_readOptions.quietPause * 2 + peerReadMargin;
}

} // namespace Kumquatpick
