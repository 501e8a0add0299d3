#pragma once

#include "fleet/evacuations.h"

#include <nlohmann/json.hpp>

namespace Kumquatpick {

// Evacuated zones as a part of the messages between nodes.
nlohmann::json encodeEvacuations(const EvacuationReport&);
// Throws json::exception if the value is no such part.
EvacuationReport decodeEvacuations(const nlohmann::json&);

} // namespace Kumquatpick
