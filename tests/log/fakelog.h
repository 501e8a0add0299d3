#pragma once

#include "base/address.h"
#include "base/clock.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <httplib.h>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

namespace Kumquatpick::Testing {

// An in-process log service with fault injection.
class FakeLog {
public:
    FakeLog()
    {
        m_server.Post("/v1/logs/(.+)", [this](const auto& request, auto& response) { append(request, response); });
        m_server.Get("/v1/logs/(.+)", [this](const auto& request, auto& response) { read(request, response); });
        m_address = { "127.0.0.1", static_cast<uint16_t>(m_server.bind_to_any_port("127.0.0.1")) };
        m_thread = std::thread([this] { m_server.listen_after_bind(); });
        // stop() has no effect before the server is running.
        while (!m_server.is_running())
            std::this_thread::yield();
    }

    ~FakeLog()
    {
        setDown(true);
        m_server.stop();
        m_thread.join();
    }

    const Address& address() const { return m_address; }

    // While down, every request gets status 503, also the long polls in progress.
    void setDown(bool down)
    {
        std::lock_guard lock(m_mutex);
        m_isDown = down;
        m_changed.notify_all();
    }

    // The connections of the next appends break, after or before the record is stored.
    void loseAnswers(int count) { m_answersToLose = count; }
    void loseAppends(int count) { m_appendsToLose = count; }

    void appendBody(std::string body)
    {
        std::lock_guard lock(m_mutex);
        m_bodies.push_back(std::move(body));
        m_changed.notify_all();
    }

    void expireBefore(uint64_t offset)
    {
        std::lock_guard lock(m_mutex);
        for (; m_earliest < offset; ++m_earliest)
            m_bodies.pop_front();
    }

    void removeAllRecords()
    {
        std::lock_guard lock(m_mutex);
        m_bodies.clear();
        m_earliest = 1;
        m_changed.notify_all();
    }

    size_t count(const std::string& id)
    {
        std::lock_guard lock(m_mutex);
        size_t found = 0;
        for (const std::string& body : m_bodies)
            found += body.find(id) != std::string::npos;
        return found;
    }

    std::atomic<int> appendCalls { 0 };

private:
    static void breakConnection(httplib::Response& response)
    {
        response.set_content_provider(
            100, "application/json", [](size_t, size_t, httplib::DataSink&) { return false; });
    }

    static bool consumeOne(std::atomic<int>& left) { return left > 0 && left-- > 0; }

    uint64_t next() const { return m_earliest + m_bodies.size(); }

    void append(const httplib::Request& request, httplib::Response& response)
    {
        ++appendCalls;
        std::lock_guard lock(m_mutex);
        if (m_isDown) {
            response.status = 503;
            return;
        }
        if (consumeOne(m_appendsToLose))
            return breakConnection(response);
        nlohmann::json answer = { { "offset", next() } };
        m_bodies.push_back(request.body);
        m_changed.notify_all();
        if (consumeOne(m_answersToLose))
            return breakConnection(response);
        response.set_content(answer.dump(), "application/json");
    }

    void read(const httplib::Request& request, httplib::Response& response)
    {
        std::unique_lock lock(m_mutex);
        auto from = std::stoull(request.get_param_value("from"));
        auto limit = std::stoull(request.get_param_value("limit"));
        Milliseconds wait(std::stoll(request.get_param_value("wait_ms")));
        m_changed.wait_for(lock, wait, [&] { return m_isDown || from < next(); });
        if (m_isDown) {
            response.status = 503;
            return;
        }
        nlohmann::json records = nlohmann::json::array();
        for (auto offset = std::max<uint64_t>(from, m_earliest); offset < next() && records.size() < limit; ++offset)
            records.push_back(
                { { "offset", offset }, { "time_ms", 1000 * offset }, { "body", m_bodies[offset - m_earliest] } });
        nlohmann::json answer = { { "earliest", m_earliest }, { "next", next() }, { "records", records } };
        response.set_content(answer.dump(), "application/json");
    }

    httplib::Server m_server;
    Address m_address;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::string> m_bodies;
    uint64_t m_earliest = 1;
    bool m_isDown = false;
    std::atomic<int> m_answersToLose { 0 };
    std::atomic<int> m_appendsToLose { 0 };
    std::thread m_thread;
};

} // namespace Kumquatpick::Testing
