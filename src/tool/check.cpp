#include "operator/config.h"
#include "tool/commands.h"
#include "tool/faultlist.h"
#include "tool/jsonanswer.h"
#include "tool/nodesettings.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <ostream>

namespace Kumquatpick {

namespace {

    std::string summary(const OperatorConfig& text)
    {
        uint64_t replicas = 0;
        uint64_t hosts = 0;
        for (const ServiceConfig& service : text.services) {
            replicas += service.replicas;
            hosts += uint64_t(service.replicas) * service.hostsPerReplica;
        }
        return fmt::format("no faults; {} zones, {} services, {} replicas on {} hosts, {} teams", text.zones.size(),
            text.services.size(), replicas, hosts, text.teams.size());
    }

}

ExitCode runCheck(Arguments arguments, const ToolContext& context)
{
    std::string path;
    bool json = false;
    SettingsParser parser({ "kumquatpick check", "names every fault of an operators' text",
                              { { "FILE", &path, "The text; - reads standard input." } },
                              "Exit codes: 0 no faults, 1 faults, 2 usage or an unreadable file." },
        { { "Output", { jsonSetting(json) } } });
    if (auto exit = takeArguments(parser, arguments, context))
        return *exit;
    std::optional<std::string> text = readInput(path, context);
    if (!text)
        return ExitCode::Usage;
    auto parsed = parseOperatorConfig(*text);
    const auto* faults = std::get_if<1>(&parsed);
    if (json)
        context.out << dumpJson(faultsToJson(faults ? *faults : std::vector<ConfigFault>())) << "\n";
    else if (faults)
        context.out << describeFaults(path, *faults);
    else
        context.out << fmt::format("{}: {}\n", path, summary(std::get<0>(parsed)));
    return faults ? ExitCode::Refused : ExitCode::Ok;
}

} // namespace Kumquatpick
