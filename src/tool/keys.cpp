#include "tool/commands.h"
#include "tool/jsonanswer.h"
#include "tool/mintkeys.h"
#include "tool/nodesettings.h"

#include <nlohmann/json.hpp>
#include <ostream>

namespace Kumquatpick {

ExitCode runKeys(Arguments arguments, const ToolContext& context)
{
    constexpr uint64_t mostKeys = 1000;
    NodeSettings common;
    std::string service;
    uint64_t count = 1;
    SettingsParser parser({ "kumquatpick keys", "fetches fresh keys for non-repeatable requests", {},
                              "Exit codes: 0 printed, 1 refused (no slot can give a key now), 2 usage,\n"
                              "5 no node could be reached." },
        { common.group(),
            { "Keys",
                {
                    { .flag = "service",
                        .into = &service,
                        .help = "The service to call.",
                        .required = true,
                        .flagOnly = true },
                    { .flag = "count",
                        .into = &count,
                        .help = "How many keys.",
                        .unit = "keys",
                        .lowest = 1,
                        .highest = mostKeys,
                        .flagOnly = true },
                } } });
    if (auto exit = takeArguments(parser, arguments, context))
        return *exit;
    auto settled = settle([&] { return mintKeys(NodeClient(common.nodes), service, count); });
    if (const auto* error = std::get_if<Error>(&settled))
        return reportCallError("keys", *error, context);
    const MintedKeys& minted = std::get<MintedKeys>(settled);
    if (common.json)
        context.out << dumpJson({ { "keys", minted.keys }, { "issued_ms", minted.issuedMs } }) << "\n";
    else
        for (const std::string& key : minted.keys)
            context.out << key << "\n";
    return ExitCode::Ok;
}

} // namespace Kumquatpick
