#pragma once

#include "operator/config.h"

#include <nlohmann/json_fwd.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

// One line a fault, then how many there are.
std::string describeFaults(std::string_view file, std::span<const ConfigFault>);

// {"faults":[{"line":..,"column":..,"key":"..","expected":".."}]}, as nodes answer too.
nlohmann::json faultsToJson(std::span<const ConfigFault>);
std::vector<ConfigFault> faultsFromJson(const nlohmann::json&);

} // namespace Kumquatpick
