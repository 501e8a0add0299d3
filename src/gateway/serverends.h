#pragma once

#include "base/address.h"
#include "gateway/http.h"
#include "suspicion/serverruns.h"

#include <string_view>

namespace Kumquatpick {

struct GatewayContext;
struct GoneHost;

// Name of the log field for suspects of a kind.
const char* logField(SuspectKind);

// Records the end of a backend server against the requests that may have been running there. The first call that
// notices the end records it for all requests of this node. The call id is empty if no call noticed it.
void recordServerEnd(GatewayContext&, std::string_view hostId, ServerEndSign, std::string_view callId);

// Whether the server, which closed a connection within an answer, has ended. It may have dropped this answer only; then
// it accepts a new connection. So does its next process, which the list shows later. A node that reaches no server of
// the service knows no more for now: it may have lost its own links.
asio::awaitable<bool> hasServerEnded(GatewayContext&, std::string hostId, std::string service, Address);

// Finds out why a server left the list, if requests had no answer from it: it may have ended under one of them.
asio::awaitable<void> examineGoneHost(GatewayContext&, GoneHost);

} // namespace Kumquatpick
