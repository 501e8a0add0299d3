#pragma once

#include "tool/exitcode.h"
#include "tool/nodeclient.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace Kumquatpick {

// How one request ended, as the node told it.
struct RequestOutcome {
    std::string outcome; // "answered", "not-run", "undecided", "may-have-run"
    std::string type;
    std::string message;
    std::string step;
    std::string peer;
    std::string requestId;
    std::optional<uint64_t> retryAfterMs;
    std::optional<uint64_t> nextAttempt;

    ExitCode exitCode(int status) const;
    // A line or two for people; empty for a whole answer.
    std::string describe(int status) const;
};

// From the answer's head and, unless it is answered, its error object.
RequestOutcome outcomeOf(const NodeAnswer&);
// From the error object of a refusal or of a broken stream. An object that names no outcome promises nothing.
RequestOutcome outcomeOfError(const nlohmann::json&);
RequestOutcome mayHaveRun(std::string message);

} // namespace Kumquatpick
