#include "base/random.h"

#include <fmt/format.h>

namespace Kumquatpick {

Random seededFromSystem()
{
    std::random_device device;
    std::seed_seq seed { device(), device(), device(), device() };
    return Random(seed);
}

std::string randomHex128(Random& random)
{
    uint64_t high = random();
    uint64_t low = random();
    return fmt::format("{:016x}{:016x}", high, low);
}

} // namespace Kumquatpick
