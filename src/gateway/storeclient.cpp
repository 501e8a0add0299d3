#include "gateway/storeclient.h"

#include "gateway/asio.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Kumquatpick {

namespace {

    // What follows the head of an answer: many versions of a long text, over a link that callers use too.
    constexpr Milliseconds bodyTimeout { 1500 };
    constexpr Milliseconds notWantedPause { 200 };
    // Peers are read every half second.
    constexpr Milliseconds peerReadLasts { 1500 };
    // A node that the store turned away hears the rest from its peers meanwhile.
    constexpr Milliseconds tryStoreAgainAfter { 1000 };
    // One lost answer is no interruption.
    constexpr int failuresOfInterruption = 2;
    // In logs and metrics, by LogName.
    constexpr std::array<const char*, 3> logNames { "config", "hosts", "control" };

    const char* toString(LogName log) { return logNames[static_cast<size_t>(log)]; }

}

void StoreHealth::answered()
{
    m_failures = 0;
    if (m_isServing)
        return;
    m_isServing = true;
    m_servesSince = m_context.now();
    m_context.log.write("store_regained", nlohmann::json::object());
}

void StoreHealth::failed(const Error& error)
{
    if (++m_failures < failuresOfInterruption || !m_isServing)
        return;
    m_isServing = false;
    m_context.log.write("store_lost", { { "problem", describe(error) } });
}

LogFollower::LogFollower(GatewayContext& context, StoreHealth& health, LogName log, Pace pace, Handlers handlers)
    : m_context(context)
    , m_health(health)
    , m_log(log)
    , m_pace(pace)
    , m_handlers(std::move(handlers))
    , m_reads(pace.reads)
{
}

asio::awaitable<void> LogFollower::run()
{
    for (;;) {
        if (!m_isWanted()) {
            // What came meanwhile is of no use but for the newest.
            m_isListed = false;
            co_await pause(notWantedPause);
            continue;
        }
        bool isListing = m_pace.isKeyed && !m_isListed;
        bool isStoreDue = m_reads.failures() > 0 && m_context.now() - m_storeTriedAt > tryStoreAgainAfter;
        bool isDone = !isListing && !isStoreDue && co_await readFromPeer();
        if (!isDone)
            isDone = isListing ? co_await listNewest() : co_await readOn();
        if (!isDone)
            co_await pause(m_reads.failed(m_context.draw()));
        else if (m_pace.pauseAfter.count() > 0)
            co_await pause(m_pace.pauseAfter);
    }
}

asio::awaitable<bool> LogFollower::listNewest()
{
    // Pages are no snapshot: what changes between them is read again from where the log ended at the first.
    std::optional<uint64_t> end;
    std::string after;
    std::vector<LogRecord> records;
    for (bool hasMore = true; hasMore;) {
        m_context.metrics.count("store_calls_total{kind=\"newest\"}");
        MonotonicTime askedAt = m_context.now();
        auto answer = co_await m_context.pool.exchange(m_context.settings.store,
            m_context.platform.readNewest(m_log, after), m_reads.listingPatience(), Step::LogRead, bodyTimeout);
        auto* response = std::get_if<HttpResponse>(&answer);
        auto page = response ? m_context.platform.newestPage(*response) : Settled<LogPage>(std::get<Error>(answer));
        if (auto* error = std::get_if<Error>(&page)) {
            readFailed(*error, askedAt);
            co_return false;
        }
        auto& found = std::get<LogPage>(page);
        end = end.value_or(found.nextOffset);
        hasMore = found.hasMore && !found.records.empty();
        for (const LogRecord& record : found.records)
            after = record.key.empty() ? after : record.key;
        std::ranges::move(found.records, std::back_inserter(records));
    }
    m_health.answered();
    std::ranges::sort(records, {}, &LogRecord::offset);
    m_handlers.beginListing();
    for (const LogRecord& record : records)
        m_handlers.record(record);
    m_handlers.endListing();
    m_next = *end;
    m_feed.restart(m_next, m_context.now());
    m_isListed = true;
    m_heardAt = m_context.now();
    m_reads.answered();
    co_return true;
}

asio::awaitable<bool> LogFollower::readOn()
{
    m_context.metrics.count("store_calls_total{kind=\"read\"}");
    m_storeTriedAt = m_context.now();
    ReadTerms terms = m_reads.next();
    auto answer = co_await m_context.pool.exchange(m_context.settings.store,
        m_context.platform.readLog(m_log, m_next, terms.hold), terms.patience, Step::LogRead, bodyTimeout);
    auto* response = std::get_if<HttpResponse>(&answer);
    auto page
        = response ? m_context.platform.logPage(m_log, m_next, *response) : Settled<LogPage>(std::get<Error>(answer));
    if (auto* error = std::get_if<Error>(&page)) {
        readFailed(*error, m_storeTriedAt);
        co_return false;
    }
    m_health.answered();
    m_reads.answered();
    m_peerReadAt.reset();
    auto& found = std::get<LogPage>(page);
    if (found.isGap) {
        m_isListed = false;
        m_next = found.nextOffset;
        m_feed.restart(m_next, m_context.now());
        co_return true;
    }
    uint64_t from = m_next;
    auto news = takeRecords(std::move(found.records), found.nextOffset);
    m_heardAt = m_context.now();
    m_feed.took(from, std::move(news), m_next, m_context.now());
    co_return true;
}

void LogFollower::readFailed(const Error& problem, MonotonicTime askedAt)
{
    auto waited = std::chrono::round<Milliseconds>(m_context.now() - askedAt);
    m_context.metrics.count(fmt::format("store_failures_total{{log=\"{}\"}}", toString(m_log)));
    m_context.log.write("store_read_failed",
        { { "log", toString(m_log) }, { "next", m_next }, { "waited_ms", waited.count() },
            { "failures", m_reads.failures() + 1 }, { "problem", describe(problem) } });
    m_health.failed(problem);
}

// Those with news are left.
std::vector<LogRecord> LogFollower::takeRecords(std::vector<LogRecord> records, uint64_t nextOffset)
{
    std::erase_if(records, [this](const LogRecord& record) { return !m_handlers.record(record); });
    m_next = nextOffset;
    m_handlers.upToDate();
    return records;
}

asio::awaitable<bool> LogFollower::readFromPeer()
{
    if (!m_readFromPeer)
        co_return false;
    auto batch = co_await m_readFromPeer(m_next, m_reads.failures() > 0);
    if (!batch)
        co_return false;
    m_peerReadAt = m_context.now();
    m_health.servesPeerSince(m_context.now() - batch->storeServedFor);
    // A node that becomes a reader hands on what it has from here on only.
    takeRecords(std::move(batch->records), batch->nextOffset);
    m_heardAt = m_context.now() - batch->age;
    co_return true;
}

bool LogFollower::isReadByPeer() const { return m_peerReadAt && m_context.now() - *m_peerReadAt < peerReadLasts; }

} // namespace Kumquatpick
