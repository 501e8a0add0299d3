#include "store.h"

namespace Review {

namespace {

    using nlohmann::json;
    using namespace std::chrono_literals;

    std::string bigEndian(uint64_t value, int bytes)
    {
        std::string text;
        for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
            text.push_back(static_cast<char>(value >> shift & 0xff));
        return text;
    }

    std::string base64(const std::string& bytes)
    {
        constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (size_t i = 0; i < bytes.size(); i += 3) {
            uint32_t group = 0;
            for (size_t j = 0; j < 3; ++j)
                group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
            for (size_t j = 0; j < 4; ++j)
                text += i + j <= bytes.size() ? digits[group >> (18 - 6 * j) & 63] : '=';
        }
        return text;
    }

    std::string answer(int status, const json& body)
    {
        return format({ "HTTP/1.1 " + std::to_string(status) + " Status", { { "Content-Type", "application/json" } },
            body.dump() });
    }

}

Store::Store(std::chrono::seconds keep)
    : m_keep(keep)
    , m_server([this](const Message& request, Connection& connection) { return handle(request, connection); })
{
}

Store::Clock::time_point Store::put(const std::string& topic, const std::string& key, const std::string& value)
{
    std::lock_guard lock(m_mutex);
    Topic& log = m_topics[topic];
    if (value.empty())
        log.newest.erase(key);
    else
        log.newest[key] = { log.end(), value };
    log.records.push_back({ static_cast<char>(key.size()) + key + value, Clock::now() });
    m_written.notify_all();
    return Clock::now();
}

std::string Store::newestRecord(const std::string& topic)
{
    std::lock_guard lock(m_mutex);
    const Topic& log = m_topics[topic];
    return log.records.empty() ? std::string() : log.records.back().bytes;
}

void Store::expire(Topic& topic, const std::string& name)
{
    while (!isKeyed(name) && !topic.records.empty() && Clock::now() - topic.records.front().at > m_keep) {
        topic.records.pop_front();
        ++topic.first;
    }
}

bool Store::handle(const Message& request, Connection& connection, const Translate& translate)
{
    if (request.path() == "/log-append")
        return connection.write(append(request));
    if (request.path() == "/log-read")
        return connection.write(read(request, translate));
    if (request.path() == "/log-newest")
        return connection.write(newest(request, translate));
    return connection.write(answer(404, {}));
}

std::string Store::append(const Message& request)
{
    std::lock_guard lock(m_mutex);
    Topic& log = m_topics[request.parameter("topic")];
    std::string at = request.parameter("at");
    if (!at.empty() && std::stoull(at) != log.end())
        return answer(412, { { "endOffset", log.end() } });
    uint64_t offset = log.end();
    for (size_t i = 0; i + 4 <= request.body.size();) {
        size_t size = 0;
        for (size_t j = 0; j < 4; ++j)
            size = size << 8 | static_cast<unsigned char>(request.body[i + j]);
        log.records.push_back({ request.body.substr(i + 4, size), Clock::now() });
        i += 4 + size;
    }
    m_written.notify_all();
    return answer(200, { { "offset", offset }, { "endOffset", log.end() } });
}

std::string Store::read(const Message& request, const Translate& translate)
{
    std::string name = request.parameter("topic");
    uint64_t from = std::stoull(request.parameter("from"));
    auto wait = std::chrono::milliseconds(std::atoi(request.parameter("waitMs").c_str()));
    std::unique_lock lock(m_mutex);
    Topic& log = m_topics[name];
    m_written.wait_for(lock, wait, [&] { return log.end() > from; });
    expire(log, name);
    if (from < log.first)
        return answer(410, { { "startOffset", log.first } });
    std::string body = bigEndian(log.end(), 8) + bigEndian(log.first, 8);
    for (uint64_t i = from; i < log.end(); ++i) {
        std::string bytes = log.records[i - log.first].bytes;
        if (translate)
            bytes = translate(std::move(bytes));
        body += bigEndian(bytes.size(), 4) + bytes;
    }
    return format({ "HTTP/1.1 200 OK", { { "Content-Type", "application/octet-stream" } }, body });
}

std::string Store::newest(const Message& request, const Translate& translate)
{
    std::lock_guard lock(m_mutex);
    const Topic& log = m_topics[request.parameter("topic")];
    json entries = json::array();
    for (const auto& [key, entry] : log.newest)
        entries.push_back({ { "key", key }, { "offset", entry.first },
            { "data", base64(translate ? translate(entry.second) : entry.second) } });
    return answer(200, { { "entries", entries }, { "hasMore", false }, { "endOffset", log.end() } });
}

} // namespace Review
