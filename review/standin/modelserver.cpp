#include "standin/modelserver.h"

#include <algorithm>
#include <utility>

namespace Review {

namespace {

    using nlohmann::json;

    constexpr int heartbeatMs = 1200;
    // Before the first request, loads take a tenth of the time.
    constexpr Milliseconds loadTime { 1200 };
    constexpr int eventsPerAnswer = 8;

    Response jsonResponse(unsigned status, const json& body)
    {
        Response response(http::int_to_status(status), 11);
        response.set(http::field::content_type, "application/json");
        response.body() = body.dump();
        return response;
    }

}

ModelServer::ModelServer(Store& store, std::string id)
    : m_store(store)
    , m_id(std::move(id))
    , m_port(serve(0, [this](Connection& connection, Request& request) { return answer(connection, request); }))
    , m_beatThread([this] { beat(); })
{
}

ModelServer::~ModelServer()
{
    m_isEnding = true;
    m_beatThread.join();
}

bool ModelServer::answer(Connection& connection, const Request& request)
{
    auto target = request.find("Target-Instance");
    bool isForOther = target != request.end() && target->value() != m_id;
    if (isForOther)
        return reply(connection, jsonResponse(421, json::object()));
    if (request.target() == "/report")
        return reply(connection, report());
    if (request.target() == "/order")
        return reply(connection, order(request));
    return run(connection, request);
}

// The caller holds the lock.
std::string ModelServer::state() const
{
    if (Clock::now() < m_readyAt)
        return "joining";
    return m_isOpen ? "open" : "ready";
}

json ModelServer::status(bool forList)
{
    std::lock_guard lock(m_mutex);
    json result { { "phase", "unified" }, { "modelList", json::array() }, { "preloaded", json::array() },
        { "faultDomain", "rack-1" }, { "sequence", forList ? ++m_beats : m_orders } };
    if (!m_staged.empty())
        result["preloaded"].push_back(m_staged);
    if (!m_group.empty()) {
        result["modelList"].push_back({ { "name", m_model }, { "version", 1 }, { "loras", json::array() } });
        result["group"] = { { "name", m_group }, { "epoch", m_epoch }, { "rank", m_rank }, { "state", state() } };
    }
    return result;
}

Response ModelServer::report()
{
    json body = status(false);
    body.update({ { "busy", false }, { "queued", 0 }, { "active", 0 }, { "kvInUse", 0 }, { "kvSize", 1860000 },
        { "refs", 0 }, { "pace", 1.0 } });
    return jsonResponse(200, body);
}

Response ModelServer::order(const Request& request)
{
    Response response;
    {
        std::lock_guard lock(m_mutex);
        response = carryOut(json::parse(request.body()));
    }
    writeEntry();
    return response;
}

// The caller holds the lock.
Response ModelServer::carryOut(const json& order)
{
    uint64_t fence = order.value("fencingToken", uint64_t { 0 });
    if (fence < m_fence)
        return jsonResponse(412, { { "reason", "fenced" } });
    m_fence = fence;
    if (order.contains("precondition") && order["precondition"] != m_orders)
        return jsonResponse(409, { { "reason", "sequence" } });
    std::string operation = order.at("operation");
    uint64_t epoch = order.value("epoch", uint64_t { 0 });
    bool isMember = !m_group.empty() && order.value("group", "") == m_group && epoch == m_epoch;
    if (operation == "join") {
        if (epoch < m_epoch)
            return jsonResponse(412, { { "reason", "epoch" } });
        std::vector<std::string> members = order.at("members");
        m_rank = static_cast<size_t>(std::ranges::find(members, m_id) - members.begin());
        m_group = order.at("group");
        m_epoch = epoch;
        m_model = order.at("modelId");
        m_isOpen = false;
        m_readyAt = Clock::now() + (m_staged == m_model ? loadTime / 10 : loadTime);
        m_staged = m_model;
    } else if (operation == "phase") {
        m_staged = order.at("modelId");
    } else if (!isMember || state() == "joining") {
        return jsonResponse(operation == "leave" && !isMember ? 200 : 409, json::object());
    } else if (operation == "leave") {
        m_group.clear();
        m_isOpen = false;
    } else {
        m_isOpen = operation == "open";
    }
    ++m_orders;
    return jsonResponse(202, json::object());
}

// A stream of events. Other servers than the open head of a group refuse.
bool ModelServer::run(Connection& connection, const Request& request)
{
    bool isServing = false;
    {
        std::lock_guard lock(m_mutex);
        isServing = !m_group.empty() && m_rank == 0 && m_isOpen;
    }
    Response response(isServing ? http::status::ok : http::status::misdirected_request, 11);
    response.set("Attempt-Id", request["Attempt-Id"]);
    if (isServing) {
        response.set("Response-Seal", "seal-" + m_id);
        response.set(http::field::content_type, "text/event-stream");
        for (int event = 1; event <= eventsPerAnswer; ++event)
            response.body() += "id: " + std::to_string(event) + "\ndata: piece\n\n";
    }
    return reply(connection, std::move(response));
}

void ModelServer::writeEntry()
{
    json entry = status(true);
    entry.update({ { "service", modelServiceName }, { "address", "127.0.0.1:" + std::to_string(m_port) },
        { "zone", "salt-lake" }, { "version", "v1" }, { "capacity", 17 }, { "state", "ready" },
        { "warmupLeftMs", 0 } });
    m_store.put("keyed.servers", m_id, entry.dump());
}

void ModelServer::beat()
{
    int64_t beatAt = 0;
    for (; !m_isEnding; std::this_thread::sleep_for(Milliseconds(20))) {
        bool isDue = nowMs() - beatAt >= heartbeatMs;
        if (isDue) {
            writeEntry();
            beatAt = nowMs();
        }
    }
}

} // namespace Review
