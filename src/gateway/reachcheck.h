#pragma once

#include "gateway/http.h"

#include <string>
#include <string_view>

namespace Kumquatpick {

struct GatewayContext;

enum class ReachVerdict : uint8_t {
    Reached, // A server of the service accepted a connection.
    NotReached,
    Unknown, // There is no server to connect to, or the event loop paused meanwhile.
};

// Connects to a few servers of the service, other than the host if one is named, all at once.
asio::awaitable<ReachVerdict> checkReach(GatewayContext&, std::string service, std::string otherThan = {});

} // namespace Kumquatpick
