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

    constexpr int statusNotFound = 404;
    constexpr std::string_view closing = "Every node named is asked, as each one knows only its own steps.\n"
                                         "Exit codes: 0 shown, 1 no node knows the request (any more), 2 usage,\n"
                                         "5 no node could be reached.";

    std::string textOf(const nlohmann::json& value)
    {
        if (value.is_string())
            return value.get<std::string>();
        return value.is_number_float() ? fmt::format("{:.1f}", value.get<double>()) : dumpJson(value, compactJson);
    }

    std::string describeTrail(const nlohmann::json& trail)
    {
        std::string text;
        for (const auto& [key, value] : trail.items())
            if (key != "steps")
                text += fmt::format("{}: {}\n", key, textOf(value));
        std::vector<TableRow> rows;
        for (const nlohmann::json& step : trail.value("steps", nlohmann::json::array())) {
            auto cell = [&](const char* key) { return step.contains(key) ? textOf(step[key]) : std::string(); };
            bool failed = cell("failed") == "true";
            rows.push_back(
                { cell("at_ms"), cell("took_ms"), cell("step"), cell("peer"), failed ? "failed" : "", cell("detail") });
        }
        return text + formatTable({ "AT MS", "TOOK MS", "STEP", "PEER", "", "DETAIL" }, rows);
    }

    struct Findings {
        nlohmann::json trails = nlohmann::json::array(); // Each with its node.
        bool anyReached = false;
        Error lastError;
    };

    Findings askAll(const NodeClient& client, const std::string& requestId)
    {
        Findings findings;
        NodeRequest request { .path = "/v1/explain/" + percentEncoded(requestId) };
        for (const Address& node : client.nodes()) {
            auto settled = settle([&]() -> Result<nlohmann::json> {
                BOOST_LEAF_AUTO(answer, client.callOne(node, request));
                return answer.status == statusNotFound ? Result<nlohmann::json>(nlohmann::json()) : jsonBody(answer);
            });
            if (const auto* error = std::get_if<Error>(&settled)) {
                findings.lastError = *error;
                continue;
            }
            findings.anyReached = true;
            nlohmann::json& trail = std::get<nlohmann::json>(settled);
            if (trail.is_null())
                continue;
            trail["node"] = node.toString();
            findings.trails.push_back(std::move(trail));
        }
        return findings;
    }

}

ExitCode runExplain(Arguments arguments, const ToolContext& context)
{
    NodeSettings common;
    std::string requestId;
    SettingsParser parser({ "kumquatpick explain", "shows the steps that a request took",
                              { { "REQUEST-ID", &requestId, "The request_id of an answer or refusal." } }, closing },
        { common.group() });
    if (auto exit = takeArguments(parser, arguments, context))
        return *exit;
    Findings findings = askAll(NodeClient(common.nodes), requestId);
    if (!findings.anyReached)
        return reportCallError("explain", findings.lastError, context);
    if (common.json)
        context.out << dumpJson(findings.trails) << "\n";
    else if (findings.trails.empty())
        context.err << fmt::format("kumquatpick explain: no node named knows {}\n", requestId);
    else
        for (const nlohmann::json& trail : findings.trails)
            context.out << describeTrail(trail) << "\n";
    return findings.trails.empty() ? ExitCode::Refused : ExitCode::Ok;
}

} // namespace Kumquatpick
