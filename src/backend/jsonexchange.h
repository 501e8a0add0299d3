#pragma once

#include "base/address.h"
#include "base/clock.h"
#include "base/error.h"

#include <string>
#include <string_view>

namespace Kumquatpick {

struct JsonAnswer {
    int status = 0;
    std::string body; // Unparsed.
};

constexpr size_t largestJsonBody = 4 << 20;

// One request for JSON; blocks up to the timeout. Fails with Unreachable only if nothing was sent, else
// with Timeout, BrokenOff, or Malformed for a body that is larger than largestBody or does not tell where it ends.
Result<JsonAnswer> exchangeJson(const Address&, std::string_view method, std::string_view path, std::string body,
    Milliseconds timeout, Step, size_t largestBody = largestJsonBody);

} // namespace Kumquatpick
