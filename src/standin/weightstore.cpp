#include "standin/weightstore.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Kumquatpick {

namespace {

    constexpr size_t serverThreads = 256;
    constexpr size_t largestPiece = 64 << 10;
    constexpr uint64_t piecesPerSecond = 50; // At least, so that slow rates still flow.

} // namespace

WeightStore::WeightStore(uint64_t bytesPerSecond)
    : m_bytesPerSecond(std::max<uint64_t>(1, bytesPerSecond))
    , m_server(serverThreads)
{
    m_server.routes().Get(R"(/v1/weights/([^/]+)/([^/]+))",
        [this](const httplib::Request& request, httplib::Response& response) { stream(request, response); });
    m_server.routes().Get("/v1/load", [this](const httplib::Request&, httplib::Response& response) {
        answerJson(response, { { "bytes_per_second", m_bytesPerSecond }, { "readers", m_readers.load() } });
    });
}

WeightStore::~WeightStore()
{
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_stopped.notify_all();
    }
    m_server.stop();
}

void WeightStore::stream(const httplib::Request& request, httplib::Response& response)
{
    size_t bytes = numberParam(request, "bytes", 0);
    if (bytes == 0) {
        response.set_content("", "application/octet-stream");
        return;
    }
    ++m_readers;
    response.set_content_provider(
        bytes, "application/octet-stream",
        [this](size_t, size_t left, httplib::DataSink& sink) { return send(left, sink); },
        [this](bool) { --m_readers; });
}

bool WeightStore::send(size_t left, httplib::DataSink& sink)
{
    static const std::string zeros(largestPiece, '\0');
    size_t piece = std::clamp<size_t>(m_bytesPerSecond / piecesPerSecond, 1, largestPiece);
    piece = std::min(piece, left);
    return waitForTurn(piece) && sink.write(zeros.data(), piece);
}

// One line for all readers: each piece takes its share of the second, whoever asks.
bool WeightStore::waitForTurn(size_t bytes)
{
    std::chrono::duration<double> cost(static_cast<double>(bytes) / static_cast<double>(m_bytesPerSecond));
    std::unique_lock lock(m_mutex);
    MonotonicTime turn = std::max(m_nextFree, monotonicNow());
    MonotonicTime due = turn + std::chrono::duration_cast<std::chrono::nanoseconds>(cost);
    m_nextFree = due;
    m_stopped.wait_until(lock, due, [this] { return m_stopping; });
    return !m_stopping;
}

} // namespace Kumquatpick
