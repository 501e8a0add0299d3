#include "standin/net.h"

#include <atomic>
#include <boost/asio/write.hpp>
#include <condition_variable>
#include <csignal>
#include <fcntl.h>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <unistd.h>
#include <utility>

// A backend server of a plain service, as a process of its own. Arguments are NAME=VALUE:
//
//   id, port        its id, and the loopback port that it listens on
//   record          the file to which it appends a line for each request that it runs or refuses
//   slots, queue    requests that it runs at once, and that wait for a slot; further ones are refused
//   work_ms         how long it works on a request
//   unframed=1      its answers have no length and end with their connection, half of the body is sent at once
//   extra_every     after each one of this number of answers, it sends an extra response on that connection, late: as
//   soon
//                   as it works on the next request there. The extra response is a refusal that names no request
//   fatal           a body that ends the process as soon as it begins to work on it

namespace {

using namespace Review;

class Arguments {
public:
    Arguments(int count, char** words)
    {
        for (int i = 1; i < count; ++i) {
            std::string word = words[i];
            size_t equals = word.find('=');
            m_values[word.substr(0, equals)] = equals == std::string::npos ? "" : word.substr(equals + 1);
        }
    }

    std::string text(const std::string& name) const
    {
        auto found = m_values.find(name);
        return found == m_values.end() ? std::string() : found->second;
    }
    int number(const std::string& name) const
    {
        std::string value = text(name);
        return value.empty() ? 0 : std::stoi(value);
    }

private:
    std::map<std::string, std::string> m_values;
};

// Requests that run, and that wait to do so.
class Slots {
public:
    Slots(int slots, int queue)
        : m_slots(slots)
        , m_queue(queue)
    {
    }

    // Returns false if there is no room.
    bool take()
    {
        std::unique_lock lock(m_mutex);
        if (m_running >= m_slots && m_waiting >= m_queue)
            return false;
        ++m_waiting;
        m_isFree.wait(lock, [this] { return m_running < m_slots; });
        --m_waiting;
        ++m_running;
        return true;
    }
    void giveBack()
    {
        std::lock_guard lock(m_mutex);
        --m_running;
        m_isFree.notify_one();
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_isFree;
    int m_slots;
    int m_queue;
    int m_running = 0;
    int m_waiting = 0;
};

class Server {
public:
    explicit Server(const Arguments& arguments)
        : m_id(arguments.text("id"))
        , m_fatal(arguments.text("fatal"))
        , m_workMs(arguments.number("work_ms"))
        , m_isUnframed(arguments.number("unframed") == 1)
        , m_extraEvery(arguments.number("extra_every"))
        , m_slots(arguments.number("slots"), arguments.number("queue"))
        , m_record(::open(arguments.text("record").c_str(), O_WRONLY | O_APPEND | O_CREAT, 0644))
    {
    }

    bool answer(Connection& connection, const Request& request)
    {
        if (request.target() == "/healthz")
            return reply(connection, response(http::status::ok));
        std::string attempt(request["Attempt-Id"]);
        if (request["Target-Instance"] != m_id)
            return reply(connection, response(http::status::misdirected_request));
        if (!m_slots.take())
            return refuse(connection, attempt);
        write("runs", attempt);
        if (!m_fatal.empty() && request.body() == m_fatal)
            ::kill(::getpid(), SIGKILL);
        sendExtraResponse(connection, attempt);
        bool keeps = m_isUnframed ? answerUnframed(connection, attempt) : answerFramed(connection, attempt);
        m_slots.giveBack();
        return keeps;
    }

private:
    static Response response(http::status status)
    {
        Response response(status, 11);
        response.set("Keep-Alive", "timeout=5");
        return response;
    }

    std::string body(const std::string& attempt) const
    {
        return "begin " + m_id + " " + attempt + " " + std::string(800, 'x') + " end";
    }

    bool refuse(Connection& connection, const std::string& attempt)
    {
        write("refuses", attempt);
        Response refusal = response(http::status::service_unavailable);
        refusal.set("Not-Executed", "1");
        refusal.set("Attempt-Id", attempt);
        return reply(connection, std::move(refusal));
    }

    void sendExtraResponse(Connection& connection, const std::string& attempt)
    {
        if (!std::exchange(connection.owesExtra, false))
            return;
        write("sends-extra-before-answer-to", attempt);
        Response extra = response(http::status::service_unavailable);
        extra.set("Not-Executed", "1");
        reply(connection, std::move(extra));
    }

    bool answerFramed(Connection& connection, const std::string& attempt)
    {
        std::this_thread::sleep_for(Milliseconds(m_workMs));
        Response answer = response(http::status::ok);
        answer.set("Attempt-Id", attempt);
        answer.set("Response-Seal", "seal-" + m_id);
        answer.body() = body(attempt);
        write("answers", attempt);
        connection.owesExtra = m_extraEvery > 0 && ++m_answers % m_extraEvery == 0;
        return reply(connection, std::move(answer));
    }

    bool answerUnframed(Connection& connection, const std::string& attempt)
    {
        std::string text = body(attempt);
        std::string head = "HTTP/1.1 200 OK\r\nConnection: close\r\nAttempt-Id: " + attempt + "\r\nResponse-Seal: seal-"
            + m_id + "\r\n\r\n" + text.substr(0, text.size() / 2);
        beast::error_code error;
        asio::write(connection.socket, asio::buffer(head), error);
        std::this_thread::sleep_for(Milliseconds(m_workMs));
        asio::write(connection.socket, asio::buffer(text.substr(text.size() / 2)), error);
        write("answers", attempt);
        connection.socket.shutdown(Tcp::socket::shutdown_both, error);
        return false;
    }

    // One call for each line, so that lines of several processes don't mix.
    void write(const std::string& what, const std::string& attempt) const
    {
        std::string line = std::to_string(nowMs()) + " " + m_id + " " + what + " " + attempt + "\n";
        if (::write(m_record, line.data(), line.size()) < 0)
            ::_exit(3);
    }

    std::string m_id;
    std::string m_fatal;
    int m_workMs;
    bool m_isUnframed;
    int m_extraEvery;
    Slots m_slots;
    int m_record;
    std::atomic<int> m_answers { 0 };
};

}

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    Arguments arguments(argc, argv);
    Server server(arguments);
    serve(static_cast<uint16_t>(arguments.number("port")),
        [&](Connection& connection, Request& request) { return server.answer(connection, request); });
    ::pause();
}
