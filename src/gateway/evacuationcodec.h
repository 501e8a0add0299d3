#pragma once

#include "fleet/evacuations.h"

#include <nlohmann/json_fwd.hpp>

namespace Kumquatpick {

class DocumentReader;

// Evacuated zones as a part of the messages between nodes.
nlohmann::json encodeEvacuations(const EvacuationReport&);
// Reports a problem if the value is no such part.
EvacuationReport decodeEvacuations(const DocumentReader&);

} // namespace Kumquatpick
