#include "standin/engine.h"

#include "base/hash.h"
#include "base/random.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace Kumquatpick {

namespace {

    constexpr size_t serverThreads = 1024;
    constexpr Milliseconds loadRetryPeriod { 200 };
    constexpr Milliseconds stallCheckPeriod { 20 };
    constexpr time_t weightReadTimeoutSeconds = 60;
    constexpr const char* retryAfterSeconds = "1";
    constexpr const char* requestHeader = "Kumquatpick-Request";
    constexpr double prefillFloorBytes = 64;
    constexpr double prefillUnitBytes = 1024;

    Address addressFrom(const nlohmann::json& text)
    {
        auto parsed = settle([&] { return Address::parse(text.get<std::string>()); });
        if (const Address* address = std::get_if<Address>(&parsed))
            return *address;
        throw std::invalid_argument("not an address");
    }

    void refuseAsFull(httplib::Response& response, const char* reason)
    {
        response.set_header("Retry-After", retryAfterSeconds);
        answerJson(response, { { "error", reason } }, 503);
    }

    MonotonicTime::duration scaled(Milliseconds time, double factor)
    {
        std::chrono::duration<double, std::milli> product(static_cast<double>(time.count()) * factor);
        return std::chrono::duration_cast<MonotonicTime::duration>(product);
    }

} // namespace

Engine::Engine(EngineSettings settings)
    : m_settings(std::move(settings))
    , m_incarnation(seededFromSystem()())
    , m_runs(m_settings.host, m_settings.recordPath)
    , m_cache(m_settings.cache)
    , m_server(serverThreads)
{
    addRoutes();
    m_peers = std::make_unique<PeerWatch>(
        m_settings.peerProbePeriod, [this](Offset claim, bool complete) { peersSeen(claim, complete); });
    m_loader = std::thread([this] { loadLoop(); });
}

Engine::~Engine()
{
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_changed.notify_all();
    }
    m_peers.reset();
    m_loader.join();
    m_server.stop();
}

void Engine::addRoutes()
{
    httplib::Server& routes = m_server.routes();
    routes.Get(
        "/v1/status", [this](const httplib::Request&, httplib::Response& response) { answerJson(response, status()); });
    routes.Get("/v1/runs",
        [this](const httplib::Request&, httplib::Response& response) { answerJson(response, m_runs.all()); });
    routes.Post("/v1/orders",
        [this](const httplib::Request& request, httplib::Response& response) { takeOrder(request, response); });
    routes.Post("/v1/chat/completions",
        [this](const httplib::Request& request, httplib::Response& response) { chat(request, response); });
    routes.Post(R"(/v1/cancel/(.+))",
        [this](const httplib::Request& request, httplib::Response& response) { cancel(request.matches[1], response); });
    routes.Get("/v1/cache-events",
        [this](const httplib::Request& request, httplib::Response& response) { cacheEvents(request, response); });
}

void Engine::takeOrder(const httplib::Request& request, httplib::Response& response)
{
    nlohmann::json json = nlohmann::json::parse(request.body);
    Order order;
    order.fencing = json.at("fencing");
    bool isLoad = json.at("order") == "load";
    if (isLoad) {
        order.service = json.value("service", "");
        order.replica = json.value("replica", "");
        order.model = json.value("model", "");
        order.modelVersion = json.value("model_version", "");
        order.rank = json.value("rank", 0);
        order.weightsBytes = json.value("weights_bytes", uint64_t(0));
        for (const nlohmann::json& peer : json.value("peers", nlohmann::json::array()))
            order.peers.push_back(addressFrom(peer));
        if (order.weightsBytes > 0)
            order.weightStore = addressFrom(json.at("weight_store"));
    }
    std::unique_lock lock(m_mutex);
    bool isOld = order.fencing < m_newestFencing;
    m_newestFencing = std::max(m_newestFencing, order.fencing);
    if (isOld && m_settings.checksFencing) {
        lock.unlock();
        answerJson(response, status(), 409);
        return;
    }
    if (isLoad)
        obeyLoad(std::move(order));
    else
        obeyUnload();
    lock.unlock();
    answerJson(response, status());
}

// A repeated order changes nothing; another one ends what ran under the last.
void Engine::obeyLoad(Order order)
{
    if (m_state != State::Idle && order.fencing == m_order.fencing)
        return;
    m_order = std::move(order);
    m_state = State::Loading;
    ++m_generation;
    std::vector<Address> others;
    for (size_t rank = 0; rank < m_order.peers.size(); ++rank) {
        if (rank != m_order.rank)
            others.push_back(m_order.peers[rank]);
    }
    bool isFirst = m_order.rank == 0;
    m_complete = !isFirst || others.empty();
    m_peers->watch(m_order.fencing, isFirst ? std::move(others) : std::vector<Address> {});
    m_changed.notify_all();
}

void Engine::obeyUnload()
{
    if (m_state == State::Idle)
        return;
    m_order = {};
    m_state = State::Idle;
    ++m_generation;
    m_peers->watch(0, {});
    m_changed.notify_all();
}

void Engine::chat(const httplib::Request& request, httplib::Response& response)
{
    ChatRequest asked = ChatRequest::parse(request.body);
    std::shared_ptr<Work> work;
    response.set_header(requestHeader, request.get_header_value(requestHeader));
    {
        std::lock_guard lock(m_mutex);
        if (refuse(request, response))
            return;
        work = begin(request, asked);
    }
    m_runs.add(work->run, RunPhase::Started);
    if (!m_settings.crashMarker.empty() && asked.prompt.find(m_settings.crashMarker) != std::string::npos)
        _exit(1);
    response.headers.erase(requestHeader);
    response.set_header(requestHeader, work->requestIdToTell);
    if (asked.stream)
        answerStream(response, work);
    else
        answerWhole(request, response, work);
}

bool Engine::refuse(const httplib::Request& request, httplib::Response& response)
{
    bool isOtherClaim = request.has_header("Kumquatpick-Claim")
        && request.get_header_value("Kumquatpick-Claim") != std::to_string(m_order.fencing);
    if (m_state == State::Idle || m_order.rank != 0 || isOtherClaim) {
        answerJson(response, { { "error", "another claim" }, { "claim", m_order.fencing } }, 409);
        return true;
    }
    if (m_state == State::Loading || !m_complete) {
        refuseAsFull(response, "not ready");
        return true;
    }
    if (m_running >= m_settings.streams) {
        refuseAsFull(response, "full");
        return true;
    }
    return false;
}

std::shared_ptr<Engine::Work> Engine::begin(const httplib::Request& request, const ChatRequest& asked)
{
    auto work = std::make_shared<Work>();
    work->run.key = request.get_header_value("Kumquatpick-Key");
    work->run.request = request.get_header_value(requestHeader);
    if (request.has_header("Kumquatpick-Attempt"))
        work->run.attempt = std::stoull(request.get_header_value("Kumquatpick-Attempt"));
    work->run.promptHash = hash64(asked.prompt);
    work->requestIdToTell = work->run.request;
    work->chat = expectedChat(asked.prompt, asked.tokens);
    if (m_server.faults().take(&Faults::wrongRequestIds)) {
        work->requestIdToTell = hex64(m_incarnation);
        work->chat = expectedChat(asked.prompt + " of another", asked.tokens);
    }
    work->cutHalfway = m_server.faults().take(&Faults::truncateStreams);
    work->generation = m_generation;
    work->due = firstTokenDue(asked.prompt);
    ++m_running;
    m_work[work->run.request] = work;
    return work;
}

// Prompts are worked through one after the other, so a first token also waits for the prompts before it.
MonotonicTime Engine::firstTokenDue(std::string_view prompt)
{
    MonotonicTime now = monotonicNow();
    size_t cached = m_cache.use(prompt, now);
    double units = std::max(prefillFloorBytes, static_cast<double>(prompt.size() - cached)) / prefillUnitBytes;
    double slow = m_server.faults().current().slowFactor;
    m_prefillFree = std::max(m_prefillFree, now) + scaled(m_settings.prefillTime, units * slow);
    return m_prefillFree;
}

void Engine::answerWhole(
    const httplib::Request& request, httplib::Response& response, const std::shared_ptr<Work>& work)
{
    size_t tokens = work->chat.tokens.size();
    size_t wanted = work->cutHalfway ? tokens / 2 : tokens;
    bool whole = true;
    while (whole && work->nextToken < wanted)
        whole = waitForToken(*work);
    whole = whole && !work->cutHalfway;
    end(*work, whole);
    if (whole)
        response.set_content(work->chat.whole(), "application/json");
    else
        cutConnection(request);
}

void Engine::answerStream(httplib::Response& response, const std::shared_ptr<Work>& work)
{
    response.set_chunked_content_provider(
        "text/event-stream", [this, work](size_t, httplib::DataSink& sink) { return sendNext(*work, sink); },
        [this, work](bool whole) { end(*work, whole); });
}

bool Engine::sendNext(Work& work, httplib::DataSink& sink)
{
    size_t tokens = work.chat.tokens.size();
    if (work.cutHalfway && work.nextToken >= tokens / 2)
        return false;
    if (work.nextToken < tokens) {
        size_t index = work.nextToken;
        if (!waitForToken(work) || !sink.is_writable())
            return false;
        std::string chunk = work.chat.streamChunk(index);
        return sink.write(chunk.data(), chunk.size());
    }
    if (!sink.write(streamEnd.data(), streamEnd.size()))
        return false;
    sink.done();
    return true;
}

// Waits until the next token is made; false if the run ended before.
bool Engine::waitForToken(Work& work)
{
    std::unique_lock lock(m_mutex);
    auto ended = [&] { return hasEnded(work); };
    m_changed.wait_until(lock, work.due, ended);
    while (!ended() && m_server.faults().current().stall)
        m_changed.wait_for(lock, stallCheckPeriod, ended);
    if (ended())
        return false;
    ++work.nextToken;
    double batch = static_cast<double>(m_running) / std::max(1U, m_settings.streams);
    double factor = m_server.faults().current().slowFactor * (1 + m_settings.batchSlowdown * batch);
    work.due += scaled(m_settings.tokenTime, factor);
    return true;
}

bool Engine::hasEnded(const Work& work) const
{
    return m_stopping || work.cancelled || work.generation != m_generation || !m_complete;
}

void Engine::end(const Work& work, bool whole)
{
    m_runs.add(work.run, whole ? RunPhase::Finished : RunPhase::Cancelled);
    std::lock_guard lock(m_mutex);
    --m_running;
    auto found = m_work.find(work.run.request);
    if (found != m_work.end() && found->second.get() == &work)
        m_work.erase(found);
}

void Engine::cancel(const std::string& request, httplib::Response& response)
{
    std::lock_guard lock(m_mutex);
    auto found = m_work.find(request);
    bool isKnown = found != m_work.end();
    if (isKnown)
        found->second->cancelled = true;
    m_changed.notify_all();
    answerJson(response, { { "cancelled", isKnown } });
}

void Engine::cacheEvents(const httplib::Request& request, httplib::Response& response)
{
    MonotonicTime now = monotonicNow();
    std::lock_guard lock(m_mutex);
    uint64_t from = numberParam(request, "from", 1);
    uint64_t next = m_cache.nextEvent(now);
    uint64_t first = std::min(std::max(from, m_cache.firstEvent()), next);
    nlohmann::json events = nlohmann::json::array();
    for (const CacheEvent& event : m_cache.eventsFrom(first, now)) {
        events.push_back({
            { "seq", event.seq },
            { "prefix", hex64(event.prefix) },
            { "op", event.stored ? "stored" : "evicted" },
        });
    }
    answerJson(response, { { "first", first }, { "next", next }, { "events", std::move(events) } });
}

nlohmann::json Engine::status()
{
    static constexpr const char* stateNames[] = { "idle", "loading", "ready" };
    Faults faults = m_server.faults().current();
    std::lock_guard lock(m_mutex);
    Load load = reportedLoad();
    if (faults.lieAboutLoad)
        load = {};
    return {
        { "host", m_settings.host },
        { "incarnation", incarnation() },
        // Loaded itself, but the replica is not whole yet.
        { "state", m_state == State::Ready && !m_complete ? "loading" : stateNames[static_cast<size_t>(m_state)] },
        { "leaving", faults.leaving },
        { "claim", m_order.fencing },
        { "service", m_order.service },
        { "replica", m_order.replica },
        { "model", m_order.model },
        { "model_version", m_order.modelVersion },
        { "running", load.running },
        { "queued", load.queued },
        { "cache_used", load.cacheUsed },
    };
}

// The last reading, as long as it is no older than the lag.
Engine::Load Engine::reportedLoad()
{
    MonotonicTime now = monotonicNow();
    if (now - m_reported.at >= m_settings.reportLag) {
        auto waits = [](const auto& entry) { return entry.second->nextToken == 0; };
        auto queued = static_cast<uint32_t>(std::ranges::count_if(m_work, waits));
        m_reported = { m_running - queued, queued, m_cache.used(), now };
    }
    return m_reported;
}

void Engine::loadLoop()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_changed.wait(lock, [this] { return m_stopping || m_state == State::Loading; });
        if (m_stopping)
            return;
        Order order = m_order;
        uint64_t generation = m_generation;
        lock.unlock();
        bool whole = readWeights(order, generation);
        lock.lock();
        if (whole && generation == m_generation)
            m_state = State::Ready;
        else if (!whole)
            m_changed.wait_for(lock, loadRetryPeriod, [&] { return m_stopping || generation != m_generation; });
    }
}

bool Engine::readWeights(const Order& order, uint64_t generation)
{
    if (order.weightsBytes == 0)
        return true;
    httplib::Client client(order.weightStore.ip, order.weightStore.port);
    client.set_read_timeout(weightReadTimeoutSeconds);
    std::string path
        = "/v1/weights/" + order.model + "/" + order.modelVersion + "?bytes=" + std::to_string(order.weightsBytes);
    uint64_t read = 0;
    httplib::Result result = client.Get(path, [&](const char*, size_t length) {
        read += length;
        return isCurrent(generation);
    });
    return result && result->status == 200 && read == order.weightsBytes;
}

bool Engine::isCurrent(uint64_t generation)
{
    std::lock_guard lock(m_mutex);
    return !m_stopping && generation == m_generation;
}

void Engine::peersSeen(Offset claim, bool complete)
{
    std::lock_guard lock(m_mutex);
    if (claim != m_order.fencing)
        return;
    m_complete = complete;
    m_changed.notify_all();
}

} // namespace Kumquatpick
