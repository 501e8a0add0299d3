#include "tool/benchfamilies.h"
#include "tool/commands.h"
#include "tool/jsonanswer.h"
#include "tool/nodesettings.h"

#include <nlohmann/json.hpp>
#include <ostream>

namespace Kumquatpick {

namespace {

    constexpr std::string_view allFamilies = "all";

    std::vector<std::string_view> familyNames()
    {
        std::vector<std::string_view> names { allFamilies };
        for (const BenchFamily& family : benchFamilies())
            names.push_back(family.name);
        return names;
    }

    std::string closing()
    {
        std::string text = "Families:\n";
        for (const BenchFamily& family : benchFamilies())
            text.append("  ").append(family.name).append(": ").append(family.summary).append("\n");
        return text
            + "No node is needed. The same seed gives the same figures, but for --timings. Exit codes: 0 measured, 2 "
              "usage.";
    }

}

ExitCode runBench(Arguments arguments, const ToolContext& context)
{
    BenchOptions options;
    bool timings = false;
    std::string chosen(allFamilies);
    bool json = false;
    std::vector<std::string_view> names = familyNames();
    std::string lastParagraph = closing();
    SettingsParser parser({ "kumquatpick bench", "measures the decisions against their baselines", {}, lastParagraph },
        { { "Bench",
            {
                { .flag = "family", .into = &chosen, .help = "What to measure.", .choices = names, .flagOnly = true },
                { .flag = "seed", .into = &options.seed, .help = "Of the load and the faults.", .flagOnly = true },
                { .flag = "large",
                    .into = &options.large,
                    .help = "At the sizes of the target too, for minutes.",
                    .flagOnly = true },
                { .flag = "timings",
                    .into = &timings,
                    .help = "Times of this machine, in place of the families.",
                    .flagOnly = true },
                jsonSetting(json),
            } } });
    if (auto exit = takeArguments(parser, arguments, context))
        return *exit;
    std::vector<BenchTable> tables;
    for (const BenchFamily& family : benchFamilies()) {
        if (timings || (chosen != allFamilies && chosen != family.name))
            continue;
        std::vector<BenchTable> measured = family.run(options);
        tables.insert(tables.end(), measured.begin(), measured.end());
    }
    if (timings)
        tables = benchTimings(options);
    context.out << (json ? dumpJson(benchToJson(tables)) + "\n" : formatBench(tables));
    return ExitCode::Ok;
}

} // namespace Kumquatpick
