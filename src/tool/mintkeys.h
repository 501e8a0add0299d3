#pragma once

#include "base/error.h"
#include "tool/nodeclient.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

struct MintedKeys {
    std::vector<std::string> keys;
    uint64_t issuedMs = 0; // Since 1970, by the node's clock.
};

// Fetches fresh keys from a node.
Result<MintedKeys> mintKeys(const NodeClient&, std::string_view service, uint64_t count);

} // namespace Kumquatpick
