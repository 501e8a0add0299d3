#include "daemon/controllerloop.h"

#include "backend/orders.h"
#include "base/logline.h"
#include "daemon/weightedplacement.h"

#include <nlohmann/json.hpp>

namespace Kumquatpick {

namespace {

    constexpr std::string_view controllerLease = "controller";
    constexpr Milliseconds leaseMargin { 1'000 };
    constexpr Milliseconds proposalTimeout { 2'000 };
    constexpr int maxConcurrentOrders = 16;

    template <typename... Cases> struct Overloaded : Cases... {
        using Cases::operator()...;
    };
    template <typename... Cases> Overloaded(Cases...) -> Overloaded<Cases...>;

    EngineOrder engineOrder(const HostOrder& order, std::vector<Address> peers, const Address& weightStore)
    {
        EngineOrder result;
        result.kind = order.kind == HostOrder::Kind::Load ? OrderKind::Load : OrderKind::Unload;
        result.fencing = order.claim;
        result.service = order.service;
        result.replica = order.replica;
        result.model = order.model;
        result.modelVersion = order.modelVersion;
        result.rank = order.rank;
        result.peers = std::move(peers);
        result.weightStore = weightStore;
        result.weightsBytes = order.weightsBytes;
        return result;
    }

}

ControllerLoop::ControllerLoop(NodeId self, Settings settings, LogReader& reader, LogAppender& appender,
    ReplicaDirectory& directory, HostTracker& hosts)
    : m_self(self)
    , m_settings(std::move(settings))
    , m_reader(reader)
    , m_appender(appender)
    , m_directory(directory)
    , m_hosts(hosts)
    , m_random(seededFromSystem())
    , m_lease(std::string(controllerLease), std::move(self), m_settings.lease, leaseMargin)
    , m_orderArena(maxConcurrentOrders, 0)
{
}

ControllerLoop::~ControllerLoop() { stop(); }

void ControllerLoop::start()
{
    m_thread = std::thread([this] { run(); });
}

void ControllerLoop::stop()
{
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    if (m_thread.joinable())
        m_thread.join();
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [&] { return m_hostsWithOrder.empty(); });
}

void ControllerLoop::onRecordFolded(const AppliedRecord& record, MonotonicTime readAt)
{
    std::lock_guard lock(m_mutex);
    m_lease.folded(record.logged, record.verdict, readAt);
    m_endedClaims.folded(record.logged, record.verdict, readAt);
}

void ControllerLoop::onStateRestored(const State& state, MonotonicTime readAt)
{
    std::lock_guard lock(m_mutex);
    m_lease.restored(state, readAt);
    m_endedClaims.restored(state, readAt);
}

bool ControllerLoop::holdsLease() const
{
    std::lock_guard lock(m_mutex);
    return m_lease.currentTenure(monotonicNow()).has_value();
}

void ControllerLoop::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        m_changed.wait_for(lock, m_settings.period, [&] { return m_stopping; });
        if (m_stopping)
            return;
        lock.unlock();
        if (m_reader.ready() && m_reader.reachable()) {
            for (const auto& action : decide(monotonicNow()))
                executeAction(action);
        }
        lock.lock();
    }
}

std::vector<ControllerAction> ControllerLoop::decide(MonotonicTime now)
{
    auto registry = m_hosts.registry();
    return m_reader.withState([&](const State& state) {
        std::lock_guard lock(m_mutex);
        m_endedClaims.prune(state.claims());
        ControllerInput input { state.config(), state.claims(), registry.views(), m_endedClaims.times(), m_lease,
            registry.hostDataSince(), now };
        return reconcile(input, m_settings.reconcileSettings, weightedPlacement);
    });
}

void ControllerLoop::executeAction(const ControllerAction& action)
{
    std::visit(Overloaded { [&](const HostOrder& order) { enqueueOrder(order); },
                   [&](const auto& proposal) { propose(proposal); } },
        action);
}

// Ignores the verdict: the next round reads the resulting state, so a lost answer needs no handling here.
void ControllerLoop::propose(RecordBody body)
{
    Record record { randomHex128(m_random), std::move(body) };
    auto now = monotonicNow();
    if (std::holds_alternative<LeaseProposal>(record.body)) {
        std::lock_guard lock(m_mutex);
        m_lease.recordSend(record.id, now);
    }
    auto settled = settle([&] { return m_appender.propose(record, now + proposalTimeout); });
    if (auto* error = std::get_if<Error>(&settled))
        logError("controller proposal outcome unknown", *error);
}

std::optional<Address> ControllerLoop::addressOf(const std::string& host) const
{
    for (const auto& listed : m_directory.listed()) {
        if (listed.host == host)
            return listed.address;
    }
    return std::nullopt;
}

std::vector<Address> ControllerLoop::addressesOf(const std::vector<std::string>& hosts) const
{
    std::vector<Address> addresses;
    for (const auto& host : hosts) {
        if (auto address = addressOf(host))
            addresses.push_back(*address);
    }
    return addresses;
}

// Sends at most one order at a time to each host, so that orders from this node can't overtake each other. A load
// order needs the address of every peer. An unload order is sent without them, because it is often caused by the loss
// of a peer.
void ControllerLoop::enqueueOrder(const HostOrder& order)
{
    auto address = addressOf(order.host);
    auto peers = addressesOf(order.peers);
    bool needsPeers = order.kind == HostOrder::Kind::Load;
    if (!address || (needsPeers && peers.size() != order.peers.size()))
        return;
    std::lock_guard lock(m_mutex);
    if (m_stopping || !m_hostsWithOrder.insert(order.host).second)
        return;
    m_orderArena.enqueue([this, order, address, peers] {
        send(order, *address, peers);
        std::lock_guard done(m_mutex);
        m_hostsWithOrder.erase(order.host);
        m_changed.notify_all();
    });
}

void ControllerLoop::send(const HostOrder& order, const Address& address, std::vector<Address> peers)
{
    auto now = monotonicNow();
    if (now >= order.sendBefore)
        return;
    m_hosts.recordOrder(order.host, order.claim, now);
    auto engine = engineOrder(order, std::move(peers), m_settings.weightStore);
    auto answer = settle([&] { return sendOrder(address, engine, m_settings.orderTimeout); });
    if (auto* error = std::get_if<Error>(&answer)) {
        logError("engine order failed", *error);
        return;
    }
    const auto& status = std::get<EngineStatus>(answer);
    m_hosts.recordStatus(status);
    m_directory.probed(status);
    logLine(LogLevel::Info, "engine accepted order",
        { { "step", name(Step::Order) }, { "peer", address.toString() }, { "host", order.host },
            { "claim", order.claim }, { "kind", order.kind == HostOrder::Kind::Load ? "load" : "unload" } });
}

} // namespace Kumquatpick
