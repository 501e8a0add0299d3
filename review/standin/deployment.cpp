#include "standin/deployment.h"

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Review {

namespace {

    using nlohmann::json;

    constexpr int heartbeatMs = 1200;
    constexpr int missedHeartbeats = 3; // After these the entry of a silent server is removed.
    constexpr const char* service = "results-desk";
    constexpr const char* host = "desk.example";
    constexpr Milliseconds storeHistory { 20'000 };
    constexpr const char* key = "n2ctnfzs989anu6wsjnb";

    // The service with models: replicas of two servers.
    json modelService()
    {
        json model { { "name", modelName }, { "size", 2 }, { "fraction", 1.0 }, { "pace", 1.0 }, { "loadS", 12.0 },
            { "warmS", 1.1 } };
        json runtime { { "capacity", 17 }, { "kvCapacity", 1860000 }, { "kvBytes", 96256 }, { "stride", 5 },
            { "modelList", json::array({ model }) }, { "step_ms", 7.8 }, { "per_seq_ms", 0.0947 },
            { "context_per_k", 0.0096 }, { "read_per_s", 45900.0 }, { "pairs_per_m", 0.433 }, { "chunk", 2048 },
            { "report_lag_ms", 200.0 }, { "loadsPerS", 5.0 }, { "loads_at_once", 7 }, { "delays", json::array() },
            { "usual", { { "prompt", 979 }, { "answer", 154 } } }, { "cacheEntries", 1 }, { "far_x", 4.0 },
            { "formationMs", 300.0 } };
        return { { "name", modelServiceName }, { "healthCheck", "/healthz" }, { "maxConnections", 358 },
            { "protocol", "h1" }, { "tls", false }, { "runtime", runtime } };
    }

    // A configuration like that of a small deployment.
    std::string configText()
    {
        auto route = [](const char* name, const char* prefix, const char* type) {
            return json { { "name", name }, { "host", host }, { "pathPrefix", prefix }, { "type", type },
                { "timeoutMs", 4000 }, { "targetLatencyMs", 300 }, { "priority", 2 }, { "service", service },
                { "maxAttempts", 2 }, { "public", false }, { "sessionAffinity", false }, { "streamResume", false } };
        };
        json summaries = route("r-summaries", "/summaries/", "streaming");
        summaries["service"] = modelServiceName;
        summaries["timeoutMs"] = 8000;
        summaries["sessionAffinity"] = true;
        summaries["streamResume"] = true;
        summaries["targetGapMs"] = 300;
        json config { { "version", 7 },
            { "routes",
                json::array({ route("r-claims", "/claims/", "non_idempotent"),
                    route("r-lookups", "/lookups/", "idempotent"), summaries }) },
            { "services",
                json::array({ { { "name", service }, { "healthCheck", "/healthz" }, { "maxConnections", 96 },
                                  { "protocol", "h1" }, { "tls", false } },
                    modelService() }) },
            { "limits",
                { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 4194304 }, { "headerTimeoutMs", 3000 },
                    { "idleTimeoutMs", 15000 } } },
            { "tenants", json::array({ { { "name", "coaches" }, { "apiKeys", json::array({ key }) } } }) } };
        return config.dump();
    }

    std::vector<char*> pointers(std::vector<std::string>& words)
    {
        std::vector<char*> result;
        for (std::string& word : words)
            result.push_back(word.data());
        result.push_back(nullptr);
        return result;
    }

}

ChildProcess::ChildProcess(
    std::vector<std::string> words, std::vector<std::string> environment, const std::string& output)
{
    std::vector<char*> arguments = pointers(words);
    std::vector<char*> variables = pointers(environment);
    pid_t parent = ::getpid();
    m_pid = ::fork();
    if (m_pid != 0)
        return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent)
        ::_exit(exitNotRun);
    int descriptor = ::open(output.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
    ::dup2(descriptor, STDOUT_FILENO);
    ::dup2(descriptor, STDERR_FILENO);
    ::execve(arguments[0], arguments.data(), variables.data());
    ::_exit(exitNotRun);
}

void ChildProcess::kill()
{
    if (m_pid <= 0)
        return;
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
    m_pid = -1;
}

bool ChildProcess::hasEnded()
{
    if (m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid)
        m_pid = -1;
    return m_pid <= 0;
}

Record::Record(const std::string& path)
    : m_path(path)
    , m_descriptor(::open(path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_TRUNC | O_CLOEXEC, 0644))
{
}

void Record::line(const std::string& text)
{
    std::string whole = std::to_string(nowMs()) + " " + text + "\n";
    if (::write(m_descriptor, whole.data(), whole.size()) < 0)
        std::exit(exitNotRun);
}

std::vector<std::string> Record::lines() const
{
    std::vector<std::string> result;
    std::ifstream file(m_path);
    for (std::string text; std::getline(file, text);)
        result.push_back(text);
    return result;
}

GatewayNode::GatewayNode(std::string name, std::string folder)
    : m_name(std::move(name))
    , m_folder(std::move(folder))
    , m_callers(freePort())
    , m_readiness(freePort())
    , m_entries(freePort())
    , m_peers(freePort())
{
}

void GatewayNode::start(uint16_t store, const std::string& seeds, bool isFirstStart)
{
    auto address = [](uint16_t port) { return "127.0.0.1:" + std::to_string(port); };
    std::vector<std::string> words { "target/kumquatpick-gateway", "--name", m_name, "--zone", "salt-lake",
        "--caller-listen", address(m_callers), "--readiness-listen", address(m_readiness), "--entries-listen",
        address(m_entries), "--peer-listen", address(m_peers), "--seeds", seeds, "--store", address(store),
        "--stop-grace-s", "8", "--config-within-ms", "2000", "--leave-within-ms", "2000", "--heartbeat-ms",
        std::to_string(heartbeatMs), "--retry-ratio", "0.2", "--retry-window-s", "10", "--retry-allowance", "103" };
    std::vector<std::string> environment { "KUMQUATPICK_CPU_SHARE=0.25",
        std::string("KUMQUATPICK_FIRST_START=") + (isFirstStart ? "true" : "false"),
        "KUMQUATPICK_EVACUATE_WITHIN_MS=", "KUMQUATPICK_WARMUP_OVERRUN=", "KUMQUATPICK_WARMUP_ALLOWANCE=" };
    m_process = std::make_unique<ChildProcess>(
        std::move(words), std::move(environment), m_folder + "/" + m_name + "-" + std::to_string(++m_starts) + ".log");
}

void GatewayNode::kill() { m_process.reset(); }

bool GatewayNode::isReady() const
{
    return ask(m_readiness, "GET", "/readyz", { { "Host", "127.0.0.1" } }, "", Milliseconds(500)).status == 200;
}

Deployment::Deployment(const std::string& folder, Record& record)
    : m_folder(folder)
    , m_record(record)
    , m_store(storeHistory)
{
    m_store.put("keyed.op", "config", configText());
    m_beats = std::thread([this] { beat(); });
}

Deployment::~Deployment()
{
    m_isEnding = true;
    m_beats.join();
}

ServerNode& Deployment::addServer(const std::string& id, std::vector<std::string> options)
{
    auto server = std::make_unique<ServerNode>();
    server->id = id;
    server->port = freePort();
    server->options = std::move(options);
    startServer(*server);
    std::lock_guard lock(m_mutex);
    m_servers.push_back(std::move(server));
    return *m_servers.back();
}

void Deployment::startServer(ServerNode& server)
{
    std::vector<std::string> words { "review/build/server", "id=" + server.id, "port=" + std::to_string(server.port),
        "record=" + m_record.path() };
    words.insert(words.end(), server.options.begin(), server.options.end());
    std::lock_guard lock(m_mutex);
    server.process = std::make_unique<ChildProcess>(
        std::move(words), std::vector<std::string>(), m_folder + "/" + server.id + ".log");
    server.beatAt = 0;
}

void Deployment::killServer(ServerNode& server)
{
    m_record.line("server " + server.id + " is killed");
    std::lock_guard lock(m_mutex);
    server.process->kill();
}

void Deployment::addModelServers(int count)
{
    for (int i = 0; i < count; ++i)
        m_modelServers.push_back(std::make_unique<ModelServer>(m_store, "i-writer-" + std::to_string(i)));
    m_record.line(std::to_string(count) + " model servers are added");
}

GatewayNode& Deployment::addGateway(const std::string& name)
{
    m_gateways.push_back(std::make_unique<GatewayNode>(name, m_folder));
    return *m_gateways.back();
}

std::string Deployment::seeds() const
{
    std::string result;
    for (const auto& node : m_gateways)
        result += (result.empty() ? "" : ",") + node->peers();
    return result;
}

void Deployment::startGateways(bool isFirstStart)
{
    for (const auto& node : m_gateways)
        startGateway(*node, isFirstStart);
}

bool Deployment::awaitReady(Milliseconds limit)
{
    auto until = Clock::now() + limit;
    for (const auto& node : m_gateways) {
        while (!node->isReady()) {
            if (Clock::now() > until)
                return false;
            std::this_thread::sleep_for(Milliseconds(50));
        }
    }
    return true;
}

// Each server that runs and reaches the store writes its entry now and then; the entries of others expire.
void Deployment::beat()
{
    for (; !m_isEnding; std::this_thread::sleep_for(Milliseconds(20))) {
        std::lock_guard lock(m_mutex);
        for (const auto& server : m_servers) {
            bool isBeating = server->reachesStore && !server->process->hasEnded();
            int64_t silence = nowMs() - server->beatAt;
            if (isBeating && silence >= heartbeatMs) {
                writeEntry(*server);
            } else if (!isBeating && server->isListed && silence >= heartbeatMs * missedHeartbeats) {
                m_store.put("keyed.servers", server->id, "");
                server->isListed = false;
                m_record.line("the entry of " + server->id + " is removed");
            }
        }
    }
}

void Deployment::writeEntry(ServerNode& server)
{
    static int sequence = 0;
    json entry { { "service", service }, { "address", "127.0.0.1:" + std::to_string(server.port) },
        { "zone", "salt-lake" }, { "version", "v1" }, { "capacity", 6 }, { "state", "ready" }, { "warmupLeftMs", 0 },
        { "sequence", ++sequence } };
    m_store.put("keyed.servers", server.id, entry.dump());
    server.beatAt = nowMs();
    server.isListed = true;
}

Answer Deployment::send(GatewayNode& node, std::string_view method, const std::string& path, const std::string& attempt,
    const std::string& body, Milliseconds patience, const Headers& further)
{
    m_record.line("client sends " + attempt + " " + path);
    Headers headers { { "Host", host }, { "Attempt-Id", attempt }, { "Key", key },
        { "Deadline-Ms", std::to_string(patience.count()) } };
    headers.insert(headers.end(), further.begin(), further.end());
    // A client waits somewhat longer than the time that it names.
    Answer answer = ask(node.callers(), method, path, headers, body, patience + Milliseconds(1000));
    m_record.line("client got " + attempt + " " + std::to_string(answer.status) + " "
        + (answer.isComplete ? "complete" : "incomplete") + " " + std::to_string(answer.body.size()) + " bytes"
        + (answer.problem.empty() ? "" : " (" + answer.problem + ")"));
    return answer;
}

bool isTroubleWanted()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::strcmp(value, "0") != 0;
}

} // namespace Review
