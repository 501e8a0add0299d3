#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "operator/config.h"
#include "tool/nodeclient.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Kumquatpick {

// One new version of the operators' text. The id makes repeats harmless: a second record with it folds to nothing.
struct Publication {
    std::string id;
    uint64_t basedOn = 0;
    std::string text;
    std::string operatorName;
};

enum class PublishVerdict : uint8_t {
    Accepted,
    Outdated, // Another version was published first.
    Invalid,
    Undecided, // It may still take effect.
    NotSent, // No node was reached.
};

std::string_view name(PublishVerdict);

struct PublishResult {
    PublishVerdict verdict = PublishVerdict::NotSent;
    uint64_t version = 0; // The accepted one, or the one that came first.
    std::vector<ConfigFault> faults;
    std::string problem; // Why there is no verdict.
};

// The version that the first node to answer has now.
Result<uint64_t> currentVersion(const NodeClient&);

// Repeats it under its id until it is decided or the time is over; tries at least once.
PublishResult publishUntilDecided(const NodeClient&, const Publication&, Milliseconds timeout);

} // namespace Kumquatpick
