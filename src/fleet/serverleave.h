#pragma once

#include <cstdint>

namespace Kumquatpick {

// What is known of a call whose server has been silent for longer than usual.
struct ServerLeaveInputs {
    bool mayRepeat = false; // Running the call twice is allowed, or its stream can be resumed.
    bool isSuspect = false; // Servers ended while running it.
    uint32_t runs = 0; // That the call may have had, with the one at the silent server.
    uint32_t maxRuns = 1;
    uint32_t sends = 0;
    uint32_t maxSends = 1;
    bool isRetryLeft = false; // In the fleet's retry allowance.
    bool hasOtherServer = false; // Another server has room for it.
};

enum class ServerLeave : uint8_t {
    Allowed,
    NotRepeatable,
    NoRunLeft,
    NoRetryLeft,
    NoOtherServer,
};

// Whether the call may leave its silent server. A silent server may still answer, so the call only leaves it for one
// that can go on with it; otherwise the call waits for its server until its deadline.
ServerLeave mayLeaveServer(const ServerLeaveInputs&);

// For logs and metrics.
const char* name(ServerLeave);

} // namespace Kumquatpick
