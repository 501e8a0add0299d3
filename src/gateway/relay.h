#pragma once

#include "base/address.h"
#include "gateway/http.h"
#include "gateway/platform.h"

#include <optional>
#include <string>
#include <string_view>

namespace Kumquatpick {

// A call that a node makes to a backend server for another node which can't reach that server.
struct RelayedCall {
    Address host;
    HttpRequest request;
};

std::string encode(const RelayedCall&);
// Nothing if it can't be read.
std::optional<RelayedCall> decodeRelayedCall(std::string_view);

// What came of it: the answer, or why there is none.
std::string encode(const Settled<HttpResponse>&);
Settled<HttpResponse> decodeRelayedAnswer(std::string_view);

} // namespace Kumquatpick
