#pragma once

#include "base/clock.h"
#include "fleet/servernotice.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Kumquatpick {

// A caller's request as the gateway works with it, decoded once from what came over the wire.
struct Call {
    std::string id; // The caller's, of this attempt; travels to the backend server and back.
    std::string method;
    std::string target; // Path and query as sent.
    std::string host; // Without a port.
    std::string key; // Of a team; empty if none came.
    std::string model; // Empty for plain services.
    uint32_t promptTokens = 0;
    uint32_t mostAnswerTokens = 0;
    std::string resumeAfter; // The last event that the caller has of an earlier try; empty if none.
    std::optional<Milliseconds> patience; // How long the caller waits for the whole answer.
    std::string body;
    // What else goes to the backend server as it came.
    std::vector<std::pair<std::string, std::string>> passedHeaders;
};

// One send of a call to one backend server.
struct Send {
    std::string hostId; // Another life at the address refuses it.
    std::string team; // Empty for public routes.
    std::string resumeAfter;
    Milliseconds patience {}; // What is left.
    int priority = 0; // 0 goes first.
};

// What an answer's head says, before any of it is believed.
struct Reply {
    std::string callId; // Whose answer it is; empty if it doesn't say.
    int status = 0;
    bool isWhole = true; // False if its body is encoded, which nobody asked for.
    bool isSigned = false; // Vouched for by the backend server: its own answer to a request that it ran.
    bool notRun = false; // The backend server promises that it did not and will not run the request.
    bool isElsewhere = false; // The host that was meant is not there, or takes no requests of its replica.
    ServerNotice notice;
};

} // namespace Kumquatpick
