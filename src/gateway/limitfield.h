#pragma once

#include <nlohmann/json.hpp>
#include <optional>

namespace Kumquatpick {

// The rate limit of a server as a log field; null if it has none.
inline nlohmann::json limitOrNull(std::optional<double> perSecond)
{
    return perSecond ? nlohmann::json(*perSecond) : nlohmann::json();
}

} // namespace Kumquatpick
