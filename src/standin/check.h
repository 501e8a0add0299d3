#pragma once

#include "standin/outcome.h"
#include "standin/runlog.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

enum class ViolationKind : uint8_t {
    RunTwice, // A request that is not repeatable started more than once.
    FalseNotRun, // A caller was told "not run" of a request that ran.
    LostAnswer, // A caller asked and never came to an outcome.
    ForeignAnswer, // The bytes are not the answer to what was asked.
};

std::string_view name(ViolationKind);

struct Violation {
    ViolationKind kind;
    std::string key {};
    std::string detail;

    bool operator==(const Violation&) const = default;
};

// A start of a run, as a backend server recorded it.
struct RecordedStart {
    std::string host {};
    std::string key {};
    uint64_t attempt = 0; // 0: the backend server was not told.

    // Nothing for other phases. Throws nlohmann::json::exception if it is no line of a record.
    static bool parse(std::string_view json, RecordedStart& into);
};

// Judges what the callers saw by what the backend servers ran. Every backend server's record has to be
// there: a missing one hides runs.
std::vector<Violation> findViolations(std::span<const RecordedStart>, std::span<const OutcomeLine>);

} // namespace Kumquatpick
