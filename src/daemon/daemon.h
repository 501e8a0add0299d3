#pragma once

#include "base/error.h"
#include "operator/daemonsettings.h"

#include <memory>

namespace Kumquatpick {

// One node of the deployment. Constructs and starts the components in the order of their dependencies.
class Daemon {
public:
    // Fails with InvalidArgument if an address can't be bound.
    static Result<std::unique_ptr<Daemon>> start(const DaemonSettings&);
    ~Daemon();

    const Address& callerAddress() const;
    const Address& peerAddress() const;

    // Shuts down gracefully: removes this node from /v1/entries, keeps serving until callers have refreshed their
    // entry lists, finishes the requests in flight and hands its slots over. Returns true if no request was cut off.
    bool stop();

private:
    struct Parts;
    explicit Daemon(std::unique_ptr<Parts>);

    std::unique_ptr<Parts> m_parts;
};

} // namespace Kumquatpick
