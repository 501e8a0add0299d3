#include "base/random.h"
#include "tool/commands.h"
#include "tool/faultlist.h"
#include "tool/jsonanswer.h"
#include "tool/nodesettings.h"
#include "tool/publication.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <ostream>

namespace Kumquatpick {

namespace {

    constexpr std::string_view closing
        = "Exit codes: 0 accepted, 1 refused (the text has faults, or another version was published first),\n"
          "2 usage or an unreadable file, 3 undecided: it may still take effect, so repeat it with the same --id\n"
          "and --based-on, 5 no node could be reached and nothing was published.";

    struct PublishSettings {
        NodeSettings common;
        std::string path;
        std::optional<uint64_t> basedOn;
        std::string id;
        std::string operatorName = "operator";
        std::chrono::seconds timeout { 30 };
    };

    bool isRecordId(std::string_view id)
    {
        return id.size() == 32 && id.find_first_not_of("0123456789abcdef") == std::string_view::npos;
    }

    SettingGroup publishGroup(PublishSettings& s)
    {
        return { "Publishing",
            {
                { .flag = "based-on",
                    .into = &s.basedOn,
                    .help = "The version that this text was made from; without it the one that the node has now.",
                    .flagOnly = true },
                { .flag = "id",
                    .into = &s.id,
                    .help = "To repeat an undecided publication; else a fresh one.",
                    .accepts = isRecordId,
                    .expected = "32 lower-case hexadecimal digits",
                    .flagOnly = true },
                { .flag = "operator", .into = &s.operatorName, .help = "Who publishes, for the record." },
                { .flag = "timeout-s",
                    .into = &s.timeout,
                    .help = "How long an undecided one is repeated.",
                    .highest = 86'400,
                    .flagOnly = true },
            } };
    }

    std::string explanation(const PublishSettings& s, const Publication& publication, const PublishResult& result)
    {
        switch (result.verdict) {
        case PublishVerdict::Accepted:
            return fmt::format("accepted as version {}\n", result.version);
        case PublishVerdict::Outdated:
            return fmt::format("refused: it is based on version {}, but version {} was published first. Nothing "
                               "changed. Compare with what is in force now (GET /v1/config) and publish again.\n",
                publication.basedOn, result.version);
        case PublishVerdict::Invalid:
            return "refused: the text has faults\n" + describeFaults(s.path, result.faults);
        case PublishVerdict::Undecided:
            return fmt::format("undecided after {} s ({}): it may still take effect. Repeat with --id {} "
                               "--based-on {}\n",
                s.timeout.count(), result.problem, publication.id, publication.basedOn);
        case PublishVerdict::NotSent:
            break;
        }
        return fmt::format("not published: {}\n", result.problem);
    }

    ExitCode exitCode(PublishVerdict verdict)
    {
        switch (verdict) {
        case PublishVerdict::Accepted:
            return ExitCode::Ok;
        case PublishVerdict::Outdated:
        case PublishVerdict::Invalid:
            return ExitCode::Refused;
        case PublishVerdict::Undecided:
            return ExitCode::Undecided;
        case PublishVerdict::NotSent:
            break;
        }
        return ExitCode::Unreachable;
    }

    ExitCode report(const PublishSettings& s, const Publication& publication, const PublishResult& result,
        const ToolContext& context)
    {
        if (s.common.json) {
            nlohmann::json printed = faultsToJson(result.faults);
            printed.update({ { "verdict", name(result.verdict) }, { "version", result.version },
                { "id", publication.id }, { "based_on", publication.basedOn } });
            context.out << dumpJson(printed) << "\n";
        }
        bool accepted = result.verdict == PublishVerdict::Accepted;
        if (!accepted || !s.common.json)
            (accepted ? context.out : context.err) << s.path << ": " << explanation(s, publication, result);
        return exitCode(result.verdict);
    }

    std::string freshId()
    {
        Random random = seededFromSystem();
        return randomHex128(random);
    }

}

ExitCode runPublish(Arguments arguments, const ToolContext& context)
{
    PublishSettings settings;
    SettingsParser parser({ "kumquatpick publish", "publishes a new version of the operators' text",
                              { { "FILE", &settings.path, "The text; - reads standard input." } }, closing },
        { settings.common.group(), publishGroup(settings) });
    if (auto exit = takeArguments(parser, arguments, context))
        return *exit;
    if (!settings.id.empty() && !settings.basedOn)
        return usageFault(parser, "--id: needs the --based-on of the publication that it repeats", context);
    std::optional<std::string> text = readInput(settings.path, context);
    if (!text)
        return ExitCode::Usage;
    Publication publication { settings.id.empty() ? freshId() : settings.id, settings.basedOn.value_or(0),
        std::move(*text), settings.operatorName };
    // Faults are found here first, so that a mistake costs no append.
    auto parsed = parseOperatorConfig(publication.text);
    if (auto* faults = std::get_if<1>(&parsed))
        return report(settings, publication, { PublishVerdict::Invalid, 0, std::move(*faults), {} }, context);
    NodeClient client(settings.common.nodes);
    if (!settings.basedOn) {
        auto version = settle([&] { return currentVersion(client); });
        if (const auto* error = std::get_if<Error>(&version))
            return reportCallError("publish", *error, context);
        publication.basedOn = std::get<uint64_t>(version);
    }
    return report(settings, publication, publishUntilDecided(client, publication, settings.timeout), context);
}

} // namespace Kumquatpick
