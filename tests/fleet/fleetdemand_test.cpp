#include "fleet/fleetdemand.h"

#include "fleet/hosttable.h"

#include <gtest/gtest.h>

namespace Kumquatpick {

namespace {

    constexpr int observations = 600; // One minute.
    constexpr uint32_t capacity = 10;

    ServiceSpec serviceNamed(std::string name)
    {
        ServiceSpec service;
        service.name = std::move(name);
        service.capacity = capacity;
        for (const char* model : { "large", "small" })
            service.models.emplace_back().name = model;
        return service;
    }

    FleetConfig twoServices()
    {
        FleetConfig config;
        config.services = { serviceNamed("busy"), serviceNamed("calm") };
        return config;
    }

}

// Guards against a service that wants replicas for the calls of another one that serves models of the same names.
TEST(FleetDemand, CountsEachServiceByItself)
{
    FleetConfig config = twoServices();
    FleetDemand demand;
    FleetDemand demandOfCalmAlone;
    auto inFlight = [](std::string_view service, std::string_view) { return service == "busy" ? 900.0 : 12.0; };
    for (int i = 0; i < observations; ++i) {
        demand.observe(config, inFlight, { { { "busy", "large" }, 300 } });
        demandOfCalmAlone.observe(
            config, [](std::string_view service, std::string_view) { return service == "busy" ? 0.0 : 12.0; }, {});
    }
    HostTable table;
    const ServiceSpec& calm = config.services[1];
    EXPECT_EQ(demand.wantedReplicas(calm, table), demandOfCalmAlone.wantedReplicas(calm, table));
    EXPECT_NEAR(demand.demandedSlots(calm, calm.models[0]), 12, 0.1);
    EXPECT_NEAR(demand.demandedSlots(config.services[0], calm.models[0]), 1200, 1);
    EXPECT_NEAR(demand.demandedSlots(config.services[0], calm.models[1]), 900, 1);
}

// Before any call is in flight, hosts are divided by the shares of the operators among the models of the service.
TEST(FleetDemand, DividesTheHostsOfTheServiceBeforeCallsArrive)
{
    FleetConfig config = twoServices();
    for (ServiceSpec& service : config.services) {
        service.models[0].workShare = 0.5;
        service.models[0].hostsPerReplica = 4;
        service.models[1].workShare = 0.5;
        service.models[1].hostsPerReplica = 2;
    }
    HostTable table;
    for (int i = 0; i < 24; ++i) {
        Host host;
        host.id = "host-" + std::to_string(i);
        host.address = { "10.0.0.1", static_cast<uint16_t>(1000 + i) };
        host.service = i < 16 ? "busy" : "calm";
        table.applyListEntry(host, MonotonicTime(std::chrono::hours(1)));
    }
    FleetDemand demand;
    demand.observe(config, [](std::string_view, std::string_view) { return 0.0; }, {});
    auto wanted = demand.wantedReplicas(config.services[0], table);
    EXPECT_DOUBLE_EQ(wanted.at("large"), 2);
    EXPECT_DOUBLE_EQ(wanted.at("small"), 4);
    EXPECT_DOUBLE_EQ(demand.wantedReplicas(config.services[1], table).at("small"), 2);
}

} // namespace Kumquatpick
