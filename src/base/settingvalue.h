#pragma once

#include <string>
#include <string_view>

namespace Kumquatpick {

struct Setting;

// Reads a text into the setting's target; false if it is invalid. A list may keep elements before the invalid one.
bool readSettingValue(const Setting&, std::string_view text);

// Describes a valid value, to be printed after "is not".
std::string expectedValue(const Setting&);
// The target's current value with its unit; empty if there is no default to show.
std::string defaultText(const Setting&);
// The value's placeholder in the usage line; empty for a switch.
std::string_view valuePlaceholder(const Setting&);

} // namespace Kumquatpick
