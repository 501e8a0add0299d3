#pragma once

#include "base/trace.h"
#include "caller/refusal.h"
#include "caller/settings.h"
#include "coordination/slotmessage.h"
#include "policy/admission.h"
#include <httplib.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Kumquatpick {

enum class RequestKind : uint8_t {
    Chat,
    ServiceCall,
};

// A request as received, before validation.
struct RawRequest {
    std::string_view method;
    std::string_view target;
    std::string_view contentType;
    std::string_view body;
    const httplib::Headers& headers;
};

struct CallerRequest {
    RequestKind kind = RequestKind::Chat;
    std::string method;
    std::string service;
    std::string upstreamPath; // Path and query for the backend server.
    std::string contentType;
    std::string body;
    std::vector<uint64_t> prefixHashes;
    std::string team;
    Priority priority = Priority::Normal;
    bool repeatable = false;
    RequestKey key; // Empty if a repeatable request has no valid key.
    Milliseconds timeout {}; // Measured from the request's arrival.
    std::optional<TraceContext> trace;
    // Hash of team and content. A stored answer is sent only to requests with the same key and fingerprint.
    uint64_t fingerprint = 0;
};

// Identifies an attempt of a request. Also parsed from requests of which other parts are malformed.
struct RequestIdentity {
    bool repeatable = false;
    // Set only if key, attempt and issue time are all valid, as together they identify an attempt.
    std::optional<RequestKey> key;
};

RequestIdentity parseIdentity(std::string_view method, const httplib::Headers&, WallTime now);

// Returns a request of which every part is well-formed, or the refusal. Does not throw on malformed input.
std::variant<CallerRequest, Refusal> parseRequest(const RawRequest&, const CallerSettings&, WallTime now);

bool isServicePath(std::string_view path);
constexpr std::string_view chatPath = "/v1/chat/completions";

} // namespace Kumquatpick
