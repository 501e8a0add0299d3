#include "membership/client.h"

#include "backend/jsonexchange.h"
#include "base/logline.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Kumquatpick {

namespace {

    constexpr int httpOk = 200;
    constexpr size_t maxBodyBytes = 32 << 20; // 100,000 hosts take about 25 MB.

    bool hasSameHosts(const MembershipSnapshot& a, const MembershipSnapshot& b)
    {
        return a.backends == b.backends && a.entries == b.entries;
    }

}

MembershipClient::MembershipClient(TimerService& timer, MembershipSettings settings, Listener listener)
    : m_settings(std::move(settings))
    , m_listener(std::move(listener))
    , m_thread([this] { run(); })
    , m_timer(timer.every(m_settings.period, [this](MonotonicTime) {
        std::lock_guard lock(m_mutex);
        m_isDue = true;
        m_changed.notify_all();
    }))
{
}

MembershipClient::~MembershipClient()
{
    m_timer.cancel();
    {
        std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

std::shared_ptr<const MembershipSnapshot> MembershipClient::snapshot() const
{
    std::lock_guard lock(m_mutex);
    return m_snapshot;
}

std::optional<std::chrono::nanoseconds> MembershipClient::age(MonotonicTime now) const
{
    auto last = snapshot();
    if (!last)
        return std::nullopt;
    return now - last->readAt;
}

void MembershipClient::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_changed.wait(lock, [this] { return m_isDue || m_isStopping; });
        if (m_isStopping)
            return;
        m_isDue = false;
        lock.unlock();
        refresh();
        lock.lock();
    }
}

void MembershipClient::refresh()
{
    auto result = settle([&] { return fetch(); });
    if (const Error* error = std::get_if<Error>(&result)) {
        if (!std::exchange(m_isFailing, true))
            logError("cannot read the membership list; keeping the last one", *error);
        return;
    }
    if (std::exchange(m_isFailing, false))
        logLine(LogLevel::Info, "reading the membership list succeeded again");
    auto next = std::make_shared<const MembershipSnapshot>(std::move(std::get<0>(result)));
    std::shared_ptr<const MembershipSnapshot> previous;
    {
        std::lock_guard lock(m_mutex);
        previous = std::exchange(m_snapshot, next);
    }
    reportProblems(*next);
    bool isChange = !previous || !hasSameHosts(*previous, *next);
    if (isChange && m_listener)
        m_listener(*next);
}

// A list is read twice a second: only what differs is logged.
void MembershipClient::reportProblems(const MembershipSnapshot& list)
{
    if (list.problems == m_problems)
        return;
    m_problems = list.problems;
    if (m_problems.empty())
        logLine(LogLevel::Info, "all entries of the membership list are readable again");
    for (const std::string& problem : m_problems)
        logLine(LogLevel::Warning, "an entry of the membership list is unreadable", { { "detail", problem } });
}

Result<MembershipSnapshot> MembershipClient::fetch() const
{
    MonotonicTime askedAt = monotonicNow();
    BOOST_LEAF_AUTO(answer,
        exchangeJson(
            m_settings.address, "GET", "/v1/hosts", {}, m_settings.timeout, Step::MembershipRead, maxBodyBytes));
    if (answer.status != httpOk)
        return fail({ ErrorCode::Refused, Step::MembershipRead, m_settings.address.toString(),
            fmt::format("HTTP status {}", answer.status) });
    return parseMembership(answer.body, askedAt, snapshot().get());
}

} // namespace Kumquatpick
