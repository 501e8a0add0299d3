#include "gateway/lease.h"

#include "base/document.h"
#include "base/documentreader.h"
#include "base/names.h"
#include "gateway/asio.h"
#include "gateway/nodecodec.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <time.h>

namespace Kumquatpick {

namespace {

    constexpr Milliseconds renewPeriod { 1000 };
    // The holder stops by itself this long after it sent its last successful claim. Others wait longer, counted from
    // when they read the claim; the difference covers an order that is being sent.
    constexpr Milliseconds holderLeaseTime { 2600 };
    constexpr Milliseconds liveHolderTakeoverDelay { 3200 };
    // A holder that was reported as silent has most likely ended, since it renews every second.
    // With two killed controllers a day, lost replicas wait a second and a half less each time.
    constexpr Milliseconds silentHolderTakeoverDelay { 1700 };
    constexpr Milliseconds claimTimeout { 1000 };
    constexpr Milliseconds step { 100 };
    // After a failed claim, either the store is unavailable or another node was first and its record has not been read
    // yet.
    constexpr Milliseconds claimRetryDelay { 500 };
    // Nodes that wait for the same lease to expire must not claim at the same moment.
    constexpr double claimJitterMs = 250;

    // The first claim waits until nodes know one another, so that a strong one claims.
    constexpr Milliseconds firstClaimDelay { 1200 };
    // A holder that is not a strong node hands over once strong nodes have been present for this long.
    constexpr Milliseconds handoverDelay { 5000 };

    // Nodes that follow the log and may take over; each record of the holder wakes all followers.
    constexpr size_t candidates = 3;
    constexpr const char* controlDuty = "control";
    constexpr Milliseconds maxLongPoll { 1500 };
    constexpr Milliseconds pauseBetweenReads { 50 };

}

ControllerLease::BootTime ControllerLease::bootNow()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::duration_cast<BootTime>(
        std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

ControllerLease::ControllerLease(GatewayContext& context, StoreHealth& health, const Peers& peers)
    : m_context(context)
    , m_health(health)
    , m_peers(peers)
    , m_follower(context, health, LogName::Controller,
          { LogReadTiming(maxLongPoll), pauseBetweenReads, pauseBetweenReads, false },
          { [] {}, [this](const LogRecord& record) { return applyRecord(record); }, [] {} })
    , m_self(incarnationName(context.settings.name, context.incarnation))
    , m_holderSeenAt(bootNow())
{
    m_follower.followWhile([this] { return isCandidate(); });
}

bool ControllerLease::applyRecord(const LogRecord& record)
{
    constexpr DocumentLimits limits { 4096, 4, 100 };
    auto decoded = decodeDocument(DocumentFormat::Json, record.value.value_or(""), limits, Step::LogRead);
    auto* document = std::get_if<nlohmann::json>(&decoded);
    DocumentReader::Problem problem;
    std::string holder(document ? DocumentReader(*document, problem)["holder"].text() : "");
    bool isHolder = holder.empty() || isName(holder); // Empty if the holder has released the lease.
    if (!document || !isHolder || problem.isFound()) {
        m_context.log.write("record_unreadable", { { "log", "control" }, { "offset", record.offset } });
        return false;
    }
    if (holder != m_holder) {
        m_context.log.write(
            "controller", { { "holder", holder }, { "previous_holder", m_holder }, { "fencing", record.offset } });
        m_term = record.offset;
    }
    m_holder = holder;
    m_holderSeenAt = bootNow();
    return true;
}

std::optional<uint64_t> ControllerLease::fencing() const
{
    bool isHolder = m_holder == m_self && !m_isReleased && m_fencedTerm != m_term && m_newestPeerTerm <= m_term;
    bool isValid = bootNow() - m_validFrom < holderLeaseTime || (m_isStoreUnavailable && m_peers.aliveCount() > 0);
    return isHolder && isValid ? std::optional(m_term + 1) : std::nullopt;
}

void ControllerLease::endFencedTerm(uint64_t fencing)
{
    m_fencedTerm = fencing - 1;
    m_context.log.write("controller_fenced", { { "fencing", fencing } });
}

bool ControllerLease::isCandidate() const
{
    return m_holder == m_self || m_context.disabledMechanisms.contains(Mechanism::ControlCandidates)
        || m_peers.isChosen(controlDuty, candidates);
}

Milliseconds ControllerLease::takeoverDelay() const
{
    return m_peers.isIncarnationAlive(m_holder) ? liveHolderTakeoverDelay : silentHolderTakeoverDelay;
}

// Planning that takes ten seconds on a small node takes one on a strong node.
bool ControllerLease::isHandoverDue()
{
    if (m_holder != m_self || m_peers.selfHasLargeCpuShare())
        m_weakHolderSince.reset();
    else if (!m_weakHolderSince)
        m_weakHolderSince = bootNow();
    return m_weakHolderSince && bootNow() - *m_weakHolderSince > handoverDelay;
}

asio::awaitable<void> ControllerLease::run()
{
    BootTime begun = bootNow();
    for (;;) {
        co_await sleepFor(step);
        if (m_context.isStopping() || m_isReleased)
            continue;
        if (isHandoverDue() && m_health.isServing()) {
            m_context.log.write("lease_handed_over", { { "term", m_term } });
            co_await claim(true);
            m_weakHolderSince.reset();
            continue;
        }
        bool isOwn = m_holder == m_self;
        if (m_holder.empty() && bootNow() - begun < firstClaimDelay)
            continue;
        BootTime waited = bootNow() - (isOwn ? m_validFrom : m_holderSeenAt);
        bool isFree = m_holder.empty();
        // A node that cannot read the store sees no renewals either, which is no reason to take over.
        if (!isOwn && (!m_health.isServing() || !isCandidate()))
            continue;
        if (isOwn ? waited >= renewPeriod : (isFree || waited >= takeoverDelay())) {
            if (!isOwn)
                co_await sleepFor(std::chrono::duration_cast<Milliseconds>(
                    std::chrono::duration<double, std::milli>(claimJitterMs * m_context.drawUniform())));
            bool isStillDue = isOwn || m_holder.empty() || bootNow() - m_holderSeenAt >= takeoverDelay();
            if (isStillDue && m_context.hasHostList)
                co_await claim(false);
        }
    }
}

asio::awaitable<void> ControllerLease::claim(bool isRelease)
{
    BootTime sentAt = bootNow();
    std::string record = encodeJson({ { "holder", isRelease ? "" : m_self } });
    m_context.metrics.count("store_calls_total{kind=\"append\"}");
    if (m_holder == m_self && !isRelease)
        m_context.metrics.observe(
            "lease_renewal_late_seconds", std::max(BootTime(0), sentAt - m_validFrom - renewPeriod));
    auto answer = co_await m_context.pool.exchange(m_context.settings.store,
        m_context.platform.append(LogName::Controller, m_follower.nextOffset(), record), claimTimeout, Step::LogAppend);
    auto* response = std::get_if<HttpResponse>(&answer);
    auto offset = response ? m_context.platform.appendedOffset(*response) : Settled<uint64_t>(std::get<Error>(answer));
    if (auto* error = std::get_if<Error>(&offset)) {
        m_context.log.write("lease_claim_failed", { { "problem", describe(*error) } });
        m_isStoreUnavailable = error->code != ErrorCode::Stale;
        co_await sleepFor(claimRetryDelay);
        co_return;
    }
    // The follower reads the record shortly after; the lease takes effect only then.
    m_validFrom = sentAt;
    m_isStoreUnavailable = false;
}

asio::awaitable<void> ControllerLease::release()
{
    if (m_holder != m_self)
        co_return;
    m_isReleased = true;
    co_await claim(true);
}

} // namespace Kumquatpick
