#include "../standin2/backend.h"
#include "../standin2/client.h"
#include "../standin2/config.h"
#include "../standin2/gateway.h"

#include <cstdlib>
#include <memory>
#include <thread>

// A node is killed and starts again after the records with which the controller took its lease have expired.

namespace {

using namespace Review;
using namespace std::chrono_literals;

constexpr auto historyKept = 20s; // Of the deployment's sheet.
constexpr int nodes = 3;
constexpr int hosts = 8;
constexpr int requests = 100;

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

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
        m_store.put("keyed.op", "config",
            config(1, { route("reply", "streaming", "writers") }, { modelService("writers") }).dump());
    }

    int run(bool hasTrouble)
    {
        for (const auto& node : m_nodes)
            node->start();
        if (!awaitController(10s))
            return exitNotRun;
        std::this_thread::sleep_for(historyKept + 5s);
        m_record.write("controller: " + controller());
        if (hasTrouble)
            restartOther();
        std::this_thread::sleep_for(5s);
        startHosts();
        return judge(sendRequests());
    }

private:
    // The newest record of the controller's log; empty if no node has claimed yet.
    std::string controller() { return m_store.newestRecord("kumquatpick-controller"); }

    bool awaitController(std::chrono::seconds limit)
    {
        for (auto until = std::chrono::steady_clock::now() + limit; std::chrono::steady_clock::now() < until;) {
            if (!controller().empty())
                return true;
            std::this_thread::sleep_for(100ms);
        }
        return false;
    }

    void restartOther()
    {
        std::string holder = controller();
        for (const auto& node : m_nodes) {
            if (holder.find(node->name() + "/") != std::string::npos)
                continue;
            m_record.write("SIGKILL of " + node->name());
            node->kill();
            std::this_thread::sleep_for(500ms);
            node->start();
            return;
        }
    }

    void startHosts()
    {
        m_record.write("the hosts start");
        for (int i = 0; i < hosts; ++i)
            m_hosts.push_back(std::make_unique<Backend>(
                m_store, m_record, Backend::Options { "i-" + std::to_string(i), "writers" }));
        std::this_thread::sleep_for(10s);
    }

    int sendRequests()
    {
        int served = 0;
        for (int i = 0; i < requests; ++i) {
            std::string id = "call-" + std::to_string(i);
            int status = send(m_nodes[i % nodes]->callers(), { "POST", "/reply/x", id, "prompt", 6000, "pair" });
            m_record.write("answer to " + id + ": " + std::to_string(status));
            served += status == 200 ? 1 : 0;
            std::this_thread::sleep_for(100ms);
        }
        return served;
    }

    int judge(int served)
    {
        m_record.write("controller: " + controller());
        m_record.write("served: " + std::to_string(served) + " of " + std::to_string(requests));
        return served == 0 ? exitBroken : exitHeld;
    }

    Record& m_record;
    Store m_store { historyKept };
    std::vector<std::unique_ptr<Gateway>> m_nodes;
    std::vector<std::unique_ptr<Backend>> m_hosts;
};

}

int main(int, char** arguments)
{
    const char* trouble = std::getenv("TROUBLE");
    Record record(arguments[1]);
    int result = exitNotRun;
    {
        auto* test = new Case(record, arguments[2]); // Its threads run until the process ends.
        result = test->run(!trouble || std::string(trouble) != "0");
    }
    std::printf("%s\n", result == exitBroken ? "the rule was broken" : result == exitHeld ? "the rule held" : "not run");
    std::fflush(nullptr);
    std::_Exit(result);
}
