#pragma once

#include "caller/refusal.h"
#include <httplib.h>

#include <string_view>

namespace Kumquatpick {

// Writes a refusal to a response: status, outcome, Retry-After and the JSON body.
void writeRefusal(const Refusal&, std::string_view requestId, httplib::Response&);

} // namespace Kumquatpick
