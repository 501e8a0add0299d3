#include "base/hash.h"

#include <xxhash.h>

namespace Kumquatpick {

uint64_t hash64(std::string_view bytes, uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

} // namespace Kumquatpick
