#pragma once

#include "base/error.h"
#include "caller/dependencies.h"
#include "caller/settings.h"

#include <memory>
#include <string>

namespace Kumquatpick {

// The HTTP server for callers and operators. Each thread of a bounded pool serves one request at a time. The steps of
// a request are in serve.cpp.
class CallerServer {
public:
    CallerServer(CallerSettings, CallerDependencies);
    // Aborts requests in flight. Call drain() first to let them finish.
    ~CallerServer();

    // Starts listening and serving; fails with InvalidArgument if the address can't be bound.
    Result<void> start();
    // The listening address with the bound port.
    Address address() const;

    // From now on new requests are refused with "stopping" and /readyz fails. Requests in flight continue.
    void beginDrain();
    // Blocks until no request is in flight or the deadline has passed, then stops. Returns true if no request was
    // aborted.
    bool drain(MonotonicTime deadline);

    // Number of requests in flight, for gossip.
    uint32_t inFlight() const;
    // Returns a stored answer to another node, by the lookup text that the node sent. Does not block.
    StoredAnswer storedAnswer(const std::string& lookup);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace Kumquatpick
