#include "gateway/connectionpool.h"

#include "base/brokenanswers.h"
#include "gateway/asio.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <gtest/gtest.h>

namespace Kumquatpick {

namespace {

    constexpr size_t answerBytes = 1 << 20;
    constexpr Milliseconds timeout { 100 };
    constexpr Milliseconds longPause { 300 };
    constexpr Milliseconds bodyTimeout { 3000 };

    // Responds to one request: sends the head after one pause and the body after another one.
    struct SlowServer {
        Milliseconds beforeHead {};
        Milliseconds beforeBody {};

        asio::awaitable<void> serve(asio::ip::tcp::acceptor& acceptor) const
        {
            auto [acceptError, socket] = co_await acceptor.async_accept(asTuple);
            beast::flat_buffer buffer;
            HttpRequest request;
            co_await http::async_read(socket, buffer, request, asTuple);
            co_await sleepFor(beforeHead);
            std::string_view head = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";
            co_await asio::async_write(socket, asio::buffer(head), asTuple);
            co_await sleepFor(beforeBody);
            std::string_view body = "text";
            co_await asio::async_write(socket, asio::buffer(body), asTuple);
        }
    };

    template <typename Server>
    Settled<HttpResponse> exchangeWithServer(const Server& server, Milliseconds forHead, Milliseconds forBody)
    {
        asio::io_context io;
        asio::ip::tcp::acceptor acceptor(io, { asio::ip::make_address("127.0.0.1"), 0 });
        Address address { "127.0.0.1", acceptor.local_endpoint().port() };
        ConnectionPool pool(io.get_executor(), answerBytes);
        Settled<HttpResponse> result;
        asio::co_spawn(io, server.serve(acceptor), asio::detached);
        asio::co_spawn(
            io,
            [&]() -> asio::awaitable<void> {
                HttpRequest request(http::verb::get, "/", 11);
                result = co_await pool.exchange(address, std::move(request), forHead, Step::LogRead, forBody);
            },
            asio::detached);
        io.run();
        return result;
    }

    Settled<HttpResponse> exchangeWith(const SlowServer& server, Milliseconds forBody)
    {
        return exchangeWithServer(server, timeout, forBody);
    }

    // Sends these bytes after one request, and keeps the connection open if told so.
    struct RawServer {
        std::string bytes;
        bool keepsConnection = false;

        asio::awaitable<void> serve(asio::ip::tcp::acceptor& acceptor) const
        {
            auto [acceptError, socket] = co_await acceptor.async_accept(asTuple);
            beast::flat_buffer buffer;
            HttpRequest request;
            co_await http::async_read(socket, buffer, request, asTuple);
            co_await asio::async_write(socket, asio::buffer(bytes), asTuple);
            char byte = 0;
            if (keepsConnection)
                co_await socket.async_read_some(asio::buffer(&byte, 1), asTuple);
        }
    };

    Settled<HttpResponse> exchangeWithRaw(const RawServer& server)
    {
        constexpr Milliseconds longTimeout { 10'000 };
        return exchangeWithServer(server, longTimeout, {});
    }

    std::optional<ErrorCode> errorOf(const Settled<HttpResponse>& result)
    {
        auto* error = std::get_if<Error>(&result);
        return error ? std::optional(error->code) : std::nullopt;
    }

}

// Guards against giving up a large body on a slow link, and against waiting long for a peer that sends nothing.
TEST(ConnectionPool, TimeoutAppliesToHeadOnlyIfBodyTimeoutIsGiven)
{
    auto slowBody = exchangeWith({ {}, longPause }, bodyTimeout);
    ASSERT_FALSE(errorOf(slowBody));
    EXPECT_EQ(std::get<HttpResponse>(slowBody).body(), "text");
    EXPECT_EQ(errorOf(exchangeWith({ longPause, {} }, bodyTimeout)), ErrorCode::Timeout);
}

TEST(ConnectionPool, TimeoutAppliesToWholeResponseWithoutBodyTimeout)
{
    EXPECT_FALSE(errorOf(exchangeWith({}, {})));
    EXPECT_EQ(errorOf(exchangeWith({ {}, longPause }, {})), ErrorCode::Timeout);
}

// Guards against answers of the store, of nodes and of servers' states being used whose heads break the protocol.
TEST(ConnectionPool, TakesABrokenHeadForNoAnswer)
{
    SoundAnswer sound = plainAnswerOf("Etag: x\r\n");
    EXPECT_FALSE(errorOf(exchangeWithRaw({ sound.text(), false })));
    std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
    auto afterInterim = exchangeWithRaw({ interim + sound.text(), false });
    ASSERT_FALSE(errorOf(afterInterim));
    EXPECT_EQ(std::get<HttpResponse>(afterInterim).body(), "hello");
    for (const auto& kinds :
        { answersWithBrokenStatus(sound), answersWithBrokenFields(sound), answersWithBrokenLength(sound.identity) }) {
        for (const BrokenAnswer& broken : kinds)
            EXPECT_EQ(errorOf(exchangeWithRaw({ broken.bytes, true })), ErrorCode::BrokenOff) << broken.what;
    }
    for (const BrokenAnswer& broken : answersThatEndInTheirHead(sound))
        EXPECT_EQ(errorOf(exchangeWithRaw({ broken.bytes, false })), ErrorCode::BrokenOff) << broken.what;
}

// Guards against calls that must not run twice, and so need a fresh connection, closing those that others can use.
TEST(ConnectionPool, KeepsConnectionsThatAreIdleTooLongForOneUseAndLearnsWhenTheyAreClosed)
{
    asio::io_context io;
    asio::ip::tcp::acceptor acceptor(io, { asio::ip::make_address("127.0.0.1"), 0 });
    Address address { "127.0.0.1", acceptor.local_endpoint().port() };
    ConnectionPool pool(io.get_executor(), answerBytes);
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            auto first = co_await pool.acquire(address, longPause, timeout);
            auto connection = std::move(std::get<0>(first));
            auto [acceptError, server] = co_await acceptor.async_accept(asTuple);
            connection->service = "writers";
            connection->hostId = "a";
            pool.release(std::move(connection));
            co_await sleepFor(timeout);
            MonotonicTime now = monotonicNow();
            EXPECT_EQ(pool.hostsWithIdle("writers", 10 * timeout, now), std::vector<std::string> { "a" });
            EXPECT_TRUE(pool.hostsWithIdle("writers", Milliseconds(10), now).empty());
            EXPECT_TRUE(pool.hostsWithIdle("readers", 10 * timeout, now).empty());

            auto fresh = co_await pool.acquire(address, Milliseconds(10), timeout);
            EXPECT_FALSE(std::get<0>(fresh)->wasUsed);
            EXPECT_EQ(pool.opened(), 2U);
            pool.closeIdle(monotonicNow());
            EXPECT_FALSE(pool.idleLimits().usable("writers"));
            server.close();
            co_await sleepFor(timeout);
            pool.closeIdle(monotonicNow());
            EXPECT_TRUE(pool.hostsWithIdle("writers", 10 * timeout, monotonicNow()).empty());
            EXPECT_GE(pool.idleLimits().usable("writers").value_or(Milliseconds(0)), timeout);
        },
        asio::detached);
    io.run();
}

} // namespace Kumquatpick
