#include "operator/daemonsettings.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <iterator>

namespace Kumquatpick {

namespace {

    std::optional<std::string> emptyEnvironment(const std::string&) { return std::nullopt; }

    const std::vector<std::string> requiredArguments { "--name=n1", "--zone=howrah", "--caller-listen=127.0.0.1:7100",
        "--peer-listen=127.0.0.1:7101", "--log-service=127.0.0.1:1", "--membership=127.0.0.1:2",
        "--weight-store=127.0.0.1:3" };

    std::variant<DaemonSettings, SettingsExit> parseWith(std::vector<std::string> more)
    {
        more.insert(more.begin(), requiredArguments.begin(), requiredArguments.end());
        return parseDaemonSettings(more, emptyEnvironment);
    }

    std::string readPage(std::string_view name)
    {
        std::ifstream file(std::filesystem::path(__FILE__).parent_path() / "../../docs" / name);
        return { std::istreambuf_iterator<char>(file), {} };
    }

}

TEST(DaemonSettings, AdvertisesTheListenAddressByDefault)
{
    auto withDefaults = parseWith({});
    ASSERT_EQ(withDefaults.index(), 0U) << std::get<1>(withDefaults).text;
    EXPECT_EQ(std::get<0>(withDefaults).callerAdvertised.toString(), "127.0.0.1:7100");
    EXPECT_EQ(std::get<0>(withDefaults).lease, Milliseconds(10'000));
    auto withPeerAdvertised = parseWith({ "--peer-advertised=10.0.0.1:9" });
    EXPECT_EQ(std::get<0>(withPeerAdvertised).peerAdvertised.toString(), "10.0.0.1:9");
}

TEST(DaemonSettings, RejectsInconsistentSettings)
{
    auto parsed = parseWith({ "--probe-lifetime-ms=300", "--answer-retention-s=4000", "--peer-advertised=[::]:7" });
    ASSERT_EQ(parsed.index(), 1U);
    const SettingsExit& exit = std::get<1>(parsed);
    EXPECT_EQ(exit.code, 2);
    EXPECT_EQ(std::ranges::count(exit.text, '\n'), 4) << exit.text;
    auto missing = parseDaemonSettings({}, emptyEnvironment);
    EXPECT_EQ(std::ranges::count(std::get<1>(missing).text, '\n'), 8) << std::get<1>(missing).text;
}

TEST(DaemonSettings, EachIsInTheHelpAndInTheDocumentation)
{
    std::string page = readPage("CONFIGURATION.md");
    DaemonSettingsHelp help = daemonSettingsHelp();
    ASSERT_FALSE(page.empty());
    ASSERT_GE(help.flags.size(), 28U);
    for (size_t i = 0; i < help.flags.size(); ++i) {
        EXPECT_NE(help.text.find(help.flags[i] + " "), std::string::npos) << help.flags[i];
        EXPECT_NE(page.find("`" + help.flags[i] + "`"), std::string::npos) << help.flags[i];
        EXPECT_NE(page.find("`" + help.variables[i] + "`"), std::string::npos) << help.variables[i];
    }
}

} // namespace Kumquatpick
