#pragma once

#include "fleet/servicemodel.h"

#include <nlohmann/json_fwd.hpp>

namespace Kumquatpick {

class DocumentReader;

// The unmet demand that a node knows of, as an optional field of a message between nodes. Nodes that know of none send
// no field. A field of earlier versions named models without their services; it is ignored.
void encodeUnmetDemand(nlohmann::json& document, const UnmetDemand&);
UnmetDemand decodeUnmetDemand(const DocumentReader& document);

} // namespace Kumquatpick
