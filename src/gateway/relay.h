#pragma once

#include "base/address.h"
#include "gateway/http.h"
#include "gateway/platform.h"

#include <optional>
#include <string>
#include <string_view>

namespace Kumquatpick {

// A call that one node makes to a backend server for another node that cannot reach that server.
struct RelayedCall {
    Address host;
    HttpRequest request;
};

std::string encode(const RelayedCall&);
// Returns nothing if the text cannot be decoded.
std::optional<RelayedCall> decodeRelayedCall(std::string_view);

// The result of a relayed call: the response or an error.
std::string encode(const Settled<HttpResponse>&);
Settled<HttpResponse> decodeRelayedAnswer(std::string_view);

} // namespace Kumquatpick
