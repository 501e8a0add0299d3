#include "gateway/gateway.h"

#include "gateway/answerfault.h"
#include "gateway/asio.h"
#include "gateway/task.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Kumquatpick {

namespace {

    // Must be below two seconds, for which a leaving host may still get work.
    constexpr Milliseconds maxHostLongPoll { 1000 };
    constexpr int ticksPerSecond = 20; // Maintenance ticks per second; some tasks run only once a second.
    constexpr int ticksPerIdleCheck = 2; // Of connections; as precise as their idle limits need to be known.
    constexpr int ticksPerReportExpiry = 5; // It visits all hosts.
    // A longer pause of the event loop delays all responses too much. Each such pause is logged.
    constexpr Milliseconds longPause { 200 };

    constexpr uint64_t maxQueryBytes = 0; // Readiness checks and requests for the list of nodes have no body.
    constexpr uint64_t maxPeerRequestBytes = 16 << 20; // A peer may send a complete configuration.
    constexpr Milliseconds lastAnswersPoll { 10 };
    constexpr Milliseconds lastLogTime { 100 }; // For the reader of the log to take the last lines.

    void logConfig(GatewayContext& context, std::string_view source, MonotonicTime::duration age)
    {
        context.log.write("config_adopted",
            { { "version", context.routes->version() }, { "source", source },
                { "age_ms", std::chrono::round<Milliseconds>(age).count() },
                { "routes", context.routes->config().routes.size() },
                { "teams", context.routes->config().teams.size() } });
    }

}

Gateway::Gateway(asio::io_context& io, const GatewaySettings& settings, const Platform& platform)
    : m_context(io, settings, platform)
    , m_health(m_context)
    , m_peers(m_context,
          { [this] { return ownReport(); },
              [this](
                  const NodeExchange::Received& received, std::string_view sender) { applyReceived(received, sender); },
              [this](std::string_view text, std::string_view source) { adoptConfig(text, source); },
              [this](const EvacuationReport& report, std::string_view source) {
                  m_context.evacuations.applyReport(report, m_context.now());
                  applyEvacuations(source);
              } })
    , m_loads(m_context, m_peers)
    , m_lease(m_context, m_health, m_peers)
    , m_controller(m_context, m_lease, m_peers, m_loads)
    , m_configFollower(m_context, m_health, LogName::OperatorsConfig,
          { LogReadTiming::forMaxDelay(std::min(settings.configWithin, settings.evacuateWithin)), Milliseconds(0),
              Milliseconds(0) },
          configHandlers())
    , m_hostFollower(m_context, m_health, LogName::BackendServers,
          { LogReadTiming(maxHostLongPoll), settings.hostReadPause(), settings.quietHostReadPause() }, hostHandlers())
    , m_callerConnections(io, "callers", settings.callerBudget(), m_context.log, m_context.metrics)
    , m_callers(io, m_context.log, [this](asio::ip::tcp::socket socket) { acceptCaller(std::move(socket)); })
    , m_readiness(m_context, "readiness", settings.queryBudget(), maxQueryBytes,
          [this](const HttpRequest& request) { return answerReadiness(request); })
    , m_entries(m_context, "entries", settings.queryBudget(), maxQueryBytes,
          [this](const HttpRequest& request) { return answerEntries(request); })
    , m_peerServer(m_context, "peers", settings.peerBudget(), maxPeerRequestBytes,
          [this](const HttpRequest& request) { return answerPeer(request); })
{
    m_context.pool.setAnswerFaultHandler(
        [this](AnswerFault fault, const Address& peer, Step step, std::string_view reason) {
            m_context.metrics.count(fmt::format("{}{{kind=\"exchange\"}}", metricName(fault)));
            m_context.log.writeRoutine(
                eventName(fault), { { "peer", peer.toString() }, { "step", name(step) }, { "reason", reason } });
        });
    m_context.noticeStop = [this] { stopIfRequested(); };
    m_context.nodesReaching = [this](std::string_view service) { return m_peers.nodesReaching(service); };
    m_hostFollower.setReadFromPeer(
        [this](uint64_t from, bool isStoreUnavailable) { return m_peers.reads().readHosts(from, isStoreUnavailable); });
    m_peers.reads().setHostRecordSource([this](uint64_t from) {
        auto batch = m_hostFollower.feed().readFrom(from, m_context.now());
        if (batch) {
            batch->configVersion = m_context.routes ? m_context.routes->version() : 0;
            batch->storeUptime = std::chrono::floor<Milliseconds>(m_context.now() - m_health.servedSince());
            batch->configAge = std::chrono::ceil<Milliseconds>(configAge());
            batch->evacuations = m_context.evacuations.report(m_context.now());
        }
        return batch;
    });
    // Peers that read the store also report new configurations: 95 nodes that each waited at the store for
    // configurations made a quarter of all store calls.
    m_configFollower.followWhile([this] {
        bool isReadByPeer = !m_hostFollower.mayReadStore() || m_hostFollower.hasRecentPeerRead();
        return !m_context.routes || !isReadByPeer;
    });
    m_peers.reads().fetchConfigsWhile([this] { return m_hostFollower.hasRecentPeerRead(); });
}

Settled<std::monostate> Gateway::start()
{
    const GatewaySettings& settings = m_context.settings;
    for (const Settled<uint16_t>& port : { m_callers.start(settings.callers), m_readiness.start(settings.readiness),
             m_entries.start(settings.entries), m_peerServer.start(settings.peers) }) {
        if (auto* error = std::get_if<Error>(&port))
            return *error;
    }
    if (!settings.isCpuShareReadable())
        m_context.log.write("setting_ignored",
            { { "setting", "cpu-share" }, { "value", settings.cpuShare },
                { "used_value", settings.cpuShareOrDefault() },
                { "allowed", "a number of cores above 0, such as 0.25" } });
    m_context.log.write(
        "started", { { "callers", settings.callers.toString() }, { "store", settings.store.toString() } });
    startEssential("following the configuration", m_configFollower.run());
    startEssential("following the list of backend servers", m_hostFollower.run());
    startEssential("following the controller's log", m_lease.follow());
    startEssential("claiming the lease", m_lease.run());
    startEssential("controlling replicas", m_controller.run());
    startEssential("exchanging state with nodes", m_peers.run());
    startEssential("exchanging loads", m_loads.run());
    startEssential("maintenance", runMaintenance());
    return std::monostate {};
}

// A node without one of its tasks could not keep its promises. It stops, and the platform starts it again.
void Gateway::startEssential(std::string_view task, asio::awaitable<void> work)
{
    asio::co_spawn(m_context.io, std::move(work), [this, task](const std::exception_ptr& exception) {
        logTaskFailure(m_context.log, task, exception);
        if (exception)
            stop();
    });
}

void Gateway::acceptCaller(asio::ip::tcp::socket socket)
{
    auto session = std::make_shared<CallerSession>(m_context, std::move(socket));
    auto share = m_callerConnections.admit([weak = session->weak_from_this()](Shortage shortage) {
        if (auto open = weak.lock())
            open->end(shortage);
    });
    if (!share)
        return session->refuseAtOnce();
    session->setShare(std::move(share));
    m_sessions.push_back(session);
    asio::co_spawn(m_context.io, session->run(), [this, session](const std::exception_ptr& exception) {
        logTaskFailure(m_context.log, "serving a caller's connection", exception);
    });
}

bool Gateway::isReady() const { return m_context.routes && m_context.hasHostList && !m_context.isStopping(); }

asio::awaitable<HttpResponse> Gateway::answerReadiness(const HttpRequest& request) const
{
    std::string_view target = toView(request.target());
    HttpResponse response(http::status::not_found, 11);
    if (m_context.platform.isReadinessQuery(target))
        response.result(isReady() ? http::status::ok : http::status::service_unavailable);
    if (target == "/metrics") {
        response.result(http::status::ok);
        response.set(http::field::content_type, "text/plain; version=0.0.4");
        response.body() = m_context.metrics.prometheusText();
    }
    co_return response;
}

asio::awaitable<HttpResponse> Gateway::answerPeer(const HttpRequest& request)
{
    if (request.target() == LoadExchange::target)
        co_return m_loads.answer(request);
    co_return co_await m_peers.answer(request);
}

asio::awaitable<HttpResponse> Gateway::answerEntries(const HttpRequest& request)
{
    HttpResponse response(http::status::not_found, 11);
    auto query = m_context.platform.entriesQuery(toView(request.target()));
    if (!query)
        co_return response;
    std::vector<std::string> addresses = m_peers.callerAddresses();
    if (isReady())
        addresses.push_back(m_context.settings.callers.toString());
    std::ranges::shuffle(addresses, m_context.random);
    if (addresses.empty()) {
        response.result(http::status::service_unavailable);
        co_return response;
    }
    response.result(http::status::ok);
    response.set(http::field::content_type, "application/json");
    response.body() = m_context.platform.entriesResponse(addresses, m_context.settings.entriesLifetime);
    co_return response;
}

void Gateway::adoptConfig(std::string_view text, std::string_view source)
{
    auto config = m_context.platform.config(text);
    if (auto* error = std::get_if<Error>(&config)) {
        m_context.log.write("config_unreadable", { { "problem", describe(*error) }, { "source", source } });
        return;
    }
    auto& newConfig = std::get<FleetConfig>(config);
    if (m_context.routes && newConfig.version <= m_context.routes->version())
        return;
    m_context.routes = std::make_shared<const RouteTable>(std::move(newConfig));
    m_context.configText = text;
    logConfig(m_context, source, configAge());
    applyColdRates();
    retryHostsWithoutService();
}

LogFollower::Handlers Gateway::configHandlers()
{
    auto applyRecord = [this](const LogRecord& record) {
        bool isConfig = record.isReadable && record.value && m_context.platform.isConfigKey(record.key);
        if (isConfig)
            adoptConfig(*record.value, "store");
        return isConfig || applyEvacuationRecord(record);
    };
    return { [this] { m_context.evacuations.beginListing(); }, applyRecord,
        [this] {
            m_context.evacuations.endListing(m_configFollower.nextOffset(), m_context.now());
            applyEvacuations("store");
        },
        [this] {
            m_context.evacuations.advance(m_configFollower.nextOffset());
            applyEvacuations("store");
        } };
}

asio::awaitable<void> Gateway::runMaintenance()
{
    for (int tick = 0;; ++tick) {
        detectLoopPause(m_context.now());
        stopIfRequested();
        {
            LoopTime::Section section(m_context.loopTime, LoopPart::Upkeep);
            removeDueHosts();
            examineGoneHosts();
            m_context.isConfigCurrent = isConfigCurrent();
            if (tick % ticksPerIdleCheck == 0)
                m_context.pool.closeIdle(m_context.now());
            if (tick % ticksPerReportExpiry == 0)
                m_context.hosts.expireReports(m_context.now());
            refreshPeersInFlight();
            checkLinks();
            moveCalls();
            if (m_context.suspicion.hasUrgentChanges())
                m_peers.exchangeNow();
            updateDemand();
            m_context.log.flush();
            if (tick % ticksPerSecond == 0) {
                refreshHostAddresses();
                divideLimits();
                reportAliveNodes();
                reportRetries();
                m_context.suspicion.setLiveNodes(m_peers.liveIncarnations());
                m_context.balancer.backoffs().expire(m_context.now());
                m_sessions.remove_if([](const auto& session) { return session.expired(); });
                publishLoopMetrics();
                publishClientMetrics();
                publishEvacuations();
            }
        }
        refreshTargets();
        // The duration of the tick itself is not a pause.
        m_context.pauses.timerFired(m_context.now(), m_context.now() + maintenancePeriod);
        co_await sleepFor(maintenancePeriod);
    }
}

// A pause of this event loop does not mean that streams stalled: data received meanwhile has not been read yet.
void Gateway::detectLoopPause(MonotonicTime now)
{
    m_context.pauses.timerFired(now, now + maintenancePeriod);
    auto pause = m_context.pauses.latest();
    m_context.metrics.observe("loop_pause_seconds", pause);
    if (pause == MonotonicTime::duration(0))
        return;
    m_context.balancer.excludePause(pause, now);
    if (pause > m_longestPause)
        m_longestPause = pause;
    if (pause < longPause)
        return;
    m_context.metrics.count("loop_long_pauses_total");
    nlohmann::json fields { { "pause_ms", std::chrono::duration<double, std::milli>(pause).count() },
        { "calls", m_context.calls.size() } };
    for (size_t i = 0; i < loopPartNames.size(); ++i)
        fields["spent_s"][loopPartNames[i]] = toSeconds(m_context.loopTime.spent(static_cast<LoopPart>(i)));
    m_context.log.write("loop_paused", std::move(fields));
}

void Gateway::publishLoopMetrics()
{
    Metrics& metrics = m_context.metrics;
    metrics.set("loop_longest_pause_seconds", toSeconds(m_longestPause));
    metrics.set("config_age_seconds", toSeconds(configAge()));
    metrics.set("cold_servers", static_cast<double>(m_context.balancer.warmups().size()));
    metrics.set("limited_servers", static_cast<double>(m_context.balancer.limits().size()));
    metrics.set("choices_without_limited_server", static_cast<double>(m_context.balancer.rateLimitExclusions()));
    metrics.set("backed_off_servers", static_cast<double>(m_context.balancer.backoffs().size()));
    metrics.set("suspected_requests", static_cast<double>(m_context.suspicion.suspects()));
    metrics.set("calls_in_flight", static_cast<double>(m_context.calls.size()));
    for (size_t i = 0; i < loopPartNames.size(); ++i)
        metrics.set(fmt::format("loop_busy_seconds{{part=\"{}\"}}", loopPartNames[i]),
            toSeconds(m_context.loopTime.spent(static_cast<LoopPart>(i))));
}

void Gateway::publishClientMetrics() const
{
    m_callerConnections.publishMetrics();
    m_readiness.publishMetrics();
    m_entries.publishMetrics();
    m_peerServer.publishMetrics();
}

// When the store, or a node that reads it for this one, last reported the newest version; nothing if neither has done
// so.
std::optional<MonotonicTime> Gateway::configConfirmedAt() const
{
    MonotonicTime confirmedAt
        = std::max(m_configFollower.syncedAt().value_or(MonotonicTime {}), m_peers.reads().configConfirmedAt());
    return confirmedAt == MonotonicTime {} ? std::nullopt : std::optional(confirmedAt);
}

// Zero if no version was reported yet.
MonotonicTime::duration Gateway::configAge() const
{
    MonotonicTime now = m_context.now();
    return now - configConfirmedAt().value_or(now);
}

bool Gateway::isConfigCurrent() const
{
    return configConfirmedAt() && configAge() <= m_context.settings.configWithin && !m_peers.reads().knowsNewerConfig();
}

void Gateway::stopIfRequested()
{
    if (auto requestedAt = m_stopRequestedAt())
        stop(*requestedAt);
}

// The grace period began when the request to stop came, which may be a while ago.
void Gateway::stop(MonotonicTime requestedAt)
{
    if (m_context.isStopping())
        return;
    m_context.stopPlan.emplace(requestedAt, m_context.settings.stopGrace, m_context.settings.entriesLifetime);
    m_context.hasOtherNodes = !m_peers.callerAddresses().empty();
    std::chrono::duration<double, std::milli> delay = m_context.now() - requestedAt;
    m_context.log.write("stopping", { { "calls", m_context.calls.size() }, { "delay_ms", delay.count() } });
    m_context.log.flush();
    m_peers.exchangeNow();
    // Other nodes take over once it is released; if the store does not answer, they wait for the lease to expire.
    asio::co_spawn(m_context.io, m_lease.release(), loggingFailure(m_context.log, "releasing the lease"));
    asio::co_spawn(m_context.io, stopGracefully(), loggingFailure(m_context.log, "stopping"));
}

// A stopping node is no longer in the list of nodes that callers request. It takes calls that it can finish until every
// caller must have refreshed its list. Only then are connections without a request closed.
asio::awaitable<void> Gateway::stopGracefully()
{
    const StopPlan plan = *m_context.stopPlan;
    while (m_context.now() < plan.callersLeftAt()) {
        m_context.hasOtherNodes = !m_peers.callerAddresses().empty();
        co_await sleepFor(maintenancePeriod);
    }
    m_callers.stop();
    while (closeIdleSessions() > 0 && m_context.now() < plan.cutAt())
        co_await sleepFor(maintenancePeriod);
    std::vector<std::shared_ptr<ActiveCall>> remaining(m_context.calls.begin(), m_context.calls.end());
    for (const auto& call : remaining)
        call->cancel(CancelReason::NodeShutdown);
    while (closeIdleSessions() > 0 && m_context.now() < plan.exitAt())
        co_await sleepFor(lastAnswersPoll);
    for (const auto& call : m_context.calls)
        m_context.log.write("request", { { "id", call->id }, { "host", call->hostId }, { "outcome", "cut_by_exit" } });
    m_context.log.write(
        "stopped", { { "cancelled_calls", remaining.size() }, { "cut_calls", m_context.calls.size() } });
    m_context.log.drain(lastLogTime);
    m_context.io.stop();
}

// Returns the number of sessions that still read, forward or answer a request.
size_t Gateway::closeIdleSessions()
{
    size_t busy = 0;
    for (const auto& weakSession : m_sessions) {
        auto session = weakSession.lock();
        if (session && !session->closeIfIdle())
            ++busy;
    }
    return busy;
}

} // namespace Kumquatpick
