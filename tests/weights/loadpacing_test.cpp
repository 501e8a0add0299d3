#include "weights/loadpacing.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <numeric>
#include <rapidcheck/gtest.h>
#include <vector>

namespace Kumquatpick {

namespace {

    struct Scenario {
        uint32_t replicas = 1;
        uint32_t hostsPerReplica = 1;
        double bytesPerHost = 1;
        double storeBytesPerSecond = 1; // Total read rate of the store, shared equally by all readers.
        double hostBytesPerSecond = 1; // Maximum read rate of one host.
        double reportPeriodSeconds = 1; // Time between two load reports of the store.
    };

    struct ServingTimes {
        double meanSeconds = 0; // Mean time until a replica serves.
        double lastSeconds = 0; // Time until the last replica serves.
    };

    // Event-driven simulation: between two events all loading hosts read at the same rate. A replica serves when its
    // hosts have read all their bytes.
    ServingTimes simulate(const Scenario& scenario, bool paced)
    {
        std::vector<double> remainingBytes(scenario.replicas, scenario.bytesPerHost);
        std::vector<double> servedAt;
        double now = 0;
        uint32_t startedLoads = paced ? 0 : scenario.replicas;
        while (servedAt.size() < scenario.replicas) {
            auto runningLoads = static_cast<uint32_t>(startedLoads - servedAt.size());
            if (paced) {
                WeightStoreLoad report { static_cast<uint64_t>(scenario.storeBytesPerSecond),
                    runningLoads * scenario.hostsPerReplica };
                LoadingState state { scenario.hostsPerReplica, static_cast<uint64_t>(scenario.hostBytesPerSecond),
                    scenario.replicas - startedLoads, runningLoads, 0 };
                startedLoads += loadsToStart(report, state);
                runningLoads = static_cast<uint32_t>(startedLoads - servedAt.size());
            }
            double nextReport = now + scenario.reportPeriodSeconds;
            double readRate = std::min(
                scenario.hostBytesPerSecond, scenario.storeBytesPerSecond / (runningLoads * scenario.hostsPerReplica));
            while (now < nextReport && runningLoads > 0) {
                double minRemainingBytes = *std::min_element(
                    remainingBytes.begin() + servedAt.size(), remainingBytes.begin() + startedLoads);
                double stepSeconds = std::min(nextReport - now, minRemainingBytes / readRate);
                now += stepSeconds;
                size_t finished = 0;
                for (size_t i = servedAt.size(); i < startedLoads; ++i) {
                    remainingBytes[i] -= stepSeconds * readRate;
                    finished += remainingBytes[i] <= scenario.bytesPerHost * 1e-9 ? 1 : 0;
                }
                servedAt.insert(servedAt.end(), finished, now);
                runningLoads -= static_cast<uint32_t>(finished);
                readRate = runningLoads == 0
                    ? 0
                    : std::min(scenario.hostBytesPerSecond,
                        scenario.storeBytesPerSecond / (runningLoads * scenario.hostsPerReplica));
            }
            now = std::max(now, nextReport);
        }
        return { std::accumulate(servedAt.begin(), servedAt.end(), 0.0) / scenario.replicas, servedAt.back() };
    }

}

// A fault domain recovers and its twelve replicas load their weights: eight hosts per replica, 100 GB per host, 40 GB/s
// from the store, at most 5 GB/s per host, one load report per second. With all loads at once, every replica would
// serve only after 240 s.
TEST(LoadPacing, PacingReducesMeanTimeToServe)
{
    Scenario scenario { 12, 8, 100e9, 40e9, 5e9, 1 };
    ServingTimes atOnce = simulate(scenario, false);
    ServingTimes paced = simulate(scenario, true);
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
RC_GTEST_PROP(LoadPacing, PacingBoundsMeanAndLastTimeToServe, ())
{
    Scenario scenario;
    scenario.replicas = *rc::gen::inRange(1U, 20U);
    scenario.hostsPerReplica = *rc::gen::inRange(1U, 9U);
    scenario.bytesPerHost = 1000;
    scenario.storeBytesPerSecond = *rc::gen::inRange(1, 500);
    scenario.hostBytesPerSecond = *rc::gen::inRange(1, 500);
    scenario.reportPeriodSeconds = 0.1;
    ServingTimes atOnce = simulate(scenario, false);
    ServingTimes paced = simulate(scenario, true);
    // Each batch of loads may end just after a load report, and the next one then starts a report period later.
    double reportDelaySeconds = scenario.replicas * scenario.reportPeriodSeconds;
    RC_ASSERT(paced.meanSeconds <= atOnce.meanSeconds * 1.01 + reportDelaySeconds);
    // The last batch may be a single host that can't use the full rate of the store.
    double singleHostSeconds = scenario.bytesPerHost / scenario.hostBytesPerSecond;
    RC_ASSERT(paced.lastSeconds <= atOnce.lastSeconds * 1.01 + singleHostSeconds + reportDelaySeconds);
}

// Starts no more loads than are waiting, and at least one if some are waiting and none is running, whatever the report
// contains.
RC_GTEST_PROP(LoadPacing, StartsOnlyWaitingLoadsAndAtLeastOneIfIdle,
    (uint32_t readers, uint32_t waitingLoads, uint32_t runningLoads))
{
    LoadingState state { *rc::gen::inRange(0U, 9U), *rc::gen::arbitrary<uint64_t>(), waitingLoads, runningLoads, 0 };
    uint32_t startedLoads = loadsToStart({ *rc::gen::arbitrary<uint64_t>(), readers }, state);
    RC_ASSERT(startedLoads <= waitingLoads);
    RC_ASSERT(runningLoads > 0 || waitingLoads == 0 || startedLoads > 0);
}

// A load that started after the report was requested is missing from the report's reader count. If it were not counted,
// more loads would start than are needed to use the full rate of the store.
TEST(LoadPacing, CountsLoadsStartedSinceReport)
{
    LoadingState state { 8, 5, 10, 1, 0 };
    EXPECT_EQ(loadsToStart({ 80, 8 }, state), 1U);
    state.startedSinceReport = 1;
    EXPECT_EQ(loadsToStart({ 80, 8 }, state), 0U);
}

} // namespace Kumquatpick
