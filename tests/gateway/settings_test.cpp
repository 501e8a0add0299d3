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

TEST(GatewaySettings, TakesTheShareOfACoreThatThePlatformNames)
{
    EXPECT_DOUBLE_EQ(withCpuShare("0.12").cpuShareOrUsual(), 0.12);
    EXPECT_TRUE(withCpuShare("0.12").isCpuShareReadable());
    EXPECT_DOUBLE_EQ(withCpuShare("4").cpuShareOrUsual(), 4);
}

// A node serves callers whatever the platform says of it; only duties go by the share.
TEST(GatewaySettings, TakesAUsualShareForNoneAndForNonsense)
{
    EXPECT_DOUBLE_EQ(withCpuShare("").cpuShareOrUsual(), 0.25);
    EXPECT_TRUE(withCpuShare("").isCpuShareReadable()) << "not set";
    for (const char* nonsense : { "much", "-1", "0", "nan", "inf", "1e9", "0.5 cores", "{{limits.cpuQuota}}" }) {
        EXPECT_DOUBLE_EQ(withCpuShare(nonsense).cpuShareOrUsual(), 0.25) << nonsense;
        EXPECT_FALSE(withCpuShare(nonsense).isCpuShareReadable()) << nonsense;
    }
}

} // namespace Kumquatpick
