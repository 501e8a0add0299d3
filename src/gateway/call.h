#pragma once

#include "base/clock.h"
#include "fleet/servernotice.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Kumquatpick {

// A caller's request, decoded once from the HTTP message.
struct Call {
    // Chosen by the caller for this attempt; sent to the backend server, which returns it in its response.
    std::string id;
    std::string method;
    std::string target; // Path and query, unmodified.
    std::string host; // Without the port.
    std::string key; // API key of a team; empty if the request has none.
    std::string model; // Empty for services without models.
    uint32_t promptTokens = 0;
    uint32_t maxResponseTokens = 0;
    // Ids of the parts of the prompt that other requests may share, in the order of the prompt, each once. The last
    // part of a prompt is the request's own and not among them.
    std::vector<uint64_t> sharedPromptParts;
    std::string lastEventId; // Last event of an earlier attempt that the caller has received; empty if none.
    std::optional<Milliseconds> timeout; // Time within which the caller needs the complete response.
    std::string body;
    // Passed on by a node that is cut off from the backend servers, which must not be done twice.
    bool isRelayed = false;
    uint32_t earlierRuns = 0; // That a relayed call may have had already.
    bool isRetry = false; // A relayed call that was sent to a server before. The relaying node took the retry.
    // Further headers that are forwarded unmodified.
    std::vector<std::pair<std::string, std::string>> forwardedHeaders;
};

// Parameters of one send of a call to one backend server.
struct SendParameters {
    std::string hostId; // A different incarnation at the same address refuses the request.
    std::string team; // Empty for public routes.
    std::string lastEventId;
    Milliseconds timeLeft {}; // Remaining time until the deadline.
    int priority = 0; // 0 is the highest priority.
    uint32_t earlierRuns = 0; // That the call may have had.
    bool isRetry = false; // The call was sent to a server before.
};

// The head of a response, before it is validated.
struct ReplyHead {
    std::string callId; // Request id that the response names; empty if it names none.
    int status = 0;
    bool isUnencoded = true; // False if the body is encoded, which the gateway never requests.
    bool isSealed = false; // Sealed by the backend server: its own response to a request that it ran.
    bool notRun = false; // The backend server guarantees that it did not and will not run the request.
    bool isWrongTarget = false; // The intended host is not at this address, or takes no requests for its replica.
    ServerNotice notice;
};

} // namespace Kumquatpick
