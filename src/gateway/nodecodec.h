#pragma once

#include "fleet/nodemessage.h"

#include <optional>
#include <string>
#include <string_view>

namespace Kumquatpick {

// Name of one incarnation of a node in the controller log.
std::string incarnationName(std::string_view node, uint64_t incarnation);

// Messages between nodes, as CBOR: they are sent several times a second and contain many short fields.
std::string encode(const NodeMessage&);
// Returns nothing if the bytes cannot be decoded, are larger than any message or are of a later version. Single states
// and facts that cannot be decoded are skipped; the rest remains valid.
std::optional<NodeMessage> decodeNodeMessage(std::string_view);

} // namespace Kumquatpick
