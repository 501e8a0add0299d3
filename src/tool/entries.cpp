#include "tool/commands.h"
#include "tool/jsonanswer.h"
#include "tool/nodesettings.h"
#include "tool/percent.h"
#include "tool/table.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <ostream>

namespace Kumquatpick {

namespace {

    // Fails with Malformed.
    Result<std::string> describeEntries(const nlohmann::json& json)
    {
        try {
            std::vector<TableRow> rows;
            for (const nlohmann::json& entry : json.at("entries"))
                rows.push_back(
                    { entry.at("address"), entry.at("zone"), fmt::format("{:.2f}", entry.at("weight").get<double>()) });
            return formatTable({ "ADDRESS", "ZONE", "WEIGHT" }, rows)
                + fmt::format("keep for {} ms\n", json.at("ttl_ms").get<uint64_t>());
        } catch (const nlohmann::json::exception& error) {
            return fail(Error { ErrorCode::Malformed, Step::Parse, {}, error.what() });
        }
    }

}

ExitCode runEntries(Arguments arguments, const ToolContext& context)
{
    NodeSettings common;
    std::string zone;
    std::string caller = "kumquatpick";
    SettingsParser parser({ "kumquatpick entries", "shows which nodes callers are told to call", {},
                              "Exit codes: 0 shown, 1 refused, 2 usage, 5 no node could be reached." },
        { common.group(),
            { "Caller",
                {
                    { .flag = "zone", .into = &zone, .help = "The caller's zone; nodes there come first." },
                    { .flag = "caller", .into = &caller, .help = "The caller's name; callers are spread by it." },
                } } });
    if (auto exit = takeArguments(parser, arguments, context))
        return *exit;
    NodeRequest request { .path
        = fmt::format("/v1/entries?zone={}&caller={}", percentEncoded(zone), percentEncoded(caller)) };
    auto settled = settle([&]() -> Result<std::string> {
        BOOST_LEAF_AUTO(json, callForJson(NodeClient(common.nodes), request));
        return common.json ? Result<std::string>(dumpJson(json) + "\n") : describeEntries(json);
    });
    if (const auto* error = std::get_if<Error>(&settled))
        return reportCallError("entries", *error, context);
    context.out << std::get<std::string>(settled);
    return ExitCode::Ok;
}

} // namespace Kumquatpick
