#include "daemon/routingfeed.h"

#include "fleet.h"
#include "policy/admission.h"
#include "policy/router.h"

#include <gtest/gtest.h>

namespace Kumquatpick {

namespace {

    using namespace Testing;

    struct RoutingFeedFixture {
        RoutingFeedFixture()
        {
            ServiceConfig service = modelService("writers", 2, 3);
            service.streamsPerReplica = 8;
            service.queueLimit = 0;
            text.services = { service };
            text.teams = { { "coaches" } };
            admission.configure(text);
            fleet.claim(claimOf(3, "writers", "d1", { "a", "b" }));
            fleet.claim(claimOf(4, "writers", "d1", { "c", "d" }));
            fleet.claim(claimOf(5, "writers", "d1", { "e", "f" }), EngineState::Loading);
            fleet.applyTo(directory);
        }

        // Returns the number of requests admitted before the first refusal.
        uint32_t admitted(uint32_t remote, uint32_t local, uint32_t nodes)
        {
            std::map<std::string, uint32_t> remoteRunning { { "writers", remote }, { "desk", 100 } };
            std::map<std::string, uint32_t> localRunning { { "writers", local } };
            feed.refresh(text, { remoteRunning, localRunning, nodes }, fleetNow);
            uint32_t count = 0;
            AdmissionRequest request { "writers", "coaches", Priority::Normal, fleetNow + std::chrono::hours(24) };
            while (admission.admit(request).verdict == AdmissionVerdict::Admitted)
                ++count;
            return count;
        }

        OperatorConfig text;
        Fleet fleet;
        ReplicaDirectory directory { Milliseconds(1'000) };
        Router router { 1 };
        Admission admission;
        RoutingFeed feed { directory, router, admission };
    };

    TEST(RoutingFeed, CapacityIsTheStreamsOfServingReplicas)
    {
        RoutingFeedFixture feed;
        EXPECT_EQ(feed.admitted(0, 0, 1), 16u) << "the third replica is still loading";
        EXPECT_EQ(feed.router.freeStreams("writers"), 16u);
    }

    TEST(RoutingFeed, DividesStreamsAmongNodes)
    {
        EXPECT_EQ(RoutingFeedFixture().admitted(0, 0, 2), 8u);
        EXPECT_EQ(RoutingFeedFixture().admitted(4, 0, 4), 4u)
            << "at least an even share; requests of other services do not count";
        EXPECT_EQ(RoutingFeedFixture().admitted(2, 10, 4), 11u)
            << "the streams running here plus a quarter of the four unused ones";
    }

    TEST(RoutingFeed, CapacityDropsWhenReplicaStopsServing)
    {
        RoutingFeedFixture feed;
        feed.directory.unanswered("c");
        EXPECT_EQ(feed.admitted(0, 0, 1), 8u);
        EXPECT_EQ(feed.router.freeStreams("writers"), 8u);
    }

}

} // namespace Kumquatpick
