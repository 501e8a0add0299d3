#include "standin/membershiplist.h"

#include <tbb/parallel_for_each.h>

namespace Kumquatpick {

namespace {

    constexpr size_t serverThreads = 128;
    constexpr const char* hostPath = R"(/v1/hosts/([^/]+))";
    constexpr Milliseconds probeTimeout { 400 };

    // A paused process still has its port: only a refused connection tells that an entry host's process is gone.
    bool isAlive(const Address& address, bool isEntry)
    {
        httplib::Client client(address.ip, address.port);
        client.set_connection_timeout(probeTimeout);
        client.set_read_timeout(probeTimeout);
        httplib::Result result = client.Get(isEntry ? "/healthz" : "/v1/status");
        if (isEntry)
            return result.error() != httplib::Error::Connection;
        return result && result->status == 200;
    }

} // namespace

MembershipList::MembershipList(MembershipSettings settings)
    : m_settings(settings)
    , m_server(serverThreads)
{
    httplib::Server& routes = m_server.routes();
    routes.Get("/v1/hosts", [this](const httplib::Request&, httplib::Response& response) { list(response); });
    routes.Put(
        hostPath, [this](const httplib::Request& request, httplib::Response& response) { put(request, response); });
    routes.Delete(
        hostPath, [this](const httplib::Request& request, httplib::Response& response) { remove(request, response); });
    m_prober = std::thread([this] { probeLoop(); });
}

MembershipList::~MembershipList()
{
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_stopped.notify_all();
    }
    m_prober.join();
    m_server.stop();
}

// The body's fields replace those known, so that {"state":"leaving"} alone marks a host.
void MembershipList::put(const httplib::Request& request, httplib::Response& response)
{
    nlohmann::json fields = nlohmann::json::parse(request.body);
    std::string name = request.matches[1];
    std::lock_guard lock(m_mutex);
    Host& host = m_hosts[name];
    if (host.entry.is_null())
        host.entry = { { "host", name }, { "role", "backend" }, { "state", "live" } };
    host.entry.update(fields);
    host.lastAnswer = monotonicNow();
    host.dead = false;
    showLater(name, host.entry);
    answerJson(response, host.entry);
}

void MembershipList::remove(const httplib::Request& request, httplib::Response& response)
{
    std::string name = request.matches[1];
    std::lock_guard lock(m_mutex);
    m_hosts.erase(name);
    showLater(name, nullptr);
    answerJson(response, nlohmann::json::object());
}

void MembershipList::list(httplib::Response& response)
{
    std::lock_guard lock(m_mutex);
    applyDue(monotonicNow());
    nlohmann::json hosts = nlohmann::json::array();
    for (const auto& [name, entry] : m_shown)
        hosts.push_back(entry);
    answerJson(response, { { "revision", m_revision }, { "hosts", std::move(hosts) } });
}

void MembershipList::showLater(const std::string& host, nlohmann::json entry)
{
    m_changes.push_back({ monotonicNow() + m_settings.lag, host, std::move(entry) });
}

void MembershipList::applyDue(MonotonicTime now)
{
    while (!m_changes.empty() && m_changes.front().due <= now) {
        Change& change = m_changes.front();
        if (change.entry.is_null())
            m_shown.erase(change.host);
        else
            m_shown[change.host] = std::move(change.entry);
        ++m_revision;
        m_changes.pop_front();
    }
}

void MembershipList::probeLoop()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        std::vector<Probe> probes = probesToMake();
        lock.unlock();
        tbb::parallel_for_each(probes, [](Probe& probe) { probe.alive = isAlive(probe.address, probe.isEntry); });
        lock.lock();
        judge(probes);
        m_stopped.wait_for(lock, m_settings.probePeriod, [this] { return m_stopping; });
    }
}

std::vector<MembershipList::Probe> MembershipList::probesToMake()
{
    std::vector<Probe> probes;
    for (const auto& [name, host] : m_hosts) {
        std::string text = host.entry.value("address", "");
        auto parsed = settle([&] { return Address::parse(text); });
        if (const Address* address = std::get_if<Address>(&parsed))
            probes.push_back({ name, host.entry.value("role", "") == "entry", *address });
    }
    return probes;
}

void MembershipList::judge(const std::vector<Probe>& probes)
{
    MonotonicTime now = monotonicNow();
    for (const Probe& probe : probes) {
        auto found = m_hosts.find(probe.host);
        if (found == m_hosts.end())
            continue;
        Host& host = found->second;
        if (probe.alive) {
            host.lastAnswer = now;
            if (std::exchange(host.dead, false))
                showLater(probe.host, host.entry);
            continue;
        }
        if (host.dead || now - host.lastAnswer < m_settings.deadAfter)
            continue;
        host.dead = true;
        showLater(probe.host, nullptr);
    }
}

} // namespace Kumquatpick
