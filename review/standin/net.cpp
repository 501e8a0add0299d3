#include "standin/net.h"

#include <boost/asio/connect.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <random>
#include <set>
#include <thread>

namespace Review {

namespace {

    constexpr uint64_t maxBodyBytes = 16 << 20;

    void serveConnection(Tcp::socket socket, const std::function<bool(Connection&, Request&)>& handler)
    {
        Connection connection { std::move(socket), {}, false };
        beast::error_code error;
        connection.socket.set_option(Tcp::no_delay(true), error);
        for (;;) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(maxBodyBytes);
            http::read(connection.socket, connection.buffer, parser, error);
            if (error)
                return;
            Request request = parser.release();
            if (!handler(connection, request))
                return;
        }
    }

    Tcp::endpoint loopback(uint16_t port) { return { asio::ip::make_address("127.0.0.1"), port }; }

}

uint16_t serve(uint16_t port, std::function<bool(Connection&, Request&)> handler)
{
    auto* io = new asio::io_context; // Lives as long as the process.
    auto* acceptor = new Tcp::acceptor(*io);
    acceptor->open(Tcp::v4());
    acceptor->set_option(asio::socket_base::reuse_address(true));
    acceptor->bind(loopback(port));
    acceptor->listen();
    uint16_t bound = acceptor->local_endpoint().port();
    std::thread([acceptor, handler = std::move(handler)] {
        for (;;) {
            beast::error_code error;
            Tcp::socket socket = acceptor->accept(error);
            if (error)
                continue;
            std::thread([socket = std::move(socket), &handler]() mutable {
                serveConnection(std::move(socket), handler);
            }).detach();
        }
    }).detach();
    return bound;
}

bool reply(Connection& connection, Response response, bool keepAlive)
{
    response.version(11);
    response.keep_alive(keepAlive);
    response.prepare_payload();
    beast::error_code error;
    http::write(connection.socket, response, error);
    return !error && keepAlive;
}

std::string queryValue(std::string_view target, std::string_view name)
{
    size_t mark = target.find('?');
    std::string_view query = mark == std::string_view::npos ? std::string_view() : target.substr(mark + 1);
    while (!query.empty()) {
        std::string_view pair = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), pair.size() + 1));
        size_t equals = pair.find('=');
        if (pair.substr(0, equals) == name && equals != std::string_view::npos)
            return std::string(pair.substr(equals + 1));
    }
    return {};
}

// Below the ports that the system takes for outgoing connections, so that a process that starts again finds it free.
uint16_t freePort()
{
    constexpr uint16_t first = 20'000;
    constexpr uint16_t count = 10'000;
    static std::mt19937 random { std::random_device {}() };
    static std::set<uint16_t> given; // Its holder may not have bound it yet.
    asio::io_context io;
    for (;;) {
        auto port = static_cast<uint16_t>(first + random() % count);
        Tcp::acceptor acceptor(io);
        acceptor.open(Tcp::v4());
        beast::error_code error;
        acceptor.bind(loopback(port), error);
        if (!error && given.insert(port).second)
            return port;
    }
}

Answer ask(uint16_t port, std::string_view method, const std::string& target, const Headers& headers,
    const std::string& body, Milliseconds patience)
{
    Answer answer;
    asio::io_context io;
    beast::tcp_stream stream(io);
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxBodyBytes);
    Request request;
    request.version(11);
    request.method_string(method);
    request.target(target);
    for (const auto& [name, value] : headers)
        request.insert(name, value);
    request.body() = body;
    request.prepare_payload();
    beast::error_code problem;
    stream.expires_after(patience);
    // Asynchronous, as the time limit of a stream does not apply to blocking calls.
    stream.async_connect(loopback(port), [&](beast::error_code error) {
        if ((problem = error))
            return;
        http::async_write(stream, request, [&](beast::error_code error, size_t) {
            if ((problem = error))
                return;
            http::async_read(stream, buffer, parser, [&](beast::error_code error, size_t) { problem = error; });
        });
    });
    io.run();
    if (parser.is_header_done()) {
        answer.status = static_cast<int>(parser.get().result_int());
        for (const auto& field : parser.get())
            answer.headers.emplace(std::string(field.name_string()), std::string(field.value()));
        answer.body = parser.get().body();
    }
    answer.isComplete = !problem && parser.is_done();
    answer.problem = problem ? problem.message() : "";
    return answer;
}

int64_t nowMs() { return std::chrono::duration_cast<Milliseconds>(Clock::now().time_since_epoch()).count(); }

} // namespace Review
