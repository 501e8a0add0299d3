#include "coordination/controller.h"

#include "controllerworld.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Kumquatpick {

namespace {

    using namespace Testing;

    enum class Fault : uint8_t {
        HostDies,
        HostIsReplaced,
        HostLeaves,
        DomainGoesDark,
        ControllerPauses,
        ControllerRestarts,
        ControllerIsCutOff,
        ControllerLosesOneHost,
        ListLags,
        ModelChanges,
        ReplicasChange,
        Count,
    };

    struct FaultAt {
        Fault fault;
        uint8_t target;
        uint8_t steps; // Until the next fault.
    };

    std::ostream& operator<<(std::ostream& out, const FaultAt& fault)
    {
        return out << "{fault " << int(fault.fault) << " on " << int(fault.target) << ", then " << int(fault.steps)
                   << " steps}";
    }

    rc::Gen<std::vector<FaultAt>> anyFaults()
    {
        auto fault = rc::gen::map(rc::gen::tuple(rc::gen::inRange<int>(0, int(Fault::Count)),
                                      rc::gen::inRange<uint8_t>(0, worldHosts), rc::gen::inRange<uint8_t>(0, 40)),
            [](auto drawn) {
                return FaultAt { Fault(std::get<0>(drawn)), std::get<1>(drawn), std::get<2>(drawn) };
            });
        return rc::gen::container<std::vector<FaultAt>>(fault);
    }

    void replace(FakeEngine& engine)
    {
        FakeEngine fresh;
        fresh.domain = engine.domain;
        fresh.checksFencing = engine.checksFencing;
        fresh.incarnation = engine.incarnation + 1;
        engine = fresh;
    }

    void inject(ControllerWorld& world, const FaultAt& fault)
    {
        FakeEngine& engine = world.engines.at(fmt::format("h{}", fault.target));
        FakeController& controller = world.controllers[fault.target % 2];
        switch (fault.fault) {
        case Fault::HostDies:
            engine.alive = false;
            break;
        case Fault::HostIsReplaced:
            replace(engine);
            break;
        case Fault::HostLeaves:
            engine.leaving = true;
            break;
        case Fault::DomainGoesDark:
            for (auto& [name, other] : world.engines)
                other.alive = other.alive && other.domain != engine.domain;
            break;
        case Fault::ControllerPauses:
            controller.pausedUntil = world.now + Milliseconds(fault.target * 2000);
            break;
        case Fault::ControllerRestarts:
            world.restart(controller);
            break;
        case Fault::ControllerIsCutOff:
            controller.cutOffFrom.clear();
            controller.cutOffUntil = world.now + Milliseconds(fault.target * 4000);
            break;
        case Fault::ControllerLosesOneHost:
            controller.cutOffFrom = fmt::format("h{}", fault.target);
            controller.cutOffUntil = world.now + 20s;
            break;
        case Fault::ListLags:
            controller.listLag = Milliseconds(fault.target * 250);
            break;
        case Fault::ModelChanges:
            world.text().services[fault.target % 2].modelVersion += "x";
            break;
        case Fault::ReplicasChange:
            world.text().services[0].replicas = 1 + fault.target % 2;
            break;
        case Fault::Count:
            break;
        }
    }

    void heal(ControllerWorld& world)
    {
        world.lossy = false;
        for (auto& [name, engine] : world.engines) {
            if (!engine.alive || engine.leaving)
                replace(engine);
        }
        for (FakeController& controller : world.controllers)
            controller.listLag = {};
    }

    // Runs the faults and then a quiet time; says what went wrong.
    std::vector<std::string> runFaults(ControllerWorld& world, const std::vector<FaultAt>& faults)
    {
        for (const FaultAt& fault : faults) {
            inject(world, fault);
            for (int i = 0; i < fault.steps; ++i)
                world.step();
        }
        heal(world);
        constexpr int quietSteps = 400;
        constexpr int stillSteps = 100;
        for (int i = 0; i < quietSteps; ++i)
            world.step();
        size_t settledAt = world.log.size();
        for (int i = 0; i < stillSteps; ++i)
            world.step();
        auto problems = world.violations;
        for (size_t i = settledAt; i < world.log.size(); ++i) {
            if (!std::holds_alternative<LeaseProposal>(world.log[i].record.body))
                problems.emplace_back("replicas are still moved about");
        }
        for (const ServiceConfig& service : world.text().services) {
            size_t ready = world.readyReplicas(service);
            if (ready != service.replicas)
                problems.push_back(fmt::format("{}: {} of {} replicas", service.name, ready, service.replicas));
        }
        return problems;
    }

    void reportFirst(const std::vector<std::string>& problems)
    {
        if (!problems.empty())
            RC_FAIL(problems.front());
    }

    std::vector<ServiceConfig> twoServices(FencingSupport fencing)
    {
        return { modelService("writers", 2, fencing), modelService("desk", 1, fencing) };
    }

    // A replica of four fits only where the small ones keep to one domain, so that faults leave it to a move.
    std::vector<ServiceConfig> tightServices(FencingSupport fencing)
    {
        ServiceConfig large = modelService("writers", 1, fencing);
        large.hostsPerReplica = 4;
        return { modelService("desk", 2, fencing), large };
    }

    constexpr int tightHosts = 9;
    constexpr uint64_t worldsPerCase = 3;

    RC_GTEST_PROP(ControllerFaults, EnginesThatCheckFencingEndUpWithEveryWantedReplica, (uint32_t seed))
    {
        auto faults = *anyFaults();
        for (uint64_t i = 0; i < worldsPerCase; ++i) {
            ControllerWorld world(seed + i, twoServices(FencingSupport::Checked));
            reportFirst(runFaults(world, faults));
        }
    }

    RC_GTEST_PROP(ControllerFaults, AReplicaThatOnlyAMoveMakesRoomForIsPlacedInTheEnd, (uint32_t seed))
    {
        auto faults = *anyFaults();
        bool checked = *rc::gen::arbitrary<bool>();
        for (uint64_t i = 0; i < worldsPerCase; ++i) {
            auto fencing = checked ? FencingSupport::Checked : FencingSupport::Ignored;
            ControllerWorld world(seed + i, tightServices(fencing), tightHosts);
            for (auto& [name, engine] : world.engines)
                engine.checksFencing = checked;
            reportFirst(runFaults(world, faults));
        }
    }

    RC_GTEST_PROP(ControllerFaults, EnginesThatIgnoreFencingNeverGoBackToAnOlderClaim, (uint32_t seed))
    {
        auto faults = *anyFaults();
        for (uint64_t i = 0; i < worldsPerCase; ++i) {
            ControllerWorld world(seed + i, twoServices(FencingSupport::Ignored));
            for (auto& [name, engine] : world.engines)
                engine.checksFencing = false;
            reportFirst(runFaults(world, faults));
        }
    }

    TEST(Controller, DoesNothingWithoutTheLeaseOrWithoutAText)
    {
        Scene scene;
        scene.host("a");
        scene.host("b");
        EXPECT_EQ(scene.all<ClaimProposal>().size(), 1u);
        scene.config.parsed.services.clear();
        scene.claim("r0", { "c", "d" });
        EXPECT_EQ(scene.all<ClaimEndProposal>().size(), 1u);
        scene.pass(59s);
        ASSERT_EQ(scene.actions().size(), 1u);
        EXPECT_TRUE(std::holds_alternative<LeaseProposal>(scene.actions().front()));
        scene.pass(-59s);
        auto withoutText = reconcile({ nullptr, scene.state.claims(), scene.hosts, {}, scene.lease, {}, scene.now },
            scene.settings, scene.rules);
        EXPECT_TRUE(withoutText.empty());
    }

    TEST(Controller, AnEngineThatIgnoresFencingGetsNoOrderOutsideASafeTime)
    {
        Scene scene;
        scene.service().fencing = FencingSupport::Ignored;
        Offset claim = scene.claim("r0", { "a", "b" });
        HostView& host = scene.hosts["a"];
        host.phase = EnginePhase::Idle;
        host.claim = 0;
        EXPECT_EQ(scene.orders(), Lines { "load a" });
        EXPECT_EQ(scene.all<HostOrder>().front().sendBefore, scene.now + 60s - 1s - scene.settings.orderFlight);
        host.statusAt = scene.now - 1s;
        EXPECT_EQ(scene.orders(), Lines {}) << "answered before this node's tenure";
        host.statusAt = scene.now;
        host.lastOrder = SentOrder { claim - 1, scene.now - 1s };
        EXPECT_EQ(scene.orders(), Lines {}) << "an own order of another claim may still arrive";
        host.lastOrder = SentOrder { claim, scene.now - 1s };
        EXPECT_EQ(scene.orders(), Lines { "load a" }) << "a repeat";
        scene.pass(58s);
        EXPECT_EQ(scene.orders(), Lines {}) << "it could arrive after the lease";
    }

    TEST(Controller, AnEngineThatIgnoresFencingIsEmptiedBeforeItLoads)
    {
        Scene scene;
        scene.service().fencing = FencingSupport::Ignored;
        Offset claim = scene.claim("r0", { "a", "b" });
        scene.hosts["a"].claim = claim - 1;
        EXPECT_EQ(scene.orders(), Lines { "unload a" });
        scene.service().fencing = FencingSupport::Checked;
        EXPECT_EQ(scene.orders(), Lines { "load a" });
        scene.hosts["a"].claim = claim + 1;
        EXPECT_EQ(scene.orders(), Lines {}) << "this node's state is behind";
    }

    TEST(Controller, HostsAreUnloadedWhenDrainedAndFreedWhenTheySaySo)
    {
        Scene scene;
        scene.service().replicas = 0;
        Offset claim = scene.claim("r0", { "a", "b" });
        EXPECT_EQ(scene.all<ClaimEndProposal>().front().reason, "scale_down");
        scene.end(claim);
        scene.hosts["a"].requests = 1;
        EXPECT_EQ(scene.orders(), Lines {});
        scene.hosts["a"].requests = 0;
        EXPECT_EQ(scene.orders(), (Lines { "unload a", "unload b" }));
        EXPECT_TRUE(scene.all<HostsFreedProposal>().empty());
        scene.endedAt[claim] = scene.now - 1s;
        EXPECT_EQ(scene.orders(), Lines {}) << "another node may not have read the end yet";
        scene.hosts["b"].phase = EnginePhase::Idle;
        auto freed = scene.all<HostsFreedProposal>();
        ASSERT_EQ(freed.size(), 1u);
        EXPECT_EQ(freed.front().hosts, Lines { "b" });
        scene.service().fencing = FencingSupport::Ignored;
        scene.hosts["b"].lastOrder = SentOrder { claim, scene.now - 1s };
        EXPECT_TRUE(scene.all<HostsFreedProposal>().empty()) << "its load may still arrive";
    }

    TEST(Controller, AHostNobodyCanAskIsGivenTheTimeOfARequest)
    {
        Scene scene;
        Offset claim = scene.claim("r0", { "a", "b" });
        scene.claim("r1", { "c", "d" });
        scene.end(claim);
        scene.hosts["a"].answering = false;
        scene.hosts["a"].answeringSince = scene.now - 30s;
        scene.endedAt[claim] = scene.now - 30s;
        EXPECT_EQ(scene.orders(), Lines {});
        scene.endedAt[claim] = scene.now - scene.settings.longestRequest;
        EXPECT_EQ(scene.orders(), Lines { "unload b" });
        EXPECT_TRUE(scene.all<HostsFreedProposal>().empty());
    }

    TEST(Controller, EndsAClaimForADeadReplacedMissingOrLeavingHostButNotForAFlappingOne)
    {
        Scene scene;
        scene.service().replicas = 2;
        Offset claim = scene.claim("r0", { "a", "b" });
        scene.claim("r1", { "c", "d" });
        HostView& host = scene.hosts["a"];
        const HostView well = host;
        EXPECT_EQ(endReason(scene), "");
        host.answering = false;
        host.answeringSince = scene.now - 1s;
        EXPECT_EQ(endReason(scene), "") << "a few missed probes";
        host.answeringSince = scene.now - scene.settings.silentGrace;
        EXPECT_EQ(endReason(scene), "host_missing");
        host.answeringSince = scene.now - 1s;
        host.listed = false;
        host.listedSince = scene.now - 1s;
        EXPECT_EQ(endReason(scene), "") << "lists of two nodes differ for a while";
        host.listedSince = scene.now - scene.settings.goneGrace;
        EXPECT_EQ(endReason(scene), "host_dead");
        host = well;
        host.leaving = true;
        EXPECT_EQ(endReason(scene), "host_leaving");
        host = well;
        host.incarnation = 2;
        EXPECT_EQ(endReason(scene), "host_dead");
        scene.end(claim);
        ASSERT_EQ(scene.all<HostsFreedProposal>().size(), 1u);
        EXPECT_EQ(scene.all<HostsFreedProposal>().front().because, FreedBecause::HostDead);
    }

    TEST(Controller, ANodeThatMostHostsDoNotAnswerDoubtsItself)
    {
        Scene scene;
        scene.service().replicas = 2;
        scene.claim("r0", { "a", "b" });
        scene.claim("r1", { "c", "d" });
        for (auto& [name, host] : scene.hosts) {
            host.answering = name == "a";
            host.answeringSince = scene.now - 1h;
        }
        scene.pass(25s);
        EXPECT_TRUE(scene.actions().empty()) << "neither ends claims nor renews its lease";
        scene.hosts["b"].answering = true;
        scene.pass(0s);
        EXPECT_EQ(endReason(scene), "host_missing");
        EXPECT_EQ(scene.all<LeaseProposal>().size(), 1u);
        scene.hosts.clear();
        EXPECT_TRUE(scene.actions().empty()) << "a node without a list calls nobody dead";
    }

    TEST(Controller, AHostThatWasNeverAskedIsNotLongSilent)
    {
        Scene scene;
        scene.service().replicas = 2;
        scene.claim("r0", { "a", "b" });
        scene.claim("r1", { "c", "d" });
        scene.hosts["a"] = {};
        scene.hosts["a"].listed = true;
        scene.hosts["a"].listedIncarnation = 1;
        scene.watchingSince = scene.now - 1s;
        EXPECT_EQ(endReason(scene), "");
        scene.hosts["a"].listed = false;
        EXPECT_EQ(endReason(scene), "");
        scene.hosts.erase("a");
        EXPECT_EQ(endReason(scene), "");
        scene.watchingSince = scene.now - scene.settings.goneGrace;
        EXPECT_EQ(endReason(scene), "host_dead");
    }

    TEST(Controller, AnAnswerThatNobodyRenewsIsNone)
    {
        Scene scene;
        scene.service().replicas = 2;
        scene.claim("r0", { "a", "b" });
        scene.claim("r1", { "c", "d" });
        HostView& host = scene.hosts["a"];
        host.listed = false; // And so nobody asks it.
        host.statusAt = scene.now - scene.settings.statusLifetime;
        EXPECT_EQ(endReason(scene), "");
        host.statusAt -= 1ms;
        EXPECT_EQ(endReason(scene), "host_dead");
        host.listed = true;
        EXPECT_EQ(endReason(scene), "");
        host.statusAt = scene.now - scene.settings.silentGrace;
        EXPECT_EQ(endReason(scene), "host_missing");
    }

    TEST(Controller, ClaimsOnlySteadyHostsOfOneLifeInOneDomain)
    {
        Scene scene;
        scene.host("a");
        scene.host("b");
        scene.host("c", "d2");
        ASSERT_EQ(scene.all<ClaimProposal>().size(), 1u);
        EXPECT_EQ(scene.all<ClaimProposal>().front().hosts, (Lines { "a", "b" }));
        scene.host("b").incarnation = 2;
        EXPECT_TRUE(scene.all<ClaimProposal>().empty()) << "the list does not know this life yet";
        scene.host("b").answeringSince = scene.now;
        EXPECT_TRUE(scene.all<ClaimProposal>().empty()) << "it may be flapping";
        scene.host("b").answeringSince = {};
        for (Placement bad : { Placement { "d1", { "a", "a" } }, Placement { "d1", { "a", "c" } },
                 Placement { "d1", { "a" } }, Placement { "d9", { "a", "b" } } }) {
            scene.rules.place = [&](const PlacementQuestion&) { return bad; };
            EXPECT_TRUE(scene.all<ClaimProposal>().empty());
        }
    }

    TEST(Controller, AVersionChangeRollsOverFreeHostsOrAFewAtATime)
    {
        Scene scene;
        scene.service().replicas = 2;
        scene.service().modelVersion = "2";
        scene.claim("r0", { "a", "b" });
        scene.claim("r1", { "c", "d" });
        EXPECT_EQ(scene.all<ClaimEndProposal>().size(), 1u) << "no free host: one makes room";
        scene.host("e");
        scene.host("f");
        EXPECT_EQ(scene.all<ClaimProposal>().size(), 1u);
        scene.claim("r2", { "e", "f" }, "2");
        scene.hosts["e"].phase = EnginePhase::Loading;
        EXPECT_TRUE(scene.all<ClaimEndProposal>().empty()) << "the successor is not ready";
        scene.hosts["e"].phase = EnginePhase::Ready;
        EXPECT_EQ(scene.all<ClaimEndProposal>().size(), 1u) << "one of the two old ones is surplus";
    }

    TEST(Controller, LoadsArePacedAndDependenciesGoFirst)
    {
        Scene scene;
        scene.service().replicas = 3;
        scene.claim("r0", { "a", "b" });
        scene.claim("r1", { "c", "d" });
        scene.claim("r2", { "e", "f" });
        for (auto& [name, host] : scene.hosts)
            host.phase = EnginePhase::Idle;
        scene.settings.hostsLoadingAtOnce = 3;
        EXPECT_EQ(scene.orders(), (Lines { "load a", "load b" }));
        scene.hosts["e"].phase = EnginePhase::Loading;
        EXPECT_EQ(scene.orders(), (Lines { "load a", "load b", "load f" })) << "what is started is finished";
        scene.hosts["a"].answering = false;
        scene.hosts["a"].answeringSince = scene.now;
        EXPECT_EQ(scene.orders(), (Lines { "load c", "load d", "load f" })) << "r0 is not whole";

        Scene two;
        two.host("a");
        two.host("b");
        ServiceConfig first = modelService("zebra", 1, FencingSupport::Checked);
        two.service().dependsOn = { "zebra" };
        two.config.parsed.services.push_back(first);
        ASSERT_EQ(two.all<ClaimProposal>().size(), 1u);
        EXPECT_EQ(two.all<ClaimProposal>().front().service, "zebra");
    }

}

} // namespace Kumquatpick
