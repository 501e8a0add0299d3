#include "coordination/hostregistry.h"

#include <gtest/gtest.h>

namespace Kumquatpick {

namespace {

    using namespace std::chrono_literals;

    const MonotonicTime start { 1000s };

    TEST(HostRegistry, RecordsTheTimesOfChanges)
    {
        HostRegistry registry;
        HostEntry entry { "a", "howrah", "d1", "", 1, false };
        registry.setListed({ &entry, 1 }, start);
        registry.setListed({ &entry, 1 }, start + 1s);
        registry.recordAnswer("a", { 1, false, EnginePhase::Ready, 7, 2 }, start + 1s, start + 2s);
        const HostView& view = registry.views().at("a");
        EXPECT_EQ(view.listedSince, start);
        EXPECT_EQ(view.answeringSince, start + 2s);
        EXPECT_EQ(view.statusAt, start + 1s);
        EXPECT_EQ(view.claim, 7u);
        registry.recordNoAnswer("a", start + 3s);
        registry.recordNoAnswer("a", start + 4s);
        EXPECT_EQ(view.unresponsiveSince(), start + 3s);
        registry.setListed({}, start + 5s);
        EXPECT_FALSE(view.listed);
        EXPECT_EQ(view.listedSince, start + 5s);
        EXPECT_EQ(registry.hostDataSince(), start);
    }

    TEST(HostRegistry, OutdatedProbeAnswerIsIgnored)
    {
        HostRegistry registry;
        registry.recordAnswer("a", { 1, false, EnginePhase::Ready, 7, 0 }, start + 2s, start + 3s);
        registry.recordAnswer("a", { 1, false, EnginePhase::Idle, 0, 0 }, start + 1s, start + 4s);
        EXPECT_EQ(registry.views().at("a").phase, EnginePhase::Ready);
    }

    TEST(HostRegistry, HostIsLeavingByListOrStatus)
    {
        HostRegistry registry;
        HostEntry entry { "a", "howrah", "d1", "", 1, false };
        registry.setListed({ &entry, 1 }, start);
        registry.recordAnswer("a", { 1, true, EnginePhase::Ready, 7, 0 }, start, start);
        registry.setListed({ &entry, 1 }, start + 1s);
        EXPECT_TRUE(registry.views().at("a").isLeaving());
    }

    TEST(HostRegistry, RemovesHostsUnlistedForLong)
    {
        HostRegistry registry;
        HostEntry entry { "a", "howrah", "d1", "", 1, false };
        registry.setListed({ &entry, 1 }, start);
        registry.setListed({}, start + 1s);
        registry.setListed({}, start + 5min);
        EXPECT_EQ(registry.views().size(), 1u);
        registry.setListed({}, start + 1h);
        EXPECT_TRUE(registry.views().empty());
    }

}

} // namespace Kumquatpick
