#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

// Standard alphabet with padding: bytes in a JSON string without a single character to escape.
std::string base64Encode(std::span<const uint8_t>);
std::optional<std::vector<uint8_t>> base64Decode(std::string_view);

} // namespace Kumquatpick
