#include "base/settings.h"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

namespace Kumquatpick {

namespace {

    constexpr std::string_view colours[] = { "red", "green" };

    struct Values {
        std::string colour = "red";
        uint64_t threads = 8;
        Milliseconds period { 200 };
        std::optional<Address> listen;
        std::vector<Address> nodes;
        bool json = false;
        LogLevel level = LogLevel::Info;
        std::string file;
    };

    SettingsParser parserFor(Values& values)
    {
        return { { "program", "does things", { { "FILE", &values.file, "A file." } }, "Exit codes: 0." },
            {
                { "Work",
                    {
                        { .flag = "colour", .into = &values.colour, .help = "A colour.", .choices = colours },
                        { .flag = "worker-threads",
                            .into = &values.threads,
                            .help = "Threads.",
                            .unit = "threads",
                            .lowest = 1,
                            .highest = 100 },
                        { .flag = "period-ms", .into = &values.period, .help = "A period.", .highest = 1000 },
                        { .flag = "listen", .into = &values.listen, .help = "An address.", .required = true },
                    } },
                { "Output",
                    {
                        { .flag = "node", .into = &values.nodes, .help = "Nodes." },
                        { .flag = "json", .into = &values.json, .help = "JSON." },
                        { .flag = "log-level", .into = &values.level, .help = "Level." },
                    } },
            } };
    }

    std::optional<SettingsExit> parse(
        Values& values, std::vector<std::string> arguments, std::map<std::string, std::string> variables = {})
    {
        return parserFor(values).parse(arguments, [&](const std::string& variable) {
            auto found = variables.find(variable);
            return found == variables.end() ? std::nullopt : std::optional(found->second);
        });
    }

}

TEST(Settings, FlagsOverrideVariablesAndVariablesOverrideDefaults)
{
    Values values;
    auto exit = parse(values,
        { "--listen=127.0.0.1:1", "f", "--worker-threads", "9", "--node", "127.0.0.1:2", "--node=127.0.0.1:3,[::1]:4" },
        { { "KUMQUATPICK_WORKER_THREADS", "10" }, { "KUMQUATPICK_COLOUR", "green" }, { "KUMQUATPICK_JSON", "true" },
            { "KUMQUATPICK_LOG_LEVEL", "debug" }, { "KUMQUATPICK_PERIOD_MS", "" } });
    ASSERT_FALSE(exit) << exit->text;
    EXPECT_EQ(values.threads, 9U);
    EXPECT_EQ(values.colour, "green");
    EXPECT_EQ(values.period, Milliseconds(200));
    EXPECT_EQ(values.listen, (Address { "127.0.0.1", 1 }));
    EXPECT_EQ(values.nodes.size(), 3U);
    EXPECT_TRUE(values.json);
    EXPECT_EQ(values.level, LogLevel::Debug);
    EXPECT_EQ(values.file, "f");
}

TEST(Settings, ReportsEveryFaultAtOnce)
{
    Values values;
    auto exit = parse(values,
        { "--colour=blue", "--worker-threads", "0", "--worker-threads", "200", "f", "stray", "--speling", "--",
            "--json", "--period-ms" },
        { { "KUMQUATPICK_LOG_LEVEL", "loud" }, { "KUMQUATPICK_NODE", "127.0.0.1:2,localhost:3" } });
    ASSERT_TRUE(exit);
    EXPECT_EQ(exit->code, 2);
    EXPECT_EQ(exit->text,
        "program: --period-ms: a value is missing\n"
        "program: unknown argument '--'\n"
        "program: unknown argument 'stray'\n"
        "program: unknown argument '--speling'\n"
        "program: --colour: 'blue' is not one of red, green\n"
        "program: --worker-threads: given 2 times\n"
        "program: --worker-threads: '0' is not a whole number of threads from 1 to 100\n"
        "program: --worker-threads: '200' is not a whole number of threads from 1 to 100\n"
        "program: --listen or KUMQUATPICK_LISTEN: required; An address.\n"
        "program: KUMQUATPICK_NODE: '127.0.0.1:2,localhost:3' is not numeric IP:port pairs, separated by commas, such "
        "as 127.0.0.1:7100,127.0.0.1:7200\n"
        "program: KUMQUATPICK_LOG_LEVEL: 'loud' is not one of debug, info, warning, error\n"
        "See program --help.\n");
    EXPECT_TRUE(values.json);
}

TEST(Settings, HelpAndVersionTakePrecedenceOverFaults)
{
    Values values;
    auto help = parse(values, { "--colour", "blue", "-h" });
    ASSERT_TRUE(help);
    EXPECT_EQ(help->code, 0);
    for (std::string_view part : { "Usage: program [flags] FILE", "Work:\n", "--worker-threads NUMBER",
             "KUMQUATPICK_WORKER_THREADS", "default 8 threads", "default 200 ms", "required", "may be repeated",
             "one of red, green; default red", "Exit codes: 0." })
        EXPECT_NE(help->text.find(part), std::string::npos) << part << " is not in\n" << help->text;
    auto version = parse(values, { "--version" });
    ASSERT_TRUE(version);
    EXPECT_EQ(version->text, "program " KUMQUATPICK_VERSION "\n");
}

// A quoted shell variable that is unset gives an empty argument.
TEST(Settings, RejectsAnEmptyPositionalArgument)
{
    Values values;
    auto exit = parse(values, { "--listen=127.0.0.1:1", "" });
    ASSERT_TRUE(exit);
    EXPECT_NE(exit->text.find("unknown argument ''"), std::string::npos) << exit->text;
}

// Any arguments give either usable values or an exit; nothing is thrown and no stray argument is accepted.
RC_GTEST_PROP(SettingsProperty, AnyArgumentsGiveValuesOrAnExit, ())
{
    const std::vector<std::string> pieces { "", "-", "--", "-h", "-hx", "-xh", "--help", "--version", "--json",
        "--json=1", "--json=true", "--colour", "--colour=", "--colour=green", "red", "--listen=127.0.0.1:1", "--node",
        "=", "\a", "-\a", "--period-ms 7", "--ignore_rest", "--leftovers", "x" };
    const auto arguments = *rc::gen::container<std::vector<std::string>>(rc::gen::elementOf(pieces));
    Values values;
    auto exit = parse(values, arguments);
    if (exit) {
        RC_ASSERT(exit->code == 0 || exit->code == 2);
        RC_ASSERT(!exit->text.empty());
        return;
    }
    RC_ASSERT(!values.file.empty());
    RC_ASSERT(values.listen.has_value());
    for (const std::string& argument : arguments)
        RC_ASSERT(argument == "-" || !argument.starts_with('-') || argument.starts_with("--"));
}

} // namespace Kumquatpick
