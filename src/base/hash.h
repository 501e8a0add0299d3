#pragma once

#include <cstdint>
#include <string_view>

namespace Kumquatpick {

// 64-bit XXH3. Slots and fingerprints require that it is the same on every node and in every version.
uint64_t hash64(std::string_view, uint64_t seed = 0);

} // namespace Kumquatpick
