#include "tool/jsonanswer.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <ostream>

namespace Kumquatpick {

std::string dumpJson(const nlohmann::json& json, int indent)
{
    return json.dump(indent, ' ', false, nlohmann::json::error_handler_t::replace);
}

Result<nlohmann::json> jsonBody(const NodeAnswer& answer)
{
    nlohmann::json json = nlohmann::json::parse(answer.body, nullptr, false);
    if (!json.is_object())
        return fail(Error { ErrorCode::Malformed, Step::Parse, answer.node.toString(),
            fmt::format("status {} without a JSON object", answer.status) });
    return json;
}

Result<nlohmann::json> callForJson(const NodeClient& client, const NodeRequest& request)
{
    BOOST_LEAF_AUTO(answer, client.call(request));
    if (answer.status != 200)
        return fail(Error { ErrorCode::Refused, Step::Answer, answer.node.toString(),
            fmt::format("status {}: {}", answer.status, answer.body) });
    return jsonBody(answer);
}

ExitCode reportCallError(std::string_view command, const Error& error, const ToolContext& context)
{
    context.err << fmt::format("kumquatpick {}: {}\n", command, describe(error));
    return error.code == ErrorCode::Refused ? ExitCode::Refused : ExitCode::Unreachable;
}

} // namespace Kumquatpick
