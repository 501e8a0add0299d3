#pragma once

#include "backend/enginestatus.h"
#include "base/address.h"
#include "base/error.h"

#include <string>
#include <vector>

namespace Kumquatpick {

enum class OrderKind : uint8_t {
    Load,
    Unload,
};

// What a controller tells one host's engine to do under a claim.
struct EngineOrder {
    OrderKind kind = OrderKind::Load;
    Offset fencing = 0; // The claim's offset.
    std::string service;
    std::string replica;
    std::string model;
    std::string modelVersion;
    uint32_t rank = 0;
    std::vector<Address> peers; // All hosts of the replica, rank order.
    Address weightStore;
    uint64_t weightsBytes = 0;
};

// Sends an order; blocking. Fails with Stale if the engine knows a newer fencing number.
Result<EngineStatus> sendOrder(const Address&, const EngineOrder&, Milliseconds timeout);
// Reads the status page; blocking.
Result<EngineStatus> readStatus(const Address&, Milliseconds timeout);

} // namespace Kumquatpick
