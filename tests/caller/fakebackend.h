#pragma once

#include <httplib.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace Kumquatpick {

// A model engine or plain service on a free loopback port. Tests set how it responds.
class FakeBackend {
public:
    using Behaviour = std::function<void(const httplib::Request&, httplib::Response&)>;

    FakeBackend()
    {
        m_server.new_task_queue = [] { return new httplib::ThreadPool(260); };
        m_server.set_payload_max_length(64 * 1024 * 1024);
        m_server.Post("/v1/cancel/(.*)", [this](const httplib::Request& request, httplib::Response& response) {
            std::lock_guard lock(m_mutex);
            m_cancelled.insert(request.matches[1]);
            m_changed.notify_all();
            response.set_content("{}", "application/json");
        });
        auto handle = [this](const httplib::Request& request, httplib::Response& response) {
            Behaviour behaviour;
            {
                std::lock_guard lock(m_mutex);
                m_requests.push_back(request.get_header_value("Kumquatpick-Request"));
                m_changed.notify_all();
                behaviour = m_behaviour;
            }
            response.set_header("Kumquatpick-Request", request.get_header_value("Kumquatpick-Request"));
            behaviour(request, response);
        };
        m_server.Get(".*", handle);
        m_server.Post(".*", handle);
        m_server.Put(".*", handle);
        m_port = m_server.bind_to_any_port("127.0.0.1");
        listen(listeningSocket(), 512);
        m_thread = std::thread([this] { m_server.listen_after_bind(); });
        // stop() has no effect before the server runs.
        while (!m_server.is_running())
            std::this_thread::yield();
    }

    ~FakeBackend() { stop(); }

    void stop()
    {
        if (!m_thread.joinable())
            return;
        m_server.stop();
        m_thread.join();
    }

    uint16_t port() const { return static_cast<uint16_t>(m_port); }

    void setBehaviour(Behaviour behaviour)
    {
        std::lock_guard lock(m_mutex);
        m_behaviour = std::move(behaviour);
    }

    size_t requestCount() const
    {
        std::lock_guard lock(m_mutex);
        return m_requests.size();
    }

    void waitForRequests(size_t count)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [&] { return m_requests.size() >= count; });
    }

    // Waits until the latest request was cancelled.
    void waitForCancel()
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [&] { return !m_requests.empty() && m_cancelled.contains(m_requests.back()); });
    }

    bool anyCancelled() const
    {
        std::lock_guard lock(m_mutex);
        return !m_cancelled.empty();
    }

private:
    // With the library's backlog of 5, opening 200 connections at once would cause retransmits after one second.
    struct Server : httplib::Server {
        socket_t listening() const { return svr_sock_; }
    };
    socket_t listeningSocket() const { return m_server.listening(); }

    Server m_server;
    int m_port = 0;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    Behaviour m_behaviour;
    std::vector<std::string> m_requests;
    std::set<std::string> m_cancelled;
    std::thread m_thread;
};

// Blocks behaviours until a test opens it.
class Gate {
public:
    void open()
    {
        std::lock_guard lock(m_mutex);
        m_isOpen = true;
        m_changed.notify_all();
    }

    void wait()
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [&] { return m_isOpen; });
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isOpen = false;
};

enum class StreamEnd {
    Done, // data: [DONE], then the body's end.
    NoDone, // The body ends properly, without [DONE].
    Cut, // The connection breaks.
};

// Sends the pieces of an event stream one by one. If there is a gate, waits for it before the last piece.
inline FakeBackend::Behaviour events(
    const std::vector<std::string>& pieces, StreamEnd end, const std::shared_ptr<Gate>& gate = {})
{
    return [=](const httplib::Request&, httplib::Response& response) {
        auto next = std::make_shared<size_t>(0);
        response.set_chunked_content_provider("text/event-stream", [=](size_t, httplib::DataSink& sink) {
            if (*next < pieces.size()) {
                if (gate && *next + 1 == pieces.size())
                    gate->wait();
                const std::string& piece = pieces[(*next)++];
                return sink.write(piece.data(), piece.size());
            }
            if (end == StreamEnd::Cut)
                return false;
            constexpr std::string_view done = "data: [DONE]\n\n";
            if (end == StreamEnd::Done)
                sink.write(done.data(), done.size());
            sink.done();
            return true;
        });
    };
}

// Sends events until the reader closes the connection.
inline FakeBackend::Behaviour endlessEvents()
{
    return [](const httplib::Request&, httplib::Response& response) {
        response.set_chunked_content_provider("text/event-stream", [](size_t, httplib::DataSink& sink) {
            static const std::string event = "data: " + std::string(10'000, 'x') + "\n\n";
            return sink.write(event.data(), event.size());
        });
    };
}

inline FakeBackend::Behaviour plainAnswer(
    const std::string& body, int status = 200, const std::string& type = "application/json")
{
    return [=](const httplib::Request&, httplib::Response& response) {
        response.status = status;
        response.set_content(body, type);
    };
}

// Sends a complete head with a Content-Length, then fewer bytes than that.
inline FakeBackend::Behaviour truncatedAnswer(size_t promised, const std::string& sent)
{
    return [=](const httplib::Request&, httplib::Response& response) {
        response.set_content_provider(promised, "application/json", [=](size_t, size_t, httplib::DataSink& sink) {
            sink.write(sent.data(), sent.size());
            return false;
        });
    };
}

} // namespace Kumquatpick
