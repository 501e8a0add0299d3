#pragma once

#include "base/error.h"

#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace Kumquatpick {

enum class LogLevel : uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

// Lines below this level are dropped; the default is Info. Safe to call from any thread.
void setLogLevel(LogLevel);

// Writes one JSON object on one line to standard error: time, level, message and the fields given.
// Safe from any thread; lines never interleave.
void logLine(LogLevel, std::string_view message, const nlohmann::json& fields);
void logLine(LogLevel, std::string_view message);

// Logs a warning with the step, peer, code and detail of an error.
void logError(std::string_view message, const Error&);

} // namespace Kumquatpick
