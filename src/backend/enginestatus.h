#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>
#include <string>

namespace Kumquatpick {

enum class EngineState : uint8_t {
    Idle, // Runs nothing.
    Loading,
    Ready,
};

// A backend server's own word about itself, read from its status page.
struct EngineStatus {
    std::string host;
    uint64_t incarnation = 0;
    EngineState state = EngineState::Idle;
    bool leaving = false;
    Offset claim = 0; // Fencing number of the order it obeys; 0 if none.
    std::string service;
    std::string replica;
    std::string model;
    std::string modelVersion;
    uint32_t running = 0;
    uint32_t queued = 0;
    double cacheUsed = 0;
    MonotonicTime readAt {}; // When this node read it.
};

} // namespace Kumquatpick
