#pragma once

#include "base/random.h"
#include "coordination/controller.h"
#include "coordination/endedclaims.h"
#include "coordination/hostregistry.h"
#include "randomlog.h"

#include <deque>
#include <gtest/gtest.h>
#include <map>
#include <string>
#include <vector>

namespace Kumquatpick::Testing {

using namespace std::chrono_literals;

constexpr Milliseconds simulationStep { 500 };
constexpr int simulationHosts = 7; // One more than the services need, so that released hosts are claimed again soon.

// Short limits, so that hosts are reassigned while former holders of the lease are still paused.
inline ControllerSettings simulationSettings()
{
    ControllerSettings settings;
    settings.unresponsiveTimeout = 4s;
    settings.unlistedTimeout = 1s;
    settings.minAnsweringTime = 500ms;
    settings.routingDrainTime = 1500ms;
    settings.maxRequestTime = 30s;
    return settings;
}

inline ServiceConfig modelService(std::string name, uint32_t replicas, FencingSupport fencing)
{
    ServiceConfig service;
    service.name = std::move(name);
    service.model = "kumquat";
    service.modelVersion = "1";
    service.hostsPerReplica = 2;
    service.replicas = replicas;
    service.fencing = fencing;
    return service;
}

// Moves the first replica that makes room to the first domain with enough hosts. It applies no policy, so that the
// checks of the controller itself are tested.
inline std::optional<ReplicaMove> moveFirstFit(const MoveRequest& request)
{
    const auto& domains = request.wanted.freeDomains;
    size_t needed = request.wanted.service.hostsPerReplica;
    for (const Claim* claim : request.movable) {
        const std::vector<std::string>& hosts = claim->proposal.hosts;
        auto from = domains.find(claim->proposal.domain);
        if (hosts.size() >= needed || from == domains.end() || from->second.hosts.size() + hosts.size() < needed)
            continue;
        for (const auto& [name, domain] : domains) {
            if (name == from->first || domain.hosts.size() < hosts.size())
                continue;
            auto end = domain.hosts.begin() + static_cast<long>(hosts.size());
            return ReplicaMove { claim->offset, { name, { domain.hosts.begin(), end } } };
        }
    }
    return std::nullopt;
}

inline PlacementRules movingRules()
{
    PlacementRules rules;
    rules.place = placeFirstFit;
    rules.move = moveFirstFit;
    rules.movesAtOnce = [](const ServiceConfig&, bool recoveriesWait) { return recoveriesWait ? 1 : 2; };
    return rules;
}

// An engine that carries out orders, with or without checking their fencing number.
struct FakeEngine {
    std::string domain;
    bool checksFencing = true;
    bool alive = true;
    bool leaving = false;
    uint64_t incarnation = 1;
    EnginePhase phase = EnginePhase::Idle;
    Offset claim = 0;
    Offset highestClaim = 0; // The newest claim of all orders in this incarnation.
    int stepsToLoad = 0;
    uint32_t requests = 0;
};

struct OrderInFlight {
    MonotonicTime arrives;
    HostOrder order;
};

// One controller process with its own state and host data.
struct FakeController {
    FakeController(const std::string& name, uint64_t incarnation)
        : id { name, incarnation }
        , lease("controller", id, 5s, 1s)
    {
    }

    NodeId id;
    OperatorConfig text; // The configuration that this controller has read so far.

    State state;
    LeaseTracker lease;
    HostRegistry hosts;
    EndedClaims ended;
    MonotonicTime pausedUntil {};
    MonotonicTime disconnectedUntil {}; // Applies to the hosts that disconnectedHost selects.
    std::string disconnectedHost; // Host that does not answer this controller; empty for all hosts.
    Milliseconds listLag {};
    std::vector<ControllerAction> pending; // Actions that were decided on and not executed when the pause began.
};

// Simulates the log, the hosts, the platform's list and the controllers in steps, with a seeded random generator.
class ControllerSimulation {
public:
    ControllerSimulation(uint64_t seed, std::vector<ServiceConfig> services, int hosts = simulationHosts)
        : m_random(seed)
    {
        m_text.services = std::move(services);
        for (int i = 0; i < hosts; ++i)
            engines[fmt::format("h{}", i)].domain = i < 4 ? "d1" : "d2";
        for (const char* name : { "c1", "c2" })
            controllers.emplace_back(name, 1);
    }

    void step()
    {
        now += simulationStep;
        deliverOrders(); // Done first, so that no order takes longer than maxOrderDelay.
        publishList();
        for (FakeController& controller : controllers) {
            if (now >= controller.pausedUntil)
                runController(controller);
        }
        for (auto& [name, engine] : engines)
            runEngine(engine);
        route();
    }

    void append(RecordBody body)
    {
        Offset offset = appliedState.offset() + 1;
        LoggedRecord logged { offset, { fmt::format("id{}", offset), std::move(body) } };
        if (appliedState.apply(logged) == Verdict::Accepted
            && std::holds_alternative<ClaimEndProposal>(logged.record.body))
            m_endedAt[std::get<ClaimEndProposal>(logged.record.body).claim] = now;
        log.push_back(std::move(logged));
    }

    // Replaces the controller process by a new one that starts from a snapshot at an earlier offset.
    void restart(FakeController& controller)
    {
        State past;
        Offset covers = draw(log.size() + 1);
        for (const LoggedRecord& record : log) {
            if (record.offset <= covers)
                past.apply(record);
        }
        FakeController fresh(controller.id.name, controller.id.incarnation + 1);
        fresh.state = *State::restore({ covers, "", 0, 1, past.snapshot() });
        fresh.lease.restored(fresh.state, now);
        fresh.ended.restored(fresh.state, now);
        controller = std::move(fresh);
    }

    size_t readyReplicas(const ServiceConfig& service) const
    {
        size_t ready = 0;
        for (const auto& [offset, claim] : appliedState.claims()) {
            bool wanted = claim.proposal.service == service.name && claim.proposal.modelVersion == service.modelVersion;
            ready += wanted && claim.phase == ClaimPhase::Held && isReady(claim);
        }
        return ready;
    }

    bool isReady(const Claim& claim) const
    {
        for (size_t rank = 0; rank < claim.proposal.hosts.size(); ++rank) {
            const FakeEngine& engine = engines.at(claim.proposal.hosts[rank]);
            if (!engine.alive || engine.incarnation != claim.proposal.incarnations[rank]
                || engine.phase != EnginePhase::Ready || engine.claim != offsetOf(claim))
                return false;
        }
        return true;
    }

    OperatorConfig& text() { return m_text; }

    MonotonicTime now { 1000s };
    std::vector<LoggedRecord> log;
    State appliedState;
    std::map<std::string, FakeEngine> engines;
    std::deque<FakeController> controllers;
    std::vector<std::string> violations;
    bool lossy = true; // Appends and orders may be lost, delayed or duplicated.
    ControllerSettings settings = simulationSettings();
    PlacementRules rules = movingRules();

private:
    static Offset offsetOf(const Claim& claim) { return claim.offset; }

    uint64_t draw(uint64_t below) { return m_random() % below; }

    void publishList()
    {
        std::map<std::string, FakeEngine> list;
        for (const auto& [name, engine] : engines) {
            if (engine.alive)
                list.emplace(name, engine);
        }
        m_lists.emplace_back(now, std::move(list));
        if (m_lists.size() > 20)
            m_lists.pop_front();
    }

    void runController(FakeController& controller)
    {
        for (ControllerAction& action : controller.pending)
            execute(controller, action);
        controller.pending.clear();
        readLog(controller);
        probe(controller);
        if (!lossy || draw(4) == 0)
            controller.text = m_text;
        AcceptedConfig config { 1, controller.text, {} };
        auto actions
            = reconcile({ &config, controller.state.claims(), controller.hosts.views(), controller.ended.times(),
                            controller.lease, controller.hosts.hostDataSince(), now },
                settings, rules);
        bool pauses = lossy && draw(actions.empty() ? 60 : 12) == 0;
        for (ControllerAction& action : actions) {
            checkAction(controller, action);
            if (pauses)
                controller.pending.push_back(std::move(action));
            else
                execute(controller, action);
        }
        if (pauses)
            controller.pausedUntil = now + Milliseconds(draw(15'000));
    }

    void readLog(FakeController& controller)
    {
        size_t behind = lossy ? draw(3) : 0;
        while (controller.state.offset() + behind < log.size()) {
            const LoggedRecord& record = log[controller.state.offset()];
            Verdict verdict = controller.state.apply(record);
            controller.lease.folded(record, verdict, now);
            controller.ended.folded(record, verdict, now);
        }
    }

    void probe(FakeController& controller)
    {
        const auto* list = &m_lists.front().second;
        for (const auto& [time, entries] : m_lists) {
            if (time <= now - controller.listLag)
                list = &entries;
        }
        std::vector<HostEntry> entries;
        for (const auto& [name, engine] : *list)
            entries.push_back({ name, "howrah", engine.domain, "", engine.incarnation, engine.leaving });
        controller.hosts.setListed(entries, now);
        for (const auto& [name, engine] : engines) {
            bool named = controller.disconnectedHost.empty() || controller.disconnectedHost == name;
            bool cutOff = now < controller.disconnectedUntil && named;
            if (engine.alive && !cutOff && (!lossy || draw(20) != 0))
                controller.hosts.recordAnswer(name,
                    { engine.incarnation, engine.leaving, engine.phase, engine.claim, engine.requests }, now, now);
            else
                controller.hosts.recordNoAnswer(name, now);
        }
    }

    // Checks without the code under test: a claim names distinct hosts of one domain, and a load order is sent only
    // while every host of the claim answers and is not leaving.
    void checkAction(const FakeController& controller, const ControllerAction& action)
    {
        if (auto* claim = std::get_if<ClaimProposal>(&action)) {
            std::set<std::string> distinct(claim->hosts.begin(), claim->hosts.end());
            if (distinct.size() != claim->hosts.size())
                violations.emplace_back("claim names a host twice");
            for (const std::string& host : claim->hosts) {
                if (engines.at(host).domain != claim->domain)
                    violations.emplace_back("claim spans several domains");
            }
        }
        if (auto* end = std::get_if<ClaimEndProposal>(&action); end && end->reason == "moved")
            checkMoveEnd(controller, end->claim);
        auto* order = std::get_if<HostOrder>(&action);
        if (!order || order->kind != HostOrder::Kind::Load)
            return;
        for (const std::string& peer : order->peers) {
            const HostView& view = controller.hosts.views().at(peer);
            if (!view.answering || view.isLeaving())
                violations.push_back("load ordered without host " + peer);
        }
    }

    // Checks that the old claim of a move ends only after this controller saw the successor ready.
    void checkMoveEnd(const FakeController& controller, Offset old)
    {
        for (const auto& [offset, claim] : controller.state.claims()) {
            if (claim.proposal.replaces != old || claim.phase != ClaimPhase::Held)
                continue;
            bool ready = true;
            for (const std::string& host : claim.proposal.hosts) {
                const HostView& view = controller.hosts.views().at(host);
                ready = ready && view.answering && view.claim == offset && view.phase == EnginePhase::Ready;
            }
            if (ready)
                return;
        }
        violations.push_back(fmt::format("claim {} ended with reason \"moved\" before its successor was ready", old));
    }

    void execute(FakeController& controller, ControllerAction& action)
    {
        if (auto* order = std::get_if<HostOrder>(&action)) {
            if (now >= order->sendBefore)
                return;
            controller.hosts.recordOrder(order->host, order->claim, now);
            auto flight = lossy ? Milliseconds(draw(settings.maxOrderDelay.count())) : 0ms;
            if (!lossy || draw(10) != 0)
                m_orders.push_back({ now + flight, *order });
            return;
        }
        if (lossy && draw(10) == 0)
            return;
        bool twice = lossy && draw(10) == 0; // The response was lost and the controller retried.
        for (int i = 0; i < (twice ? 2 : 1); ++i) {
            if (std::holds_alternative<LeaseProposal>(action))
                controller.lease.recordSend(fmt::format("id{}", appliedState.offset() + 1), now);
            std::visit(
                [&](auto& body) {
                    if constexpr (!std::is_same_v<std::decay_t<decltype(body)>, HostOrder>)
                        append(body);
                },
                action);
        }
    }

    void deliverOrders()
    {
        std::vector<OrderInFlight> later;
        for (OrderInFlight& inFlight : m_orders) {
            if (inFlight.arrives <= now)
                carryOut(engines.at(inFlight.order.host), inFlight.order);
            else
                later.push_back(std::move(inFlight));
        }
        m_orders = std::move(later);
    }

    void carryOut(FakeEngine& engine, const HostOrder& order)
    {
        if (!engine.alive)
            return;
        if (order.claim < engine.highestClaim) {
            if (!engine.checksFencing)
                violations.push_back(fmt::format(
                    "{} got an order of claim {} after one of claim {}", order.host, order.claim, engine.highestClaim));
            return;
        }
        engine.highestClaim = order.claim;
        if (order.kind == HostOrder::Kind::Unload) {
            if (engine.requests > 0 && engine.claim == order.claim && !replicaFailed(order))
                violations.push_back(fmt::format("{} was unloaded while requests were running", order.host));
            engine.phase = EnginePhase::Idle;
            engine.claim = 0;
            engine.requests = 0;
        } else if (engine.claim != order.claim || engine.phase == EnginePhase::Idle) {
            engine.phase = EnginePhase::Loading;
            engine.claim = order.claim;
            engine.requests = 0;
            engine.stepsToLoad = 3;
        }
    }

    bool replicaFailed(const HostOrder& order) const
    {
        auto claim = appliedState.claims().find(order.claim);
        return claim == appliedState.claims().end() || !isReady(claim->second);
    }

    static void runEngine(FakeEngine& engine)
    {
        if (engine.phase == EnginePhase::Loading && --engine.stepsToLoad == 0)
            engine.phase = EnginePhase::Ready;
    }

    // Entry nodes send requests to held claims, and to an ending claim for a while after its end.
    void route()
    {
        for (const auto& [offset, claim] : appliedState.claims()) {
            FakeEngine& leader = engines.at(claim.proposal.hosts.front());
            if (leader.claim != offset)
                continue;
            bool routed = claim.phase == ClaimPhase::Held
                || now - m_endedAt[offset] < settings.routingDrainTime - simulationStep;
            bool serves = isReady(claim);
            leader.requests = serves && (draw(3) == 0 ? routed && draw(2) == 0 : leader.requests > 0);
        }
    }

    Random m_random;
    OperatorConfig m_text;
    std::deque<std::pair<MonotonicTime, std::map<std::string, FakeEngine>>> m_lists;
    std::vector<OrderInFlight> m_orders;
    std::map<Offset, MonotonicTime> m_endedAt;
};

// The input of one round of a controller that holds a long lease: the claims result from applied proposals, and all
// hosts are healthy.
struct ControllerFixture {
    ControllerFixture()
    {
        config.parsed.services = { modelService("writers", 1, FencingSupport::Checked) };
        config.version = 1;
        lease.recordSend("lease", now);
        fold("lease", lease.proposal());
    }

    Offset fold(const std::string& id, RecordBody body)
    {
        LoggedRecord logged { state.offset() + 1, { id, std::move(body) } };
        Verdict verdict = state.apply(logged);
        lease.folded(logged, verdict, now);
        EXPECT_EQ(verdict, Verdict::Accepted);
        return logged.offset;
    }

    HostView& host(const std::string& name, const std::string& domain = "d1")
    {
        HostView& view = hosts[name];
        view.domain = domain;
        view.listed = view.answering = true;
        view.listedIncarnation = view.incarnation = 1;
        view.statusAt = now;
        return view;
    }

    // Advances the time and refreshes the status of the hosts that answer.
    void advance(Milliseconds time)
    {
        now += time;
        for (auto& [name, host] : hosts) {
            if (host.answering)
                host.statusAt = now;
        }
    }

    // Adds a claim on new hosts that are ready under it.
    Offset claim(const std::string& replica, const std::vector<std::string>& names, std::string version = "1")
    {
        Offset offset = fold("claim " + replica,
            ClaimProposal { "writers", replica, "howrah", "d1", names, { 1, 1 }, "kumquat", std::move(version) });
        for (const std::string& name : names) {
            host(name).phase = EnginePhase::Ready;
            hosts[name].claim = offset;
        }
        return offset;
    }

    void end(Offset claim)
    {
        fold("end", ClaimEndProposal { claim, "scale_down" });
        endedAt[claim] = now - 1h;
    }

    ServiceConfig& service() { return config.parsed.services.front(); }

    std::vector<ControllerAction> actions()
    {
        return reconcile({ &config, state.claims(), hosts, endedAt, lease, hostDataSince, now }, settings, rules);
    }

    template <typename Kind> std::vector<Kind> all()
    {
        std::vector<Kind> found;
        for (ControllerAction& action : actions()) {
            if (auto* kind = std::get_if<Kind>(&action))
                found.push_back(std::move(*kind));
        }
        return found;
    }

    // The orders as text, such as "load h1" or "unload h2".
    std::vector<std::string> orders()
    {
        std::vector<std::string> lines;
        for (const HostOrder& order : all<HostOrder>())
            lines.push_back((order.kind == HostOrder::Kind::Load ? "load " : "unload ") + order.host);
        return lines;
    }

    MonotonicTime now { 10'000s };
    MonotonicTime hostDataSince {};
    State state;
    LeaseTracker lease { "controller", NodeId { "c1", 1 }, 60s, 1s };
    AcceptedConfig config;
    std::map<std::string, HostView, std::less<>> hosts;
    std::map<Offset, MonotonicTime> endedAt;
    ControllerSettings settings;
    PlacementRules rules = movingRules();
};

using Lines = std::vector<std::string>;

inline std::string endReason(ControllerFixture& fixture)
{
    auto ends = fixture.all<ClaimEndProposal>();
    return ends.empty() ? "" : ends.front().reason;
}

} // namespace Kumquatpick::Testing
