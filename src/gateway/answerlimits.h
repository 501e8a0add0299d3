#pragma once

#include "gateway/http.h"

#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>
#include <cstddef>
#include <cstdint>

namespace Kumquatpick {

namespace AnswerLimits {

    // Of a status line with its fields, of the extension of a chunk, and of the trailers.
    constexpr uint32_t headBytes = 16 * 1024;
    // What is read ahead of the parser. Beyond the longest head, so that a longer one is recognized as such.
    constexpr size_t bufferBytes = headBytes + 4096;

    // Of the body of an answer, by what was asked for. Lists and configurations grow with the fleet.
    constexpr uint64_t reportBytes = 1 << 20; // A host's state, or whether an order or a record was accepted.
    constexpr uint64_t nodeMessageBytes = 4 << 20;
    constexpr uint64_t storePageBytes = 4 << 20; // Several times what the store puts on a page.
    constexpr uint64_t configBytes = 16 << 20;
    constexpr uint64_t hostListBytes = 32 << 20;

} // namespace AnswerLimits

// Whether the reading ended because the answer took more than it may. An overflow of the buffer is a chunk extension or
// trailers without end.
inline bool exceedsAnswerLimit(const beast::error_code& error)
{
    return error == http::error::body_limit || error == http::error::header_limit
        || error == http::error::buffer_overflow || error == asio::error::no_buffer_space;
}

} // namespace Kumquatpick
