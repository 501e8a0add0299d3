#include "backend.h"

#include <thread>

namespace Review {

namespace {

    using nlohmann::json;
    using namespace std::chrono_literals;

    constexpr auto heartbeat = 1200ms;
    constexpr auto entryLifetime = 3 * heartbeat; // Without a beat.
    constexpr auto crashTime = 4500ms;
    constexpr auto silentPoll = 20ms;
    // Of the model "pair": a staged one is joined in warmS, another one is loaded in a tenth of loadS before traffic.
    constexpr auto warmTime = 1100ms;
    constexpr auto loadTime = 1200ms;
    constexpr auto formationTime = 300ms;
    constexpr auto workTime = 15ms;
    constexpr auto eventPause = 40ms;
    constexpr int eventsPerStream = 10;

    std::string answer(int status, const std::string& body)
    {
        return format(
            { "HTTP/1.1 " + std::to_string(status) + " Status", { { "Content-Type", "application/json" } }, body });
    }

}

Backend::Backend(Store& store, Record& record, Options options)
    : m_store(store)
    , m_record(record)
    , m_options(std::move(options))
    , m_server([this](const Message& request, Connection& connection) { return handle(request, connection); })
{
    std::thread([this] { beat(); }).detach();
}

std::string Backend::id()
{
    std::lock_guard lock(m_mutex);
    return m_starts == 0 ? m_options.id : m_options.id + "-" + std::to_string(m_starts);
}

std::vector<Backend::Arrival> Backend::runs()
{
    std::lock_guard lock(m_mutex);
    return m_runs;
}

std::vector<Backend::Clock::time_point> Backend::crashes()
{
    std::lock_guard lock(m_mutex);
    return m_crashes;
}

void Backend::beat()
{
    for (;; std::this_thread::sleep_for(heartbeat))
        announce();
}

void Backend::announce()
{
    if (m_isDown)
        return;
    std::string name = id();
    std::lock_guard lock(m_mutex);
    json entry = status();
    entry["service"] = m_options.service;
    entry["address"] = m_server.address();
    entry["zone"] = "salt-lake";
    entry["version"] = "v1";
    entry["capacity"] = m_options.capacity;
    entry["state"] = "ready";
    entry["warmupLeftMs"] = 0;
    m_store.put("keyed.servers", name, entry.dump());
}

void Backend::crash(std::chrono::milliseconds downFor)
{
    if (m_isDown.exchange(true))
        return;
    if (m_options.endsSilently)
        m_server.refuseNew();
    else
        m_server.stopListening(); // Before the connection that brought the request ends.
    std::thread([this, downFor] {
        std::string former = id();
        std::this_thread::sleep_for(entryLifetime);
        m_store.put("keyed.servers", former);
        std::this_thread::sleep_for(downFor - entryLifetime);
        {
            std::lock_guard lock(m_mutex);
            ++m_starts;
            m_sequence = m_fence = m_epoch = 0;
            m_group.reset();
        }
        m_server.listenAgain();
        m_isDown = false;
        announce();
    }).detach();
}

void Backend::staySilent() const
{
    while (m_options.endsSilently && m_isDown)
        std::this_thread::sleep_for(silentPoll);
}

std::string Backend::state() const
{
    if (m_group->openAt)
        return Clock::now() < *m_group->openAt ? "ready" : "open";
    if (m_group->isClosing && m_streams > 0)
        return "closing";
    return Clock::now() < m_group->readyAt ? "joining" : "ready";
}

json Backend::status()
{
    json result { { "modelList", json::array() }, { "preloaded", json::array() }, { "group", nullptr },
        { "faultDomain", "salt-lake-d0" }, { "sequence", m_sequence } };
    if (!m_staged.empty())
        result["preloaded"].push_back(m_staged);
    if (m_group) {
        result["modelList"].push_back({ { "name", m_group->model }, { "version", 1 }, { "loras", json::array() } });
        result["group"] = { { "name", m_group->name }, { "epoch", m_group->epoch }, { "rank", m_group->rank },
            { "state", state() } };
    }
    return result;
}

bool Backend::handle(const Message& request, Connection& connection)
{
    if (m_isDown) {
        staySilent();
        return false;
    }
    std::string target = request.header("Target-Instance");
    bool isOther = !target.empty() && target != id();
    if (isOther) {
        Message refusal { "HTTP/1.1 421 Status", { { "Not-Executed", "1" } }, {} };
        if (std::string call = request.header("Attempt-Id"); !call.empty())
            refusal.headers.emplace_back("Attempt-Id", call);
        return connection.write(format(refusal));
    }
    if (request.path() == "/report") {
        std::lock_guard lock(m_mutex);
        return connection.write(answer(200, status().dump()));
    }
    if (request.path() == "/order") {
        auto [status, body] = order(request);
        announce();
        return connection.write(answer(status, body));
    }
    return serve(request, connection);
}

std::pair<int, std::string> Backend::order(const Message& request)
{
    json body = json::parse(request.body);
    std::lock_guard lock(m_mutex);
    uint64_t fence = body.value("fencingToken", uint64_t { 0 });
    std::string operation = body["operation"];
    m_record.write("order " + operation + " to " + m_options.id + ": " + request.body);
    if (fence < m_fence)
        return { 412, R"({"reason":"fenced"})" };
    m_fence = fence;
    if (body.contains("precondition") && body["precondition"] != m_sequence)
        return { 409, R"({"reason":"sequence"})" };
    return carryOut(operation, body);
}

std::pair<int, std::string> Backend::carryOut(const std::string& operation, const json& body)
{
    if (operation == "phase") {
        m_staged = body["modelId"];
        ++m_sequence;
        return { 202, "{}" };
    }
    std::string name = body["group"];
    uint64_t epoch = body["epoch"];
    bool isMember = m_group && m_group->name == name && m_group->epoch == epoch;
    if (operation == "join") {
        if (epoch < m_epoch)
            return { 412, R"({"reason":"epoch"})" };
        std::vector<std::string> members = body["members"];
        if (isMember)
            return { members == m_group->members ? 200 : 412, R"({"reason":"epoch"})" };
        std::string self = m_starts == 0 ? m_options.id : m_options.id + "-" + std::to_string(m_starts);
        int rank = static_cast<int>(std::ranges::find(members, self) - members.begin());
        m_epoch = epoch;
        auto joinTime = m_staged == body["modelId"] ? warmTime : loadTime;
        m_staged = body["modelId"];
        m_group = Group { name, epoch, members, m_staged, rank, Clock::now() + joinTime, std::nullopt };
        ++m_sequence;
        return { 202, "{}" };
    }
    if (!isMember)
        return { operation == "leave" ? 200 : 409, "{}" };
    bool isReady = Clock::now() >= m_group->readyAt;
    if (operation == "open" && (!isReady || m_group->rank != 0))
        return { 409, "{}" };
    if (operation == "leave")
        m_group.reset();
    else if (operation == "open" && !m_group->openAt)
        m_group->openAt = Clock::now() + formationTime;
    else if (operation == "close") {
        m_group->openAt.reset();
        m_group->isClosing = true;
    }
    ++m_sequence;
    return { 202, "{}" };
}

bool Backend::isServing()
{
    std::lock_guard lock(m_mutex);
    return m_options.isPlain || (m_group && m_group->rank == 0 && state() == "open");
}

bool Backend::serve(const Message& request, Connection& connection)
{
    std::string call = request.header("Attempt-Id");
    Message response { "HTTP/1.1 200 OK", { { "Attempt-Id", call } }, {} };
    if (!isServing()) {
        response.startLine = "HTTP/1.1 421 Status";
        response.headers.emplace_back("Not-Executed", "1");
        return connection.write(format(response));
    }
    {
        std::lock_guard lock(m_mutex);
        m_runs.push_back({ call, request.path(), Clock::now() });
    }
    m_record.write("run " + call + " " + request.path() + " at " + id() + " of " + m_options.service);
    if (request.body == crashingBody) {
        {
            std::lock_guard lock(m_mutex);
            m_crashes.push_back(Clock::now());
        }
        crash(crashTime);
        staySilent();
        return false;
    }
    response.headers.emplace_back("Response-Seal", "seal-" + call);
    if (!m_options.isPlain) {
        ++m_streams;
        bool isOpen = stream(request, connection, call);
        --m_streams;
        return isOpen;
    }
    std::this_thread::sleep_for(workTime);
    response.body = "answer to " + call;
    return connection.write(format(response));
}

bool Backend::stream(const Message& request, Connection& connection, const std::string& call)
{
    std::string head
        = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nAttempt-Id: " + call
        + "\r\nResponse-Seal: seal-" + call + "\r\n\r\n";
    if (!connection.write(head))
        return false;
    int next = std::atoi(request.header("Last-Event-Id").c_str()) + 1;
    for (; next <= eventsPerStream; ++next) {
        std::this_thread::sleep_for(eventPause);
        std::string event = "id: " + std::to_string(next) + "\ndata: piece\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        if (!connection.write(size + event + "\r\n"))
            return false;
    }
    return connection.write("0\r\n\r\n");
}

} // namespace Review
