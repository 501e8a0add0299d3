#pragma once

#include "base/responsehead.h"
#include "gateway/http.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

namespace Kumquatpick {

struct PeerConnection;

using ResponseParser = http::response_parser<http::buffer_body>;

// Reads the head of the next final response into the parser, and drops the interim ones before it. The one place where
// the gateway reads heads: of servers, of nodes and of the store. Returns what ended the reading early; for a head that
// breaks the protocol an error that isBrokenHead() recognizes. The parser and the connection are of no use then.
asio::awaitable<beast::error_code> readResponseHead(PeerConnection&, ResponseParser&);

bool isBrokenHead(const beast::error_code&);

} // namespace Kumquatpick
