#include "controllerworld.h"

#include <gtest/gtest.h>

namespace Kumquatpick {

namespace {

    using namespace Testing;

    // Nine hosts, four of them in d1: a replica of four hosts fits only if the small replicas share one domain.
    ControllerSimulation tightSimulation(uint64_t seed)
    {
        ServiceConfig large = modelService("writers", 0, FencingSupport::Checked);
        large.hostsPerReplica = 4;
        constexpr int hosts = 9;
        ControllerSimulation simulation(seed, { modelService("desk", 2, FencingSupport::Checked), large }, hosts);
        simulation.lossy = false;
        return simulation;
    }

    void run(ControllerSimulation& simulation, int steps)
    {
        for (int i = 0; i < steps; ++i)
            simulation.step();
    }

    TEST(ControllerMoves, LargeReplicaIsPlacedAfterASmallOneMoved)
    {
        ControllerSimulation simulation = tightSimulation(1);
        // One small replica in each domain, which leaves two free hosts in d1 and three in d2.
        simulation.engines.at("h2").alive = simulation.engines.at("h3").alive = false;
        run(simulation, 20);
        simulation.engines.at("h2").alive = simulation.engines.at("h3").alive = true;
        ASSERT_EQ(simulation.readyReplicas(simulation.text().services[0]), 2u);
        simulation.text().services[1].replicas = 1;
        run(simulation, 60);
        EXPECT_EQ(simulation.readyReplicas(simulation.text().services[1]), 1u);
        EXPECT_EQ(simulation.readyReplicas(simulation.text().services[0]), 2u);
        EXPECT_EQ(simulation.violations, Lines {});
    }

    // A ready replica of two hosts in d1, two free hosts in d1 and two in d2; a replica of four hosts is missing.
    struct MoveFixture : ControllerFixture {
        MoveFixture()
        {
            ServiceConfig large = modelService("desk", 1, FencingSupport::Checked);
            large.hostsPerReplica = 4;
            config.parsed.services.push_back(large);
            old = claim("r0", { "a", "b" });
            for (const char* name : { "c", "d" })
                host(name);
            for (const char* name : { "e", "f" })
                host(name, "d2");
        }

        // Applies the proposed move; its hosts stay idle.
        Offset beginMove()
        {
            auto claims = all<ClaimProposal>();
            EXPECT_EQ(claims.size(), 1u);
            return claims.empty() ? 0 : fold("move", claims.front());
        }

        void setEngineState(Offset claim, EnginePhase phase)
        {
            for (const std::string& name : state.claims().at(claim).proposal.hosts) {
                hosts[name].claim = claim;
                hosts[name].phase = phase;
            }
        }

        void kill(const std::string& name)
        {
            hosts[name].answering = hosts[name].listed = false;
            hosts[name].answeringSince = hosts[name].listedSince = now - 1h;
        }

        // The proposed ends as text, such as "r0 moved".
        Lines ends()
        {
            Lines lines;
            for (const ClaimEndProposal& end : all<ClaimEndProposal>())
                lines.push_back(state.claims().at(end.claim).proposal.replica + " " + end.reason);
            return lines;
        }

        ServiceConfig& large() { return config.parsed.services.back(); }

        Offset old = 0;
    };

    TEST(ControllerMoves, TheOldReplicaEndsOnlyWhenItsSuccessorServes)
    {
        MoveFixture fixture;
        auto claims = fixture.all<ClaimProposal>();
        ASSERT_EQ(claims.size(), 1u);
        EXPECT_EQ(claims.front().replaces, fixture.old);
        EXPECT_EQ(claims.front().hosts, (Lines { "e", "f" }));
        Offset successor = fixture.beginMove();
        EXPECT_EQ(fixture.orders(), (Lines { "load e", "load f" }));
        EXPECT_TRUE(fixture.all<ClaimProposal>().empty()) << "the running move makes enough room";
        fixture.setEngineState(successor, EnginePhase::Loading);
        EXPECT_EQ(fixture.ends(), Lines {}) << "neither of the two claims is surplus";
        fixture.setEngineState(successor, EnginePhase::Ready);
        EXPECT_EQ(fixture.ends(), Lines { "r0 moved" });
        fixture.end(fixture.old);
        EXPECT_TRUE(fixture.all<ClaimProposal>().empty()) << "its hosts are still draining";
        EXPECT_EQ(fixture.ends(), Lines {});
        fixture.hosts["a"].phase = fixture.hosts["b"].phase = EnginePhase::Idle;
        fixture.fold("freed", HostsFreedProposal { fixture.old, { "a", "b" }, FreedReason::EngineConfirmed });
        claims = fixture.all<ClaimProposal>();
        ASSERT_EQ(claims.size(), 1u);
        EXPECT_EQ(claims.front().service, "desk");
        EXPECT_EQ(claims.front().replaces, 0u);
    }

    TEST(ControllerMoves, IfEitherClaimOfAMoveFailsTheOtherOneRemains)
    {
        MoveFixture fixture;
        Offset successor = fixture.beginMove();
        MoveFixture other = fixture;
        fixture.kill("e");
        EXPECT_EQ(fixture.ends(), Lines { fmt::format("m{} host_dead", fixture.old) });
        fixture.end(successor);
        EXPECT_EQ(fixture.ends(), Lines {});
        EXPECT_TRUE(fixture.all<ClaimProposal>().empty()) << "no domain has two free hosts to move to";
        other.kill("a");
        EXPECT_EQ(other.ends(), Lines { "r0 host_dead" });
        other.fold("end", ClaimEndProposal { other.old, "host_dead" });
        EXPECT_EQ(other.ends(), Lines {});
        EXPECT_EQ(other.orders(), (Lines { "load e", "load f" }));
        EXPECT_TRUE(other.all<ClaimProposal>().empty()) << "the successor counts as the replica";
    }

    TEST(ControllerMoves, MoveIsRecognizedAfterRestoringASnapshot)
    {
        MoveFixture fixture;
        Offset successor = fixture.beginMove();
        fixture.state = *State::restore({ fixture.state.offset(), "", 0, 1, fixture.state.snapshot() });
        EXPECT_EQ(fixture.state.claims().at(successor).proposal.replaces, fixture.old);
        EXPECT_EQ(fixture.ends(), Lines {});
        fixture.setEngineState(successor, EnginePhase::Ready);
        EXPECT_EQ(fixture.ends(), Lines { "r0 moved" });
    }

    TEST(ControllerMoves, ReplacesFieldIsEncodedAndOptional)
    {
        ClaimProposal claim { "writers", "m7", "howrah", "d1", { "a" }, { 1 }, "kumquat", "1", 7 };
        auto replaces = [](const std::string& bytes) {
            Record record = *decodeRecord(bytes);
            return std::get<ClaimProposal>(record.body).replaces;
        };
        EXPECT_EQ(replaces(encode({ "id", claim })), 7u);
        claim.replaces = 0;
        std::string without = encode({ "id", claim });
        EXPECT_EQ(without.find("replaces"), std::string::npos);
        EXPECT_EQ(replaces(without), 0u);
    }

    TEST(ControllerMoves, MoveIsCancelledWithItsVersionOrReplica)
    {
        MoveFixture fixture;
        fixture.beginMove();
        std::string successor = fmt::format("m{}", fixture.old);
        fixture.service().modelVersion = "2";
        fixture.large().replicas = 0;
        EXPECT_EQ(fixture.ends(), Lines { successor + " move_outdated" });
        fixture.service().modelVersion = "1";
        EXPECT_EQ(fixture.ends(), Lines {}) << "a move that has begun is completed";
        fixture.service().replicas = 0;
        EXPECT_EQ(fixture.ends(), (Lines { "r0 scale_down", successor + " scale_down" }));
    }

    TEST(ControllerMoves, LoadsOfMovesWaitForReplicasThatAreDown)
    {
        MoveFixture fixture;
        fixture.beginMove();
        fixture.service().replicas = 2;
        Offset down = fixture.claim("r1", { "g", "h" });
        fixture.setEngineState(down, EnginePhase::Idle);
        EXPECT_EQ(fixture.orders(), (Lines { "load g", "load h" }));
        fixture.setEngineState(down, EnginePhase::Loading);
        EXPECT_EQ(fixture.orders(), Lines {});
        fixture.rules.recoveryLoadsFirst = [](const ServiceConfig&) { return false; };
        EXPECT_EQ(fixture.orders(), (Lines { "load e", "load f" }));
        fixture.setEngineState(down, EnginePhase::Idle);
        EXPECT_EQ(fixture.orders(), (Lines { "load g", "load h", "load e", "load f" }));
    }

    TEST(ControllerMoves, NoMoveBeginsWithoutNeedOrBeyondTheLimit)
    {
        MoveFixture fixture;
        fixture.rules.movesAtOnce = [](const ServiceConfig&, bool) { return 0; };
        EXPECT_TRUE(fixture.all<ClaimProposal>().empty()) << "the limit for running moves is reached";
        fixture.rules = movingRules();
        fixture.large().replicas = 0;
        EXPECT_TRUE(fixture.all<ClaimProposal>().empty()) << "no service lacks a replica";
        fixture.large().replicas = 1;
        fixture.host("g").answeringSince = fixture.host("h").answeringSince = fixture.now;
        EXPECT_TRUE(fixture.all<ClaimProposal>().empty()) << "two more hosts have returned recently";
        fixture.hosts.erase("g");
        EXPECT_EQ(fixture.all<ClaimProposal>().size(), 1u);
        fixture.hosts["a"].phase = EnginePhase::Loading;
        EXPECT_TRUE(fixture.all<ClaimProposal>().empty()) << "the old replica is not ready itself";
        fixture.rules.move = [&](const MoveRequest&) { return ReplicaMove { fixture.old, { "d2", { "e", "f" } } }; };
        EXPECT_TRUE(fixture.all<ClaimProposal>().empty()) << "the choice of the mover does not override this";
        fixture.hosts["a"].phase = EnginePhase::Ready;
        EXPECT_EQ(fixture.all<ClaimProposal>().size(), 1u);
        for (ReplicaMove bad :
            { ReplicaMove { fixture.old, { "d1", { "c", "d" } } }, ReplicaMove { 99, { "d2", { "e", "f" } } },
                ReplicaMove { fixture.old, { "d2", { "e" } } }, ReplicaMove { fixture.old, { "d2", { "e", "c" } } } }) {
            fixture.rules.move = [&](const MoveRequest&) { return bad; };
            EXPECT_TRUE(fixture.all<ClaimProposal>().empty());
        }
    }

    TEST(ControllerMoves, RecoveringReplicasLimitNewMoves)
    {
        MoveFixture fixture;
        fixture.service().replicas = 2;
        fixture.rules.movesAtOnce = [](const ServiceConfig&, bool recoveriesWait) { return recoveriesWait ? 0 : 1; };
        Offset down = fixture.claim("r1", { "g", "h" });
        EXPECT_EQ(fixture.all<ClaimProposal>().size(), 1u);
        fixture.setEngineState(down, EnginePhase::Loading);
        EXPECT_TRUE(fixture.all<ClaimProposal>().empty());
    }

    TEST(ControllerMoves, AVersionChangeAndAMoveDoNotTakeDownTwoAtOnce)
    {
        MoveFixture fixture;
        Offset successor = fixture.beginMove();
        fixture.setEngineState(successor, EnginePhase::Ready);
        fixture.large().replicas = 0;
        fixture.service().replicas = 2;
        fixture.claim("r1", { "g", "h" }, "0");
        fixture.hosts.erase("c");
        EXPECT_EQ(fixture.ends(), Lines { "r0 moved" });

        MoveFixture other;
        other.fold("outdated",
            ClaimProposal { "desk", "r0", "howrah", "d4", { "s", "t", "u", "v" }, { 1, 1, 1, 1 }, "kumquat", "0" });
        for (const char* name : { "s", "t", "u", "v" })
            other.host(name, "d4");
        EXPECT_EQ(other.ends(), Lines { "r0 version_change" });
        EXPECT_TRUE(other.all<ClaimProposal>().empty()) << "the hosts of the outdated claim will be free";
    }

    // No move is made for a replica of the same size, nor from a domain that stays too small, even if the placer finds
    // no place and the mover proposes one.
    TEST(ControllerMoves, OnlyASmallerReplicaMovesAndOnlyWhereThatIsEnough)
    {
        MoveFixture fixture;
        fixture.rules.place = [](const PlacementRequest&) { return std::nullopt; };
        fixture.large().hostsPerReplica = 2;
        fixture.rules.move = [&](const MoveRequest&) { return ReplicaMove { fixture.old, { "d2", { "e", "f" } } }; };
        EXPECT_TRUE(fixture.all<ClaimProposal>().empty());
        fixture.large().hostsPerReplica = 5;
        EXPECT_TRUE(fixture.all<ClaimProposal>().empty());
        fixture.large().hostsPerReplica = 3;
        fixture.hosts.erase("c");
        fixture.hosts.erase("d");
        EXPECT_TRUE(fixture.all<ClaimProposal>().empty());
    }

    TEST(ControllerMoves, DisconnectedNodeBeginsNoMoves)
    {
        MoveFixture fixture;
        for (const char* name : { "s", "t", "u", "v", "w", "x", "y" })
            fixture.host(name, "d4").answering = false;
        EXPECT_TRUE(fixture.all<ClaimProposal>().empty());
        fixture.hosts["x"].answering = fixture.hosts["y"].answering = true;
        fixture.hosts.erase("x");
        EXPECT_EQ(fixture.all<ClaimProposal>().size(), 1u);
    }

    TEST(ControllerMoves, DrainingHostsCountAsRoomWhileTheyAnswer)
    {
        MoveFixture fixture;
        for (const char* name : { "g", "h", "x", "y" })
            fixture.host(name, "d3");
        Offset other = fixture.fold(
            "claim", ClaimProposal { "writers", "r1", "howrah", "d3", { "g", "h" }, { 1, 1 }, "kumquat", "1" });
        fixture.setEngineState(other, EnginePhase::Ready);
        fixture.end(fixture.old);
        EXPECT_TRUE(fixture.all<ClaimProposal>().empty()) << "d1 will have four free hosts";
        fixture.kill("a");
        auto claims = fixture.all<ClaimProposal>();
        ASSERT_EQ(claims.size(), 1u);
        EXPECT_EQ(claims.front().replaces, other);
    }

    // Two replicas of four hosts are missing. Room for one is about to become free in d1, and a move for the other one
    // must not use it.
    TEST(ControllerMoves, ReservedRoomIsNotUsedForAnotherMove)
    {
        MoveFixture fixture;
        fixture.beginMove();
        fixture.large().replicas = 2;
        fixture.service().replicas = 2;
        for (const char* name : { "g", "h" })
            fixture.host(name, "d2");
        for (const char* name : { "i", "j", "x", "y" })
            fixture.host(name, "d3");
        Offset other = fixture.fold(
            "claim", ClaimProposal { "writers", "r1", "howrah", "d3", { "x", "y" }, { 1, 1 }, "kumquat", "1" });
        fixture.setEngineState(other, EnginePhase::Ready);
        Placement to { "d1", { "c", "d" } };
        fixture.rules.move = [&](const MoveRequest& request) {
            EXPECT_EQ(request.wanted.freeDomains.at("d1").hosts, Lines {});
            EXPECT_EQ(request.movable.size(), 1u) << "the first replica is being moved already";
            return ReplicaMove { other, to };
        };
        EXPECT_TRUE(fixture.all<ClaimProposal>().empty());
        to = { "d2", { "g", "h" } };
        ASSERT_EQ(fixture.all<ClaimProposal>().size(), 1u);
        EXPECT_EQ(fixture.all<ClaimProposal>().front().replaces, other);
        fixture.rules.movesAtOnce = [](const ServiceConfig&, bool) { return 1; };
        EXPECT_TRUE(fixture.all<ClaimProposal>().empty()) << "one move is running already";
    }

}

} // namespace Kumquatpick
