#pragma once

#include "fleet/loadaggregator.h"

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string_view>

namespace Kumquatpick {

class DocumentReader;
struct GatewayContext;

// The ages of the latest progress of streams, as an optional field of a message between nodes. Nodes that know of none
// send no field.
void encodeProgress(nlohmann::json& document, const AgesByHost&);
// Empty if the message has no such field; nullopt if it is unreadable. The rest of the message remains usable.
std::optional<AgesByHost> decodeProgress(const DocumentReader& document);

// A node of another version may send ages that this one cannot read. Logged once for each sender.
void logUnreadableProgress(GatewayContext&, std::string_view sender);

} // namespace Kumquatpick
