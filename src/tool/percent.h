#pragma once

#include <string>
#include <string_view>

namespace Kumquatpick {

// One part of a path or query: all but letters, digits and -._~ is percent-encoded.
std::string percentEncoded(std::string_view);
// A whole path with its query: only blanks, control characters and bytes beyond ASCII are percent-encoded.
std::string percentEncodedTarget(std::string_view);

} // namespace Kumquatpick
