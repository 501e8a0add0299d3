#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

// The nodes that take on a duty for the others, by rendezvous hashing: each node chooses from those that it hears, so
// nothing has to be agreed, and one that comes or goes changes the choice only if it is chosen itself. Where views
// differ for a moment, a node more or none may see itself as chosen; what is chosen must bear that.
std::vector<std::string> chooseNodes(std::span<const std::string> nodes, std::string_view duty, size_t count);

} // namespace Kumquatpick
