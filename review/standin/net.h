#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

// Blocking HTTP for the stand-ins: one thread for each connection, loopback addresses only.

namespace Review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;
using Milliseconds = std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

// A connection on which requests arrive.
struct Connection {
    Tcp::socket socket;
    beast::flat_buffer buffer;
    bool owesExtra = false; // An extra response is still to be sent here.
};

// Calls the handler for each request of each connection until it returns false. Returns the port.
uint16_t serve(uint16_t port, std::function<bool(Connection&, Request&)> handler);

bool reply(Connection&, Response, bool keepAlive = true);
std::string queryValue(std::string_view target, std::string_view name);

// A port that was free a moment ago, each one once.
uint16_t freePort();

// What a client has seen of one request.
struct Answer {
    int status = 0; // 0: no answer.
    bool isComplete = false; // The head and the body are complete by their own framing.
    std::map<std::string, std::string> headers;
    std::string body;
    std::string problem;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

// Sends one request on a connection of its own.
Answer ask(uint16_t port, std::string_view method, const std::string& target, const Headers&, const std::string& body,
    Milliseconds patience);

// Milliseconds of the steady clock, the same in all processes of this machine.
int64_t nowMs();

} // namespace Review
