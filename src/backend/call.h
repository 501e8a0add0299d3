#pragma once

#include "base/address.h"
#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"

#include <memory>
#include <string>

namespace Kumquatpick {

// One request to one backend server.
struct BackendRequest {
    Address address;
    std::string host; // For errors.
    std::string method = "POST";
    std::string path; // With its query; sent as it is, so it holds no spaces or control characters.
    std::string body;
    std::string contentType;
    // Travels in Kumquatpick-Request and must come back in the answer. Fresh for each dispatch, as a cancel
    // names it too and may arrive late.
    std::string requestId;
    std::string key;
    uint32_t attempt = 0; // Of the key, for the backend server's own records; 0 leaves it out.
    Offset claim = 0; // In Kumquatpick-Claim; an engine under another claim refuses.
    std::string traceparent;
    int priority = 0; // 0 low, 1 normal, 2 high.
    MonotonicTime deadline; // For the whole call, the body included.
};

struct BackendResponseHead {
    int status = 0;
    std::string contentType;
    Milliseconds retryAfter {};
};

// A call in progress, read by one thread: first the head, then the body piece by piece. A bounded buffer
// holds the backend server back while the caller is slow. Destroying it early cancels at the engine.
class BackendCall {
public:
    virtual ~BackendCall() = default;

    // Waits for the status line and headers. Fails with Unreachable only if nothing was sent; with Malformed
    // if the answer is another request's or does not say where it ends; else with Timeout or BrokenOff.
    virtual Result<BackendResponseHead> head() = 0;
    // The next piece of the body; empty at its proper end. A body cut short fails with BrokenOff, one that is
    // not whole by the deadline with Timeout; either way after the pieces that came before.
    virtual Result<std::string> next() = 0;
    // Waits at most so long until head(), or next() once the head was taken, would return at once; whether it would.
    virtual bool waitReady(Milliseconds longest) = 0;
};

// Starts calls on a bounded set of threads of its own, one for each call in progress. Thread-safe.
class BackendCaller {
public:
    explicit BackendCaller(size_t threads);
    // Cancels the calls in progress and waits for their threads.
    ~BackendCaller();

    // Fails with Overloaded if every thread is busy, with InvalidArgument if the request can't be sent as it is;
    // nothing was sent then.
    Result<std::unique_ptr<BackendCall>> start(BackendRequest);

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace Kumquatpick
