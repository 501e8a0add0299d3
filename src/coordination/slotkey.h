#pragma once

#include "base/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Kumquatpick {

// A key made by a node names its slot and its issue time, so that neither rests on the caller's word:
// "kq1.SSS.TTTTTTTTTTTT.NNNNNNNNNNNNNNNN.CCCCCCCC" in hexadecimal: slot, milliseconds since 1970, the node's
// incarnation and a counter.
struct MintedKey {
    uint32_t slot = 0;
    WallTime issued {};
    uint64_t incarnation = 0;
    uint32_t serial = 0;

    std::string toString() const;
    // Nothing if the key is not of this form: then it is a caller's own.
    static std::optional<MintedKey> parse(std::string_view key);
};

} // namespace Kumquatpick
