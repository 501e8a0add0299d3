#include "standin/peerwatch.h"

#include <algorithm>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace Kumquatpick {

namespace {

    constexpr Milliseconds probeTimeout { 300 };

    bool isReadyUnder(const Address& peer, Offset claim)
    {
        httplib::Client client(peer.ip, peer.port);
        client.set_connection_timeout(probeTimeout);
        client.set_read_timeout(probeTimeout);
        httplib::Result result = client.Get("/v1/status");
        if (!result || result->status != 200)
            return false;
        nlohmann::json status = nlohmann::json::parse(result->body, nullptr, false);
        return status.is_object() && status.value("state", "") == "ready" && status.value("claim", Offset(0)) == claim;
    }

} // namespace

PeerWatch::PeerWatch(Milliseconds period, std::function<void(Offset, bool)> report)
    : m_period(period)
    , m_report(std::move(report))
    , m_thread([this] { run(); })
{
}

PeerWatch::~PeerWatch()
{
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_changed.notify_all();
    }
    m_thread.join();
}

void PeerWatch::watch(Offset claim, std::vector<Address> peers)
{
    std::lock_guard lock(m_mutex);
    m_claim = claim;
    m_peers = std::move(peers);
    ++m_changes;
    m_changed.notify_all();
}

void PeerWatch::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        Offset claim = m_claim;
        std::vector<Address> peers = m_peers;
        uint64_t seen = m_changes;
        lock.unlock();
        if (!peers.empty()) {
            bool complete = std::ranges::all_of(peers, [&](const Address& peer) { return isReadyUnder(peer, claim); });
            m_report(claim, complete);
        }
        lock.lock();
        auto woken = [&] { return m_stopping || m_changes != seen; };
        if (m_peers.empty())
            m_changed.wait(lock, woken);
        else
            m_changed.wait_for(lock, m_period, woken);
    }
}

} // namespace Kumquatpick
