#include "standin/roles.h"

#include "base/random.h"
#include "standin/check.h"
#include "standin/load.h"

#include <cstdio>
#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>

namespace Kumquatpick {

namespace {

    Setting percentFlag(std::string_view flag, uint64_t& into, std::string_view help)
    {
        return { .flag = flag, .into = &into, .help = help, .unit = "percent", .highest = 100 };
    }

    struct LoadLists {
        std::string models;
        std::string plains;
        std::string teams = "team-1";
    };

    std::vector<Setting> loadFlags(LoadSettings& load, LoadLists& lists)
    {
        return {
            { .flag = "node", .into = &load.nodes, .help = "Nodes to ask for entries." },
            { .flag = "direct", .into = &load.direct, .help = "A backend server to call in place of nodes." },
            { .flag = "zone", .into = &load.zone, .help = "Availability zone of the callers." },
            { .flag = "models", .into = &lists.models, .help = "Model services, separated by commas." },
            { .flag = "plains", .into = &lists.plains, .help = "Plain services, separated by commas." },
            { .flag = "teams", .into = &lists.teams, .help = "Teams, separated by commas." },
            { .flag = "callers", .into = &load.callers, .help = "Requests at once.", .lowest = 1, .highest = 10'000 },
            { .flag = "requests", .into = &load.requests, .help = "How many in all." },
            { .flag = "per-second", .into = &load.perSecond, .help = "How many a second; 0: as answers come." },
            { .flag = "seed", .into = &load.seed, .help = "The same seed sends the same requests." },
            percentFlag("repeatable-percent", load.repeatablePercent, "Share of repeatable requests."),
            percentFlag("stream-percent", load.streamPercent, "Share of streams among model requests."),
            percentFlag("plain-percent", load.plainPercent, "Share of calls to plain services."),
            percentFlag("duplicate-percent", load.duplicatePercent, "Share sent to two nodes at the same time."),
            percentFlag("minted-percent", load.mintedPercent, "Share of keys made by a node."),
            { .flag = "prompt-bytes", .into = &load.promptBytes, .help = "Length of a prompt.", .unit = "bytes" },
            { .flag = "shared-prompts", .into = &load.sharedPrompts, .help = "Different beginnings of prompts." },
            { .flag = "tokens", .into = &load.tokens, .help = "Most tokens of an answer.", .lowest = 1 },
            { .flag = "crash-marker", .into = &load.crashMarker, .help = "Text that crashes an engine." },
            { .flag = "crash-every",
                .into = &load.crashEvery,
                .help = "Of a caller's requests, with the text; 0: none." },
            { .flag = "deadline-ms", .into = &load.deadline, .help = "How long a caller goes on with one request." },
            { .flag = "run-name", .into = &load.runName, .help = "Begins every key; random if not set." },
            { .flag = "outcomes", .into = &load.outcomesPath, .help = "File to which outcomes are appended." },
        };
    }

    // Calls back with each line of the files; says what can't be read. A last line cut short by a kill is left out.
    template <typename Take> bool readLines(const std::vector<std::string>& files, Take&& take)
    {
        for (const std::string& file : files) {
            std::ifstream stream(file);
            if (!stream) {
                fmt::print(stderr, "can't read {}\n", file);
                return false;
            }
            for (std::string line; std::getline(stream, line);) {
                if (stream.eof())
                    break;
                take(line);
            }
        }
        return true;
    }

}

int runLoadTool(Arguments arguments)
{
    LoadSettings load;
    LoadLists lists;
    parseFlags("kumquatpick-standin load", "seeded load with checked answers", loadFlags(load, lists), arguments);
    load.models = splitList(lists.models);
    load.plains = splitList(lists.plains);
    load.teams = splitList(lists.teams);
    if (load.runName.empty()) {
        Random random = seededFromSystem();
        load.runName = randomHex128(random);
    }
    bool hasTarget = load.direct || !load.nodes.empty();
    bool hasService = !load.models.empty() || !load.plains.empty();
    if (!hasTarget || !hasService) {
        fmt::print(stderr, "--node or --direct, and --models or --plains, are required\n");
        return exitUsage;
    }
    MonotonicTime start = monotonicNow();
    LoadTotals totals = runLoad(load);
    fmt::print("{}\n", totals.summary(toSeconds(monotonicNow() - start)));
    bool failed = totals.wrongAnswers > 0 || totals.finals.contains(std::string(name(CallOutcome::Broken)));
    return failed ? exitFailed : exitOk;
}

int runCheck(Arguments arguments)
{
    std::string records;
    std::string outcomes;
    parseFlags("kumquatpick-standin check", "judge callers' outcomes by the backend servers' records",
        {
            { .flag = "records", .into = &records, .help = "Files of all backend servers, separated by commas." },
            { .flag = "outcomes", .into = &outcomes, .help = "Files of all callers, separated by commas." },
        },
        arguments);
    std::vector<RecordedStart> starts;
    std::vector<OutcomeLine> lines;
    bool complete = readLines(splitList(records), [&](const std::string& line) {
        if (RecordedStart start; RecordedStart::parse(line, start))
            starts.push_back(start);
    });
    complete = complete
        && readLines(splitList(outcomes), [&](const std::string& line) { lines.push_back(OutcomeLine::parse(line)); });
    if (!complete)
        return exitUsage;
    std::vector<Violation> violations = findViolations(starts, lines);
    for (const Violation& violation : violations) {
        nlohmann::json json
            = { { "violation", name(violation.kind) }, { "key", violation.key }, { "detail", violation.detail } };
        fmt::print("{}\n", json.dump());
    }
    nlohmann::json summary
        = { { "runs", starts.size() }, { "outcome_lines", lines.size() }, { "violations", violations.size() } };
    fmt::print("{}\n", summary.dump());
    return violations.empty() ? exitOk : exitFailed;
}

} // namespace Kumquatpick
