#include "gateway/responsereader.h"

#include "gateway/answerlimits.h"
#include "gateway/asio.h"
#include "gateway/connectionpool.h"

#include <boost/beast/core/read_size.hpp>

namespace Kumquatpick {

namespace {

    class HeadProblemCategory final : public boost::system::error_category {
    public:
        const char* name() const noexcept override { return "response head"; }
        std::string message(int value) const override { return std::string(describe(static_cast<HeadProblem>(value))); }
    };

    const HeadProblemCategory headProblemCategory;

    beast::error_code errorOf(HeadProblem problem) { return { static_cast<int>(problem), headProblemCategory }; }

    std::string_view received(const beast::flat_buffer& buffer)
    {
        return { static_cast<const char*>(buffer.data().data()), buffer.size() };
    }

    // Reads until the buffer begins with a whole head, of at most maxBytes.
    asio::awaitable<beast::error_code> awaitHead(
        PeerConnection& connection, size_t maxBytes, ResponseHeadCheck::Head& head)
    {
        ResponseHeadCheck check;
        while (true) {
            ResponseHeadCheck::Progress progress = check.advance(received(connection.buffer));
            if (auto* problem = std::get_if<HeadProblem>(&progress))
                co_return errorOf(*problem);
            auto* whole = std::get_if<ResponseHeadCheck::Head>(&progress);
            bool isTooLong = whole ? whole->size > maxBytes : connection.buffer.size() >= maxBytes;
            if (isTooLong)
                co_return http::error::header_limit;
            if (whole) {
                head = *whole;
                co_return beast::error_code();
            }
            size_t room = beast::read_size(connection.buffer, maxBytes);
            auto [error, count] = co_await connection.stream.async_read_some(connection.buffer.prepare(room), asTuple);
            connection.buffer.commit(count);
            if (error == asio::error::eof)
                co_return connection.buffer.size() == 0 ? http::error::end_of_stream : http::error::partial_message;
            if (error)
                co_return error;
        }
    }

}

bool isBrokenHead(const beast::error_code& error) { return error.category() == headProblemCategory; }

asio::awaitable<beast::error_code> readResponseHead(PeerConnection& connection, ResponseParser& parser)
{
    parser.header_limit(AnswerLimits::headBytes);
    size_t bytesLeft = AnswerLimits::headBytes;
    ResponseHeadCheck::Head head;
    while (true) {
        beast::error_code error = co_await awaitHead(connection, bytesLeft, head);
        if (error)
            co_return error;
        if (isFinalStatus(head.status))
            break;
        bytesLeft -= head.size;
        connection.buffer.consume(head.size);
    }
    beast::error_code error;
    size_t parsed = parser.put(connection.buffer.data(), error);
    connection.buffer.consume(parsed);
    co_return error;
}

} // namespace Kumquatpick
