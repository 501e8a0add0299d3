#include "fleet/rendezvous.h"

#include "base/hash.h"

#include <algorithm>
#include <utility>

namespace Kumquatpick {

namespace {

    // Ratio to the largest CPU share. Nodes above it are treated as equally suitable.
    constexpr double largeShareRatio = 0.5;

    double largestShare(std::span<const CandidateNode> nodes)
    {
        double largest = 0;
        for (const CandidateNode& node : nodes)
            largest = std::max(largest, node.cpuShare);
        return largest;
    }

}

bool hasLargeCpuShare(const CandidateNode& node, std::span<const CandidateNode> all)
{
    return node.cpuShare >= largeShareRatio * largestShare(all);
}

std::vector<std::string> chooseNodes(std::span<const CandidateNode> nodes, std::string_view duty, size_t count)
{
    double largest = largestShare(nodes);
    uint64_t seed = hash64(duty);
    struct Ranked {
        bool isLarge;
        uint64_t hash;
        const CandidateNode* node;
    };
    std::vector<Ranked> ranked;
    ranked.reserve(nodes.size());
    for (const CandidateNode& node : nodes)
        ranked.push_back({ node.cpuShare >= largeShareRatio * largest, hash64(node.address, seed), &node });
    count = std::min(count, ranked.size());
    std::ranges::partial_sort(ranked, ranked.begin() + static_cast<std::ptrdiff_t>(count), std::ranges::greater(),
        [](const Ranked& each) { return std::pair(each.isLarge, each.hash); });
    std::vector<std::string> result;
    for (size_t i = 0; i < count; ++i)
        result.push_back(ranked[i].node->address);
    return result;
}

} // namespace Kumquatpick
