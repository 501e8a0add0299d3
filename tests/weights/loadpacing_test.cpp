#include "weights/loadpacing.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <numeric>
#include <rapidcheck/gtest.h>
#include <vector>

namespace Kumquatpick {

namespace {

    struct Fleet {
        uint32_t replicas = 1;
        uint32_t hosts = 1; // Number of hosts per replica.
        double bytes = 1; // Number of bytes that each host reads.
        double storeRate = 1; // Bytes per second, shared equally by all readers.
        double hostRate = 1; // Maximum bytes per second of one host.
        double reportPeriod = 1; // Seconds between two load reports of the store.
    };

    struct Outcome {
        double meanSeconds = 0; // Mean time until a replica serves.
        double lastSeconds = 0; // Time until the last replica serves.
    };

    // Event-driven simulation: between two events all loading hosts read at the same rate. A replica serves when its
    // hosts have read all their bytes.
    Outcome simulate(const Fleet& fleet, bool paced)
    {
        std::vector<double> left(fleet.replicas, fleet.bytes);
        std::vector<double> served;
        double now = 0;
        uint32_t started = paced ? 0 : fleet.replicas;
        while (served.size() < fleet.replicas) {
            auto running = static_cast<uint32_t>(started - served.size());
            if (paced) {
                WeightStoreLoad report { static_cast<uint64_t>(fleet.storeRate), running * fleet.hosts };
                LoadPlan plan { fleet.hosts, static_cast<uint64_t>(fleet.hostRate), fleet.replicas - started, running,
                    0 };
                started += loadsToStart(report, plan);
                running = static_cast<uint32_t>(started - served.size());
            }
            double nextReport = now + fleet.reportPeriod;
            double rate = std::min(fleet.hostRate, fleet.storeRate / (running * fleet.hosts));
            while (now < nextReport && running > 0) {
                double smallest = *std::min_element(left.begin() + served.size(), left.begin() + started);
                double step = std::min(nextReport - now, smallest / rate);
                now += step;
                size_t done = 0;
                for (size_t i = served.size(); i < started; ++i) {
                    left[i] -= step * rate;
                    done += left[i] <= fleet.bytes * 1e-9 ? 1 : 0;
                }
                served.insert(served.end(), done, now);
                running -= static_cast<uint32_t>(done);
                rate = running == 0 ? 0 : std::min(fleet.hostRate, fleet.storeRate / (running * fleet.hosts));
            }
            now = std::max(now, nextReport);
        }
        return { std::accumulate(served.begin(), served.end(), 0.0) / fleet.replicas, served.back() };
    }

}

// A fault domain recovers and its twelve replicas load their weights: eight hosts per replica, 100 GB per host, 40 GB/s
// from the store, at most 5 GB/s per host, one load report per second. With all loads at once, every replica would
// serve only after 240 s.
TEST(LoadPacing, ReplicasServeSoonerOneAfterTheOther)
{
    Fleet fleet { 12, 8, 100e9, 40e9, 5e9, 1 };
    Outcome atOnce = simulate(fleet, false);
    Outcome paced = simulate(fleet, true);
    RecordProperty("mean_at_once", std::to_string(atOnce.meanSeconds));
    RecordProperty("mean_paced", std::to_string(paced.meanSeconds));
    RecordProperty("last_at_once", std::to_string(atOnce.lastSeconds));
    RecordProperty("last_paced", std::to_string(paced.lastSeconds));
    EXPECT_NEAR(atOnce.meanSeconds, 240, 1);
    EXPECT_NEAR(paced.meanSeconds, 130, 1);
    EXPECT_NEAR(paced.lastSeconds, 240, 1);
}

// Pacing must not increase the mean time until a replica serves, and may delay the last replica only by the time that
// one host reads alone and by late load reports.
RC_GTEST_PROP(LoadPacing, ServesSoonerInTheMeanAndTheLastLittleLater, ())
{
    Fleet fleet;
    fleet.replicas = *rc::gen::inRange(1U, 20U);
    fleet.hosts = *rc::gen::inRange(1U, 9U);
    fleet.bytes = 1000;
    fleet.storeRate = *rc::gen::inRange(1, 500);
    fleet.hostRate = *rc::gen::inRange(1, 500);
    fleet.reportPeriod = 0.1;
    Outcome atOnce = simulate(fleet, false);
    Outcome paced = simulate(fleet, true);
    // Each batch of loads may end just after a load report, and the next one then starts a report period later.
    double lateReports = fleet.replicas * fleet.reportPeriod;
    RC_ASSERT(paced.meanSeconds <= atOnce.meanSeconds * 1.01 + lateReports);
    // The last batch may be a single host that can't use the full rate of the store.
    double aloneSeconds = fleet.bytes / fleet.hostRate;
    RC_ASSERT(paced.lastSeconds <= atOnce.lastSeconds * 1.01 + aloneSeconds + lateReports);
}

// Starts no more loads than are waiting, and at least one if some are waiting and none is running, whatever the report
// contains.
RC_GTEST_PROP(
    LoadPacing, StartsNoMoreThanWaitAndNeverStandsStill, (uint32_t readers, uint32_t waiting, uint32_t running))
{
    LoadPlan plan { *rc::gen::inRange(0U, 9U), *rc::gen::arbitrary<uint64_t>(), waiting, running, 0 };
    uint32_t started = loadsToStart({ *rc::gen::arbitrary<uint64_t>(), readers }, plan);
    RC_ASSERT(started <= waiting);
    RC_ASSERT(running > 0 || waiting == 0 || started > 0);
}

// A load that started after the report was requested is missing from the report's reader count. If it were not counted,
// more loads would start than are needed to use the full rate of the store.
TEST(LoadPacing, CountsLoadsThatTheReportDoesNotShowYet)
{
    LoadPlan plan { 8, 5, 10, 1, 0 };
    EXPECT_EQ(loadsToStart({ 80, 8 }, plan), 1U);
    plan.startedSinceReport = 1;
    EXPECT_EQ(loadsToStart({ 80, 8 }, plan), 0U);
}

} // namespace Kumquatpick
