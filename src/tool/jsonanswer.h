#pragma once

#include "base/error.h"
#include "tool/context.h"
#include "tool/nodeclient.h"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace Kumquatpick {

constexpr int compactJson = -1; // In place of an indent.

// Bytes that are no UTF-8 are replaced, as they may come from anywhere.
std::string dumpJson(const nlohmann::json&, int indent = 2);

// The body of a node's answer; fails with Malformed if it is no JSON object.
Result<nlohmann::json> jsonBody(const NodeAnswer&);

// Calls a node and reads the object that it answers with 200; fails with Refused at any other status.
Result<nlohmann::json> callForJson(const NodeClient&, const NodeRequest&);

// Prints an error of a call that promises nothing and changes nothing, and says how the command ends.
ExitCode reportCallError(std::string_view command, const Error&, const ToolContext&);

} // namespace Kumquatpick
