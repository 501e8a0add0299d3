#include "daemon/statusreport.h"

#include "fleet.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace Kumquatpick {

namespace {

    using namespace Testing;

    nlohmann::json reportOf(const Fleet& fleet, uint32_t replicas)
    {
        ReplicaDirectory directory { Milliseconds(1'000) };
        fleet.applyTo(directory);
        OperatorConfig text;
        text.services = { modelService("writers", 2, replicas) };
        NodeInfo self;
        return statusReport({ self, &text, 7, 9, true, false, {}, directory, fleetNow });
    }

    Fleet fleetWithOneServingReplica()
    {
        Fleet fleet;
        fleet.claim(claimOf(3, "writers", "d1", { "a", "b" }));
        fleet.add("idle");
        fleet.add("leaving", EngineState::Idle, 0, true);
        fleet.listed.push_back({ "silent", { "127.0.0.1", 80 }, "howrah", "d1", "", 1, false });
        fleet.listed.push_back({ "plain", { "127.0.0.1", 80 }, "howrah", "", "router", 1, false });
        return fleet;
    }

    TEST(StatusReport, HealthyHostsOutsideReplicasAreStrandedWhileAReplicaIsMissing)
    {
        EXPECT_EQ(reportOf(fleetWithOneServingReplica(), 2).at("stranded_hosts"), nlohmann::json({ "idle" }));
        EXPECT_EQ(reportOf(fleetWithOneServingReplica(), 1).at("stranded_hosts"), nlohmann::json::array())
            << "no replica is missing, so the host is spare";
    }

    TEST(StatusReport, ReportsServingReplicasAndReasonAndBlamedHostOfOthers)
    {
        Fleet fleet = fleetWithOneServingReplica();
        fleet.claim(claimOf(4, "writers", "d1", { "c", "d" }), EngineState::Loading);
        auto report = reportOf(fleet, 2);
        EXPECT_EQ(report.at("config_version"), 7);
        const auto& service = report.at("services").at(0);
        EXPECT_EQ(service.at("wanted"), 2);
        EXPECT_EQ(service.at("serving"), 1);
        EXPECT_EQ(service.at("replicas").at(1).at("reason"), "loading");
        EXPECT_EQ(service.at("replicas").at(1).at("blamed_host"), "c");
        EXPECT_FALSE(service.at("replicas").at(0).contains("reason"));
    }

}

} // namespace Kumquatpick
