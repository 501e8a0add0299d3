#include "standin/store.h"

#include <nlohmann/json.hpp>

namespace Review {

namespace {

    using nlohmann::json;

    std::string bigEndian(uint64_t value, int bytes)
    {
        std::string text;
        for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
            text.push_back(static_cast<char>(value >> shift & 0xff));
        return text;
    }

    std::string base64(std::string_view bytes)
    {
        constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (size_t i = 0; i < bytes.size(); i += 3) {
            uint32_t group = 0;
            for (size_t j = 0; j < 3; ++j)
                group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
            for (size_t j = 0; j < 4; ++j)
                text.push_back(i + j <= bytes.size() ? digits[group >> (18 - 6 * j) & 63] : '=');
        }
        return text;
    }

    Response jsonResponse(http::status status, const json& body)
    {
        Response response(status, 11);
        response.set(http::field::content_type, "application/json");
        response.body() = body.dump();
        return response;
    }

}

Store::Store(Milliseconds history)
    : m_history(history)
{
    m_port = serve(0, [this](Connection& connection, Request& request) { return answer(connection, request); });
}

void Store::put(const std::string& topic, const std::string& key, const std::string& value)
{
    std::lock_guard lock(m_mutex);
    m_topics[topic].records.push_back({ static_cast<char>(key.size()) + key + value, Clock::now() });
    m_hasGrown.notify_all();
}

std::string Store::newestConditionalRecord()
{
    std::lock_guard lock(m_mutex);
    return m_newestConditional;
}

// The topic that a call names, without the records that have expired.
Store::Topic& Store::topicOf(std::string_view target)
{
    Topic& topic = m_topics[queryValue(target, "topic")];
    auto oldest = Clock::now() - m_history;
    while (topic.firstKept < topic.records.size() && topic.records[topic.firstKept].at < oldest)
        ++topic.firstKept;
    return topic;
}

bool Store::answer(Connection& connection, const Request& request)
{
    std::string_view target(request.target().data(), request.target().size());
    std::string_view path = target.substr(0, target.find('?'));
    if (path == "/log-append")
        return reply(connection, append(request));
    if (path == "/log-read")
        return reply(connection, read(request));
    if (path == "/log-newest")
        return reply(connection, newest(request));
    return reply(connection, Response(http::status::not_found, 11));
}

Response Store::append(const Request& request)
{
    std::string_view target(request.target().data(), request.target().size());
    std::lock_guard lock(m_mutex);
    auto& log = topicOf(target).records;
    std::string at = queryValue(target, "at");
    if (!at.empty() && std::stoull(at) != log.size())
        return jsonResponse(http::status::precondition_failed, { { "endOffset", log.size() } });
    size_t offset = log.size();
    std::string_view bytes = request.body();
    while (bytes.size() >= 4) {
        size_t size = 0;
        for (char byte : bytes.substr(0, 4))
            size = size << 8 | static_cast<unsigned char>(byte);
        log.push_back({ std::string(bytes.substr(4, size)), Clock::now() });
        bytes.remove_prefix(std::min(bytes.size(), 4 + size));
    }
    if (!at.empty())
        m_newestConditional = log.back().bytes;
    m_hasGrown.notify_all();
    return jsonResponse(http::status::ok, { { "offset", offset }, { "endOffset", log.size() } });
}

Response Store::read(const Request& request)
{
    std::string_view target(request.target().data(), request.target().size());
    size_t from = std::stoull(queryValue(target, "from"));
    auto until = Clock::now() + Milliseconds(std::stoi(queryValue(target, "waitMs")));
    std::unique_lock lock(m_mutex);
    Topic& topic = topicOf(target);
    if (from < topic.firstKept)
        return jsonResponse(http::status::gone, { { "startOffset", topic.firstKept } });
    const auto& log = topic.records;
    m_hasGrown.wait_until(lock, until, [&] { return log.size() > from; });
    Response response(http::status::ok, 11);
    response.body() = bigEndian(log.size(), 8) + bigEndian(topic.firstKept, 8);
    for (size_t i = from; i < log.size(); ++i)
        response.body() += bigEndian(log[i].bytes.size(), 4) + log[i].bytes;
    return response;
}

Response Store::newest(const Request& request)
{
    std::string_view target(request.target().data(), request.target().size());
    std::lock_guard lock(m_mutex);
    const auto& log = topicOf(target).records;
    std::map<std::string, json> entries; // Of all records, as the newest ones of keys are kept.
    for (size_t i = 0; i < log.size(); ++i) {
        auto keyLength = static_cast<unsigned char>(log[i].bytes[0]);
        std::string key = log[i].bytes.substr(1, keyLength);
        std::string value = log[i].bytes.substr(1 + keyLength);
        entries.erase(key);
        if (!value.empty())
            entries[key] = { { "key", key }, { "offset", i }, { "data", base64(value) } };
    }
    json list = json::array();
    for (const auto& [key, entry] : entries)
        list.push_back(entry);
    return jsonResponse(http::status::ok, { { "entries", list }, { "hasMore", false }, { "endOffset", log.size() } });
}

} // namespace Review
