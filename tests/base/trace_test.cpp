#include "base/trace.h"

#include <cstdio>
#include <fstream>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>
#include <unistd.h>

namespace Kumquatpick {

RC_GTEST_PROP(Trace, HeaderRoundTripsAndChildKeepsTheTraceId, (uint64_t seed))
{
    Random random(seed);
    TraceContext context = TraceContext::fresh(random);
    context.sampled = seed % 2 == 0;
    auto parsed = TraceContext::parse(context.header());
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(parsed->traceId == context.traceId && parsed->spanId == context.spanId);
    RC_ASSERT(parsed->sampled == context.sampled);
    TraceContext child = context.child(random);
    RC_ASSERT(child.traceId == context.traceId && child.spanId != context.spanId);
}

TEST(Trace, RejectsInvalidHeaders)
{
    const std::string good = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    ASSERT_TRUE(TraceContext::parse(good));
    EXPECT_TRUE(TraceContext::parse("01" + good.substr(2) + "-more"));
    const std::vector<std::string> refused = { std::string(), good + "-more", "ff" + good.substr(2), good.substr(0, 54),
        "00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
        "00-00000000000000000000000000000000-b7ad6b7169203331-01",
        "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01" };
    for (const std::string& bad : refused)
        EXPECT_FALSE(TraceContext::parse(bad)) << bad;
}

TEST(Trace, WritesOneExportRequestPerLine)
{
    std::string path = testing::TempDir() + "kumquatpick_trace_" + std::to_string(::getpid());
    Random random(1);
    TraceContext context = TraceContext::fresh(random);
    {
        TraceExporter exporter(path, "kumquatpickd");
        WallTime start { Milliseconds(1000) };
        exporter.write({ context, "b7ad6b7169203331", "dispatch", "10.0.0.1:7", start, start + Milliseconds(5), true });
        exporter.write({ context, "", "accept", "", start, start, false });
        context.sampled = false;
        exporter.write({ context, "", "unsampled", "", start, start, false });
    }
    std::ifstream file(path);
    std::vector<nlohmann::json> spans;
    for (std::string line; std::getline(file, line);)
        spans.push_back(nlohmann::json::parse(line)["resourceSpans"][0]["scopeSpans"][0]["spans"][0]);
    std::remove(path.c_str());
    ASSERT_EQ(spans.size(), 2U);
    EXPECT_EQ(spans[0]["traceId"], context.traceId);
    EXPECT_EQ(spans[0]["parentSpanId"], "b7ad6b7169203331");
    EXPECT_EQ(spans[0]["startTimeUnixNano"], "1000000000");
    EXPECT_EQ(spans[0]["endTimeUnixNano"], "1005000000");
    EXPECT_EQ(spans[0]["status"]["code"], 2);
    EXPECT_EQ(spans[1]["name"], "accept");
    EXPECT_FALSE(spans[1].contains("parentSpanId"));
    EXPECT_FALSE(spans[1].contains("status"));
}

TEST(Trace, EmptyPathSwitchesExportOff)
{
    TraceExporter exporter("", "kumquatpickd");
    Random random(1);
    exporter.write({ TraceContext::fresh(random), "", "accept", "", {}, {}, false });
}

} // namespace Kumquatpick
