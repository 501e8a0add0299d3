#pragma once

#include "gateway/http.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace Kumquatpick {

// Faults of an answer that its sender cannot be excused for: they are logged and counted, and the connection is closed.
enum class AnswerFault : uint8_t {
    WithoutEnd, // It took more than an answer may.
    Malformed, // Its head breaks the protocol.
};

// The fault that ended the reading, if it was one.
std::optional<AnswerFault> answerFault(const beast::error_code&);

// Names in logs and metrics.
std::string_view eventName(AnswerFault);
std::string_view metricName(AnswerFault);

} // namespace Kumquatpick
