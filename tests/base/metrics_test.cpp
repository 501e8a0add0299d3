#include "base/metrics.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <vector>

namespace Kumquatpick {

using namespace std::chrono_literals;

TEST(Metrics, PrintsCountersAndGaugesUnderTheirFamily)
{
    Metrics metrics;
    metrics.count("requests_total{outcome=\"answered\"}", 2);
    metrics.count("requests_total{outcome=\"not-run\"}");
    metrics.set("streams", 7.5);
    EXPECT_EQ(metrics.prometheusText(),
        "# TYPE kumquatpick_requests_total counter\n"
        "kumquatpick_requests_total{outcome=\"answered\"} 2\n"
        "kumquatpick_requests_total{outcome=\"not-run\"} 1\n"
        "# TYPE kumquatpick_streams gauge\n"
        "kumquatpick_streams 7.5\n");
}

TEST(Metrics, HistogramIsCumulativeAndCountsValuesOutsideItsEdges)
{
    Metrics metrics;
    metrics.observe("wait_seconds{team=\"a\"}", 1us);
    metrics.observe("wait_seconds{team=\"a\"}", 50ms);
    metrics.observe("wait_seconds{team=\"a\"}", 1000s);
    std::string text = metrics.prometheusText();
    EXPECT_NE(text.find("# TYPE kumquatpick_wait_seconds histogram\n"), std::string::npos);
    EXPECT_NE(text.find("_bucket{team=\"a\",le=\"0.000158489\"} 1\n"), std::string::npos) << text;
    EXPECT_NE(text.find("_bucket{team=\"a\",le=\"100\"} 2\n"), std::string::npos) << text;
    EXPECT_NE(text.find("_bucket{team=\"a\",le=\"+Inf\"} 3\n"), std::string::npos) << text;
    EXPECT_NE(text.find("_sum{team=\"a\"} 1000.05"), std::string::npos) << text;
    EXPECT_NE(text.find("_count{team=\"a\"} 3\n"), std::string::npos) << text;
}

RC_GTEST_PROP(Metrics, QuantileIsWithinOneBucketOfTheExactValue, ())
{
    auto micros = *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(100, 90'000'000)));
    Metrics metrics;
    for (int value : micros)
        metrics.observe("x", std::chrono::microseconds(value));
    std::sort(micros.begin(), micros.end());
    double median = micros[(micros.size() - 1) / 2] / 1e6;
    constexpr double bucketRatio = 1.5849; // 10^(1/5)
    double measured = metrics.quantile("x", 0.5);
    RC_ASSERT(measured <= median * bucketRatio);
    RC_ASSERT(measured * bucketRatio >= median);
    RC_ASSERT(metrics.quantile("unknown", 0.5) == 0);
}

} // namespace Kumquatpick
