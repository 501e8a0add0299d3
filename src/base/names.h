#pragma once

#include <string_view>

namespace Kumquatpick {

// Whether text of another process may be used as a name: in log lines, as a part of ids and as the value of a header.
// A name is not empty, has at most 255 bytes, is UTF-8 and has no control characters, which would end a header.
bool isName(std::string_view);

} // namespace Kumquatpick
