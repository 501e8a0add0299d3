#pragma once

#include "base/document.h"

#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace Kumquatpick {

// Splits JSON text into the texts of its parts without decoding them, so that a part that can't be decoded does not
// cost the others. nullopt if the text is no array (or object) or has no end. Parts may be any text.
std::optional<std::vector<std::string_view>> jsonElements(std::string_view);
std::optional<std::vector<std::pair<std::string_view, std::string_view>>> jsonFields(std::string_view); // Names quoted.

// An object whose fields are decoded one by one; one that can't be decoded is null. nullopt if the text is no object.
std::optional<nlohmann::json> decodeFields(std::string_view, const DocumentLimits& ofField, Step);

} // namespace Kumquatpick
