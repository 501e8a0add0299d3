#pragma once

#include "base/random.h"

#include <arpa/inet.h>
#include <functional>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace Kumquatpick {

// A caller that sends raw bytes over a TCP socket.
class RawCaller {
public:
    explicit RawCaller(uint16_t port)
        : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
        EXPECT_EQ(connect(m_socket, reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
    }
    ~RawCaller() { close(m_socket); }
    RawCaller(const RawCaller&) = delete;
    RawCaller& operator=(const RawCaller&) = delete;

    void send(std::string_view text) const { (void)!::send(m_socket, text.data(), text.size(), MSG_NOSIGNAL); }
    void endWriting() const { shutdown(m_socket, SHUT_WR); }

    // Until the other side closes the connection.
    std::string readAll() const
    {
        return readUntil([](const std::string&) { return false; });
    }

    // Until the text is enough, or the other side closes the connection.
    std::string readUntil(const std::function<bool(const std::string&)>& isEnough) const
    {
        std::string all;
        char buffer[4096];
        ssize_t got = 0;
        while (!isEnough(all) && (got = recv(m_socket, buffer, sizeof buffer, 0)) > 0)
            all.append(buffer, static_cast<size_t>(got));
        return all;
    }

private:
    int m_socket;
};

// A random sequence of parts of valid and invalid requests and of random bytes.
inline std::string randomRequest(Random& random)
{
    static const std::vector<std::string> parts { "GET ", "POST ", "PUT ", "/v1/chat/completions", "/v1/services/desk/",
        "/v1/requests/", "/v1/explain/", "/v1/entries?zone=", "/v1/config", "/v1/keys", " HTTP/1.1\r\n", "\r\n",
        "\r\n\r\n", "\n", "Content-Length: 10\r\n", "Content-Length: 99999999999999999999\r\n",
        "Transfer-Encoding: chunked\r\n", "Kumquatpick-Team: board\r\n", "Idempotency-Key: k\r\n",
        "Kumquatpick-Issued: 1\r\n", "Range: bytes=5-1,,\r\n", "Expect: 100-continue\r\n", "Connection: close\r\n",
        "Content-Type: multipart/form-data; boundary=\r\n", "a\r\n0123456789\r\n0\r\n\r\n", "{\"model\":\"writers\"}",
        "%", "%00", std::string(3, '\0'), std::string(5'000, 'x'), "\xff\xfe" };
    std::string text;
    for (uint64_t part = random() % 12; part > 0; --part)
        text += random() % 8 ? parts[random() % parts.size()] : std::string(1, static_cast<char>(random()));
    return text;
}

} // namespace Kumquatpick
