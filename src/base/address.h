#pragma once

#include "base/error.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace Kumquatpick {

// A TCP or UDP endpoint with a numeric IP address; names are never resolved.
struct Address {
    std::string ip;
    uint16_t port = 0;

    // "10.0.0.7:7100" or "[::1]:7100"; fails with InvalidArgument.
    static Result<Address> parse(std::string_view);

    std::string toString() const;
    auto operator<=>(const Address&) const = default; // NOLINT(modernize-use-nullptr): false positive
};

} // namespace Kumquatpick
