#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

// Standard alphabet with padding; the text needs no escaping in a JSON string.
std::string base64Encode(std::span<const uint8_t>);
std::optional<std::vector<uint8_t>> base64Decode(std::string_view);

} // namespace Kumquatpick
