#include "gateway/settings.h"

#include <gtest/gtest.h>

namespace Kumquatpick {

namespace {

    GatewaySettings withCpuShare(std::string text)
    {
        GatewaySettings settings;
        settings.cpuShare = std::move(text);
        return settings;
    }

}

TEST(GatewaySettings, UsesConfiguredCpuShare)
{
    EXPECT_DOUBLE_EQ(withCpuShare("0.12").cpuShareOrDefault(), 0.12);
    EXPECT_TRUE(withCpuShare("0.12").isCpuShareReadable());
    EXPECT_DOUBLE_EQ(withCpuShare("4").cpuShareOrDefault(), 4);
}

// A node must serve callers even with an invalid setting; only the assignment of duties depends on the share.
TEST(GatewaySettings, UsesDefaultCpuShareIfMissingOrInvalid)
{
    EXPECT_DOUBLE_EQ(withCpuShare("").cpuShareOrDefault(), 0.25);
    EXPECT_TRUE(withCpuShare("").isCpuShareReadable()) << "not set";
    for (const char* invalid : { "much", "-1", "0", "nan", "inf", "1e9", "0.5 cores", "{{limits.cpuQuota}}" }) {
        EXPECT_DOUBLE_EQ(withCpuShare(invalid).cpuShareOrDefault(), 0.25) << invalid;
        EXPECT_FALSE(withCpuShare(invalid).isCpuShareReadable()) << invalid;
    }
}

TEST(GatewaySettings, RejectsConfigWithinBelowMinimum)
{
    std::vector<std::string> flags { "--name", "node-1", "--zone", "z1", "--caller-listen", "127.0.0.1:1",
        "--readiness-listen", "127.0.0.1:2", "--entries-listen", "127.0.0.1:3", "--peer-listen", "127.0.0.1:4",
        "--store", "127.0.0.1:5", "--config-within-ms", "3000" };
    auto noVariables = [](const std::string&) -> std::optional<std::string> { return std::nullopt; };
    auto read = parseGatewaySettings(flags, noVariables);
    ASSERT_TRUE(std::holds_alternative<GatewaySettings>(read)) << std::get<SettingsExit>(read).text;
    EXPECT_EQ(std::get<GatewaySettings>(read).configWithin, Milliseconds(3000));
    flags.back() = "99";
    auto refused = parseGatewaySettings(flags, noVariables);
    ASSERT_TRUE(std::holds_alternative<SettingsExit>(refused));
    EXPECT_NE(std::get<SettingsExit>(refused).text.find("config-within-ms"), std::string::npos);
}

} // namespace Kumquatpick
