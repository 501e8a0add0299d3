#pragma once

#include "base/address.h"
#include "process/process.h"
#include "process/wait.h"

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Kumquatpick {

struct FleetSettings {
    std::vector<std::string> zones { "zone-1", "zone-2", "zone-3" };
    uint32_t nodes = 3; // Spread over the zones in turn, as are the domains and plain hosts.
    uint32_t domains = 2;
    uint32_t enginesPerDomain = 2;
    uint32_t plainHosts = 0;
    std::string plainService = "plain";
    std::vector<std::string> logFlags {};
    std::vector<std::string> membershipFlags { "--dead-after-ms", "1000", "--probe-ms", "100" };
    std::vector<std::string> weightFlags {};
    std::vector<std::string> engineFlags { "--token-ms", "2", "--prefill-ms", "1" };
    std::vector<std::string> plainFlags {};
    std::vector<std::string> nodeFlags {};
    std::vector<std::string> nodeVariables {}; // NAME=VALUE.
};

// One request to a process of the fleet; status 0 if nothing came back.
struct HttpAnswer {
    int status = 0;
    std::string body;
    std::multimap<std::string, std::string> headers; // Names in lower case.

    std::string header(const std::string& lowerCaseName) const;
    nlohmann::json json() const;
};

HttpAnswer httpGet(const Address&, const std::string& path);
HttpAnswer httpPost(const Address&, const std::string& path, const std::string& body,
    const std::map<std::string, std::string>& headers = {});

// A whole deployment of real processes: the outside systems, engines "e1".., plain hosts "p1".. and nodes
// "n1"... All are killed with the object, and their files go with it.
class Fleet {
public:
    explicit Fleet(FleetSettings);
    ~Fleet();

    // One process by name: "log", "membership", "weights", "e1", "p1", "n1".
    Process& process(const std::string& name);
    // Where it serves callers, or its only address.
    const Address& address(const std::string& name) const;
    std::vector<std::string> engines() const;
    std::vector<std::string> nodes() const;

    // Starts another node and puts it on the membership list.
    void addNode(const std::string& name, const std::string& zone);
    // Starts a process that has ended anew at its old address; a node is put on the list again.
    void restart(const std::string& name);
    // Fields of a host on the membership list, such as {"state":"leaving"}.
    void putHost(const std::string& name, const nlohmann::json& fields);
    void deleteHost(const std::string& name);
    void setFaults(const std::string& name, const nlohmann::json& faults);

    // Publishes an operators' text through a node on top of its newest version; the answer's status.
    int publish(const std::string& text, const std::string& node = "n1");
    // Waits until each node is ready.
    bool waitUntilReady(std::chrono::milliseconds limit = processLimit);
    // Waits until the service has this many serving replicas at the node.
    bool waitUntilServing(const std::string& service, uint32_t replicas, const std::string& node = "n1",
        std::chrono::milliseconds limit = processLimit);

    // The load tool, calling the nodes and writing outcomes into the fleet's folder.
    std::unique_ptr<Process> startLoad(const std::vector<std::string>& flags);
    // Judges all that the load tools wrote by all that the hosts recorded: empty if nothing is wrong.
    std::string violations();
    // Lines in each host's record of runs, which outlives the host's process.
    std::map<std::string, size_t> recordedStarts() const;
    const TemporaryFolder& folder() const { return m_folder; }

private:
    struct Member {
        std::string program;
        std::vector<std::string> flags; // Without the addresses.
        std::string zone;
        Address address;
        Address peerAddress; // Of a node.
        std::unique_ptr<Process> process;
    };

    void startOutsideSystems();
    void startHosts();
    void start(const std::string& name, Member);
    void launch(const std::string& name, Member&);
    void listNode(const std::string& name, const Member&);

    FleetSettings m_settings;
    TemporaryFolder m_folder;
    std::map<std::string, Member> m_members;
    std::vector<std::string> m_records;
    std::vector<std::string> m_outcomes;
    uint64_t m_publishes = 0;
};

} // namespace Kumquatpick
