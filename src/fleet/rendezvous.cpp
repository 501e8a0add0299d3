#include "fleet/rendezvous.h"

#include "base/hash.h"

#include <algorithm>

namespace Kumquatpick {

std::vector<std::string> chooseNodes(std::span<const std::string> nodes, std::string_view duty, size_t count)
{
    std::vector<std::string> chosen(nodes.begin(), nodes.end());
    uint64_t seed = hash64(duty);
    count = std::min(count, chosen.size());
    std::ranges::partial_sort(chosen, chosen.begin() + static_cast<std::ptrdiff_t>(count), std::ranges::greater(),
        [&](const std::string& node) { return hash64(node, seed); });
    chosen.resize(count);
    return chosen;
}

} // namespace Kumquatpick
