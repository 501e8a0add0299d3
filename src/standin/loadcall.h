#pragma once

#include "base/address.h"
#include "base/clock.h"
#include "standin/loadmix.h"
#include "standin/outcome.h"

#include <httplib.h>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Kumquatpick {

// What came back from one sending of a request.
struct LoadReply {
    CallOutcome outcome = CallOutcome::Broken;
    std::string type; // Of a refusal; of a broken call, how it broke.
    uint64_t answerHash = 0;
    bool isRight = true; // The bytes that came are those of the right answer, so far as they came.
    std::optional<Milliseconds> retryAfter;
    std::optional<uint32_t> nextAttempt;
    std::optional<MonotonicTime> firstByte;
    MonotonicTime end {};
};

// One thread's connections, kept open between requests.
class LoadConnections {
public:
    httplib::Client& to(const Address&, Milliseconds timeout);
    void drop(const Address&);

private:
    std::map<std::string, std::unique_ptr<httplib::Client>> m_clients; // By address.
};

struct LoadCall {
    const LoadRequest& request;
    uint32_t attempt = 1;
    WallTime issued;
    Milliseconds deadline; // From now.
    bool isDirect = false; // To a backend server, which has no typed outcomes.
};

// Sends once and reads the whole answer.
LoadReply sendCall(LoadConnections&, const Address&, const LoadCall&);

} // namespace Kumquatpick
