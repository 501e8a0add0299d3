#include "gateway/settings.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Kumquatpick {

namespace {

    GatewaySettings withCpuShare(std::string text)
    {
        GatewaySettings settings;
        settings.cpuShare = std::move(text);
        return settings;
    }

    std::variant<GatewaySettings, SettingsExit> parseWith(const std::string& flag, const std::string& value)
    {
        std::vector<std::string> flags { "--name", "node-1", "--zone", "z1", "--caller-listen", "127.0.0.1:1",
            "--readiness-listen", "127.0.0.1:2", "--entries-listen", "127.0.0.1:3", "--peer-listen", "127.0.0.1:4",
            "--store", "127.0.0.1:5", "--" + flag, value };
        return parseGatewaySettings(flags, [](const std::string&) { return std::optional<std::string>(); });
    }

    GatewaySettings accepted(const std::string& flag, const std::string& value)
    {
        auto read = parseWith(flag, value);
        auto* exit = std::get_if<SettingsExit>(&read);
        EXPECT_FALSE(exit) << exit->text;
        return exit ? GatewaySettings() : std::get<GatewaySettings>(read);
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
    auto read = parseWith("config-within-ms", "3000");
    ASSERT_TRUE(std::holds_alternative<GatewaySettings>(read)) << std::get<SettingsExit>(read).text;
    EXPECT_EQ(std::get<GatewaySettings>(read).configWithin, Milliseconds(3000));
    auto refused = parseWith("config-within-ms", "99");
    ASSERT_TRUE(std::holds_alternative<SettingsExit>(refused));
    EXPECT_NE(std::get<SettingsExit>(refused).text.find("config-within-ms"), std::string::npos);
}

// A platform that scales its limits by the size of a deployment names fractions. Nodes that took only whole numbers
// did not start there.
TEST(GatewaySettings, RoundsFractionsToTheSideOnWhichTheLimitHolds)
{
    EXPECT_EQ(accepted("retry-allowance", "35.36842105263158").retryAllowance, 35u);
    EXPECT_EQ(accepted("retry-allowance", "0.4").retryAllowance, 0u);
    EXPECT_EQ(accepted("retry-window-s", "9.5").retryWindow, std::chrono::seconds(10));
    EXPECT_EQ(accepted("stop-grace-s", "8.5").stopGrace, Milliseconds(8500));
    EXPECT_EQ(accepted("stop-grace-s", "0.25").stopGrace, Milliseconds(250));
    EXPECT_EQ(accepted("stop-grace-s", "8").stopGrace, Milliseconds(8000));
    EXPECT_EQ(accepted("config-within-ms", "2000.9").configWithin, Milliseconds(2000));
    EXPECT_EQ(accepted("leave-within-ms", "1333.3").leaveWithin, Milliseconds(1333));
    EXPECT_EQ(accepted("evacuate-within-ms", "5000.5").evacuateWithin, Milliseconds(5000));
    EXPECT_EQ(accepted("warmup-allowance", "5.9").warmupBound().allowance, 5);
    EXPECT_DOUBLE_EQ(accepted("warmup-overrun", "1.25").warmupBound().overrun, 1.25);
    EXPECT_EQ(accepted("heartbeat-ms", "1200.1").heartbeat, Milliseconds(1201));
    EXPECT_DOUBLE_EQ(accepted("retry-ratio", "1.5").retryLimits().ratio, 1.5);
}

TEST(GatewaySettings, NamesTheSettingAndWhatItAllows)
{
    const std::pair<const char*, const char*> expected[] {
        { "retry-allowance", "a number of requests, at least 0" },
        { "stop-grace-s", "a number of seconds, at least 0" },
        { "heartbeat-ms", "a number of milliseconds, at least 1" },
        { "config-within-ms", "a number of milliseconds, at least 100" },
        { "evacuate-within-ms", "a number of milliseconds, at least 100" },
        { "retry-ratio", "a number, at least 0" },
    };
    for (const auto& [flag, allowed] : expected) {
        for (const char* invalid : { "-1", "nan", "inf", "many", "1e400", "8.5000s", "" }) {
            auto read = parseWith(flag, invalid);
            ASSERT_TRUE(std::holds_alternative<SettingsExit>(read)) << flag << ' ' << invalid;
            const std::string& text = std::get<SettingsExit>(read).text;
            EXPECT_NE(text.find(flag), std::string::npos) << text;
            EXPECT_NE(text.find(allowed), std::string::npos) << text;
        }
    }
}

// Whatever whole number or fraction the platform gives for one of its limits, the process starts.
RC_GTEST_PROP(GatewaySettingsProperty, StartsWithAnyProperLimit, ())
{
    std::string flag = *rc::gen::element<std::string>("retry-allowance", "retry-window-s", "stop-grace-s",
        "config-within-ms", "leave-within-ms", "evacuate-within-ms", "heartbeat-ms");
    int whole = *rc::gen::inRange(100, 1'000'000);
    int digits = *rc::gen::inRange(0, 1'000'000);
    std::string value = fmt::format("{}.{}", whole, digits);
    RC_ASSERT(std::holds_alternative<GatewaySettings>(parseWith(flag, value)));
}

// What clients of all addresses may hold together leaves memory for the node itself, and a descriptor for each call to
// a backend server.
TEST(GatewaySettings, DividesTheHostAmongItsListeners)
{
    constexpr uint64_t megabyte = 1'000'000;
    for (uint64_t memoryMb : { 160, 260, 1024 }) {
        GatewaySettings settings = accepted("memory-mb", std::to_string(memoryMb));
        settings.maxDescriptors = 4200;
        auto callers = settings.callerBudget();
        auto peers = settings.peerBudget();
        auto queries = settings.queryBudget();
        EXPECT_EQ(callers.bytes, memoryMb * megabyte * 3 / 8);
        EXPECT_LE(callers.bytes + peers.bytes + 2 * queries.bytes, memoryMb * megabyte * 5 / 8);
        EXPECT_LE(2 * callers.connections + peers.connections + 2 * queries.connections + 256, 4200u);
    }
}

TEST(GatewaySettings, TakesClientLimitsAsSet)
{
    EXPECT_EQ(accepted("caller-memory-mb", "20").callerBudget().bytes, 20'000'000u);
    EXPECT_EQ(accepted("caller-connections", "30").callerBudget().connections, 30u);
    EXPECT_EQ(accepted("memory-mb", "160.9").memoryMb, 160u);
    EXPECT_GT(GatewaySettings().callerBudget().bytes, 0u) << "of what this host has";
    EXPECT_TRUE(std::holds_alternative<SettingsExit>(parseWith("body-bytes-per-s", "0")));
}

} // namespace Kumquatpick
