#include "../standin2/backend.h"
#include "../standin2/case.h"
#include "../standin2/client.h"
#include "../standin2/config.h"
#include "../standin2/gateway.h"

#include <atomic>
#include <map>
#include <memory>
#include <set>
#include <thread>

// Two services serve the same model. The controller is killed, and then the hosts of a domain crash.

namespace {

using namespace Review;
using namespace std::chrono_literals;

constexpr int nodes = 3;
constexpr int hostsPerService = 5;
constexpr int clients = 12;
constexpr auto requestPause = 50ms;
constexpr auto calm = 4s;
constexpr auto formingTime = 8s;
constexpr auto downTime = 4500ms; // Of crashed hosts.

class Case {
public:
    Case(Record& record, const std::string& folder)
        : m_record(record)
    {
        const char* zones[] = { "salt-lake", "howrah", "siliguri" };
        for (int i = 0; i < nodes; ++i)
            m_nodes.push_back(std::make_unique<Gateway>(
                Gateway::Options { "edge-" + std::to_string(i), zones[i], m_store.address(), {}, folder }));
        std::string seeds;
        for (const auto& node : m_nodes)
            seeds += (seeds.empty() ? "" : ",") + ("127.0.0.1:" + std::to_string(node->peers()));
        for (const auto& node : m_nodes)
            node->setSeeds(seeds);
        publish();
    }

    int run(bool hasTrouble)
    {
        for (const auto& node : m_nodes)
            node->start();
        startHosts("writers", false);
        std::this_thread::sleep_for(formingTime);
        startHosts("writers-new", true);
        std::this_thread::sleep_for(formingTime);
        for (int i = 0; i < clients; ++i)
            m_clients.emplace_back([this, i] { sendRequests(i); });
        std::this_thread::sleep_for(calm);
        if (m_served == 0)
            return exitNotRun;
        if (hasTrouble)
            killController();
        std::this_thread::sleep_for(calm);
        if (hasTrouble)
            crashHosts();
        std::this_thread::sleep_for(downTime + formingTime + calm);
        m_isEnding = true;
        for (std::thread& client : m_clients)
            client.join();
        return judge();
    }

private:
    void publish()
    {
        nlohmann::json text
            = config(1, { route("reply", "streaming", "writers"), route("claim", "streaming", "writers-new") },
                { modelService("writers"), modelService("writers-new") });
        m_store.put("keyed.op", "config", text.dump());
        m_allowed["/reply/x"].insert("writers");
        m_allowed["/claim/x"].insert("writers-new");
    }

    void killController()
    {
        std::string holder = m_store.newestRecord("kumquatpick-controller");
        for (const auto& node : m_nodes) {
            if (holder.find(node->name() + "/") == std::string::npos)
                continue;
            m_record.write("SIGKILL of the controller " + node->name());
            node->kill();
            std::this_thread::sleep_for(500ms);
            node->start();
        }
    }

    void crashHosts()
    {
        m_record.write("the hosts of the domain crash");
        for (const auto& host : m_hosts)
            host->crash(downTime);
    }

    // In the order of their ids, two hosts of the second service lie between two of the first one.
    void startHosts(const std::string& service, bool isSecond)
    {
        for (int i = 0; i < hostsPerService; ++i) {
            int inner = i % 2 == 0 ? 1 : 2;
            int outer = i % 2 == 0 ? 0 : 3;
            char id[16];
            std::snprintf(id, sizeof id, "i-%04x", i / 2 * 4 + (isSecond ? inner : outer));
            m_hosts.push_back(std::make_unique<Backend>(m_store, m_record, Backend::Options { id, service }));
        }
    }

    void sendRequests(int client)
    {
        std::string path = client % 2 == 0 ? "/reply/x" : "/claim/x";
        for (int i = 0; !m_isEnding; ++i) {
            std::string id = "call-" + std::to_string(client) + "-" + std::to_string(i);
            const Gateway& node = *m_nodes[static_cast<size_t>((client + i) % nodes)];
            int status = send(node.callers(), { "POST", path, id, "prompt", 6000, "pair" });
            m_record.write("answer to " + id + " on " + path + ": " + std::to_string(status));
            m_served += status == 200 ? 1 : 0;
            std::this_thread::sleep_for(requestPause);
        }
    }

    int judge()
    {
        int wrong = 0;
        for (const auto& host : m_hosts) {
            for (const Backend::Arrival& run : host->runs()) {
                if (m_allowed[run.path].contains(host->service()))
                    continue;
                ++wrong;
                m_record.write("wrong service: " + run.id + " on " + run.path + " ran at " + host->service());
            }
        }
        m_record.write("requests run by a service to which no configuration lets them go: " + std::to_string(wrong));
        return wrong > 0 ? exitBroken : exitHeld;
    }

    Record& m_record;
    Store m_store { 300s };
    std::vector<std::unique_ptr<Gateway>> m_nodes;
    std::vector<std::unique_ptr<Backend>> m_hosts;
    std::map<std::string, std::set<std::string>> m_allowed; // Services of a path, over all configurations.
    std::vector<std::thread> m_clients;
    std::atomic<int> m_served { 0 };
    std::atomic<bool> m_isEnding { false };
};

}

int main(int, char** arguments) { return runCase<Case>(arguments); }
