#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Kumquatpick {

enum class EnginePhase : uint8_t {
    Idle,
    Loading,
    Ready,
};

// The latest order that this node sent to a host, answered or not.
struct SentOrder {
    Offset claim = 0;
    MonotonicTime sentAt {};
};

// Data of the controller about one host, from the platform's list and from the engine's status. A host that was removed
// from the list is kept as not listed, so that the time of the removal is known.
struct HostView {
    std::string zone;
    std::string domain;
    std::string service; // Set for hosts of a plain service; these are never claimed.

    bool listed = false;
    uint64_t listedIncarnation = 0; // 0 if the list does not tell, which proves nothing about any incarnation.
    MonotonicTime listedSince {}; // When `listed` or `listedIncarnation` last changed.
    bool leaving = false; // The platform's list marks the host as leaving.

    // `answering` is the result of the latest probe; the fields below it are from the latest answer.
    bool answering = false;
    MonotonicTime answeringSince {}; // When `answering` last changed.
    uint64_t incarnation = 0;
    bool engineLeaving = false;
    EnginePhase phase = EnginePhase::Idle;
    Offset claim = 0; // The claim that the engine currently runs under.
    uint32_t requests = 0; // Number of running and queued requests.
    MonotonicTime statusAt {}; // When the probe that returned this status was sent.

    std::optional<SentOrder> lastOrder;

    bool isLeaving() const { return leaving || engineLeaving; }
    bool hasRecentStatus(MonotonicTime now, Milliseconds statusLifetime) const
    {
        return answering && now - statusAt <= statusLifetime;
    }
    // Start of the current silence; meaningful only while hasRecentStatus() is false.
    MonotonicTime unresponsiveSince() const { return answering ? statusAt : answeringSince; }
};

} // namespace Kumquatpick
