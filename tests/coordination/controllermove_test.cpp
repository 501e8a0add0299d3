#include "controllerworld.h"

#include <gtest/gtest.h>

namespace Kumquatpick {

namespace {

    using namespace Testing;

    // Nine hosts, four of them in d1: a replica of four fits only if the small ones keep to one domain.
    ControllerWorld tightWorld(uint64_t seed)
    {
        ServiceConfig large = modelService("writers", 0, FencingSupport::Checked);
        large.hostsPerReplica = 4;
        constexpr int hosts = 9;
        ControllerWorld world(seed, { modelService("desk", 2, FencingSupport::Checked), large }, hosts);
        world.lossy = false;
        return world;
    }

    void run(ControllerWorld& world, int steps)
    {
        for (int i = 0; i < steps; ++i)
            world.step();
    }

    TEST(ControllerMoves, ALargeReplicaThatFitsNowhereIsPlacedOnceASmallOneHasMoved)
    {
        ControllerWorld world = tightWorld(1);
        // One small replica in each domain: two free hosts in d1, three in d2.
        world.engines.at("h2").alive = world.engines.at("h3").alive = false;
        run(world, 20);
        world.engines.at("h2").alive = world.engines.at("h3").alive = true;
        ASSERT_EQ(world.readyReplicas(world.text().services[0]), 2u);
        world.text().services[1].replicas = 1;
        run(world, 60);
        EXPECT_EQ(world.readyReplicas(world.text().services[1]), 1u);
        EXPECT_EQ(world.readyReplicas(world.text().services[0]), 2u);
        EXPECT_EQ(world.violations, Lines {});
    }

    // A small replica in d1 that serves, two free hosts beside it, two in d2; a replica of four is wanted.
    struct MoveScene : Scene {
        MoveScene()
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

        // Folds the move that is proposed; its hosts do nothing yet.
        Offset begin()
        {
            auto claims = all<ClaimProposal>();
            EXPECT_EQ(claims.size(), 1u);
            return claims.empty() ? 0 : fold("move", claims.front());
        }

        void obey(Offset claim, EnginePhase phase)
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

        // "r0 moved", ...
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
        MoveScene scene;
        auto claims = scene.all<ClaimProposal>();
        ASSERT_EQ(claims.size(), 1u);
        EXPECT_EQ(claims.front().replaces, scene.old);
        EXPECT_EQ(claims.front().hosts, (Lines { "e", "f" }));
        Offset successor = scene.begin();
        EXPECT_EQ(scene.orders(), (Lines { "load e", "load f" }));
        EXPECT_TRUE(scene.all<ClaimProposal>().empty()) << "the room is coming";
        scene.obey(successor, EnginePhase::Loading);
        EXPECT_EQ(scene.ends(), Lines {}) << "neither is surplus";
        scene.obey(successor, EnginePhase::Ready);
        EXPECT_EQ(scene.ends(), Lines { "r0 moved" });
        scene.end(scene.old);
        EXPECT_TRUE(scene.all<ClaimProposal>().empty()) << "its hosts drain";
        EXPECT_EQ(scene.ends(), Lines {});
        scene.hosts["a"].phase = scene.hosts["b"].phase = EnginePhase::Idle;
        scene.fold("freed", HostsFreedProposal { scene.old, { "a", "b" }, FreedBecause::EngineConfirmed });
        claims = scene.all<ClaimProposal>();
        ASSERT_EQ(claims.size(), 1u);
        EXPECT_EQ(claims.front().service, "desk");
        EXPECT_EQ(claims.front().replaces, 0u);
    }

    TEST(ControllerMoves, WhicheverOfTheTwoBreaksTheOtherIsTheReplica)
    {
        MoveScene scene;
        Offset successor = scene.begin();
        MoveScene other = scene;
        scene.kill("e");
        EXPECT_EQ(scene.ends(), Lines { fmt::format("m{} host_dead", scene.old) });
        scene.end(successor);
        EXPECT_EQ(scene.ends(), Lines {});
        EXPECT_TRUE(scene.all<ClaimProposal>().empty()) << "no domain has two hosts to move to";
        other.kill("a");
        EXPECT_EQ(other.ends(), Lines { "r0 host_dead" });
        other.fold("end", ClaimEndProposal { other.old, "host_dead" });
        EXPECT_EQ(other.ends(), Lines {});
        EXPECT_EQ(other.orders(), (Lines { "load e", "load f" }));
        EXPECT_TRUE(other.all<ClaimProposal>().empty()) << "the successor is not missing";
    }

    TEST(ControllerMoves, AnyControllerRecognisesAMoveFromASnapshot)
    {
        MoveScene scene;
        Offset successor = scene.begin();
        scene.state = *State::restore({ scene.state.offset(), "", 0, 1, scene.state.snapshot() });
        EXPECT_EQ(scene.state.claims().at(successor).proposal.replaces, scene.old);
        EXPECT_EQ(scene.ends(), Lines {});
        scene.obey(successor, EnginePhase::Ready);
        EXPECT_EQ(scene.ends(), Lines { "r0 moved" });
    }

    TEST(ControllerMoves, TheLogKeepsWhatAClaimReplacesAndOldRecordsReplaceNothing)
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

    TEST(ControllerMoves, AMoveIsGivenUpWithItsVersionOrItsReplica)
    {
        MoveScene scene;
        scene.begin();
        std::string successor = fmt::format("m{}", scene.old);
        scene.service().modelVersion = "2";
        scene.large().replicas = 0;
        EXPECT_EQ(scene.ends(), Lines { successor + " move_outdated" });
        scene.service().modelVersion = "1";
        EXPECT_EQ(scene.ends(), Lines {}) << "begun, it is carried to its end";
        scene.service().replicas = 0;
        EXPECT_EQ(scene.ends(), (Lines { "r0 scale_down", successor + " scale_down" }));
    }

    TEST(ControllerMoves, LoadsOfMovesWaitForReplicasThatAreDown)
    {
        MoveScene scene;
        scene.begin();
        scene.service().replicas = 2;
        Offset down = scene.claim("r1", { "g", "h" });
        scene.obey(down, EnginePhase::Idle);
        EXPECT_EQ(scene.orders(), (Lines { "load g", "load h" }));
        scene.obey(down, EnginePhase::Loading);
        EXPECT_EQ(scene.orders(), Lines {});
        scene.rules.recoveryLoadsFirst = [](const ServiceConfig&) { return false; };
        EXPECT_EQ(scene.orders(), (Lines { "load e", "load f" }));
        scene.obey(down, EnginePhase::Idle);
        EXPECT_EQ(scene.orders(), (Lines { "load g", "load h", "load e", "load f" }));
    }

    TEST(ControllerMoves, NoMoveIsBegunWithoutNeedOrBeyondTheBound)
    {
        MoveScene scene;
        scene.rules.movesAtOnce = [](const ServiceConfig&, bool) { return 0; };
        EXPECT_TRUE(scene.all<ClaimProposal>().empty()) << "beyond the bound";
        scene.rules = movingRules();
        scene.large().replicas = 0;
        EXPECT_TRUE(scene.all<ClaimProposal>().empty()) << "nothing is short";
        scene.large().replicas = 1;
        scene.host("g").answeringSince = scene.host("h").answeringSince = scene.now;
        EXPECT_TRUE(scene.all<ClaimProposal>().empty()) << "two more hosts are just coming back";
        scene.hosts.erase("g");
        EXPECT_EQ(scene.all<ClaimProposal>().size(), 1u);
        scene.hosts["a"].phase = EnginePhase::Loading;
        EXPECT_TRUE(scene.all<ClaimProposal>().empty()) << "the old one does not serve itself";
        scene.rules.move = [&](const MoveQuestion&) { return ReplicaMove { scene.old, { "d2", { "e", "f" } } }; };
        EXPECT_TRUE(scene.all<ClaimProposal>().empty()) << "whatever the mover says";
        scene.hosts["a"].phase = EnginePhase::Ready;
        EXPECT_EQ(scene.all<ClaimProposal>().size(), 1u);
        for (ReplicaMove bad :
            { ReplicaMove { scene.old, { "d1", { "c", "d" } } }, ReplicaMove { 99, { "d2", { "e", "f" } } },
                ReplicaMove { scene.old, { "d2", { "e" } } }, ReplicaMove { scene.old, { "d2", { "e", "c" } } } }) {
            scene.rules.move = [&](const MoveQuestion&) { return bad; };
            EXPECT_TRUE(scene.all<ClaimProposal>().empty());
        }
    }

    TEST(ControllerMoves, ReplicasThatAreDownBoundWhatIsBegun)
    {
        MoveScene scene;
        scene.service().replicas = 2;
        scene.rules.movesAtOnce = [](const ServiceConfig&, bool recoveriesWait) { return recoveriesWait ? 0 : 1; };
        Offset down = scene.claim("r1", { "g", "h" });
        EXPECT_EQ(scene.all<ClaimProposal>().size(), 1u);
        scene.obey(down, EnginePhase::Loading);
        EXPECT_TRUE(scene.all<ClaimProposal>().empty());
    }

    TEST(ControllerMoves, AVersionChangeAndAMoveDoNotTakeDownTwoAtOnce)
    {
        MoveScene scene;
        Offset successor = scene.begin();
        scene.obey(successor, EnginePhase::Ready);
        scene.large().replicas = 0;
        scene.service().replicas = 2;
        scene.claim("r1", { "g", "h" }, "0");
        scene.hosts.erase("c");
        EXPECT_EQ(scene.ends(), Lines { "r0 moved" });

        MoveScene other;
        other.fold("outdated",
            ClaimProposal { "desk", "r0", "howrah", "d4", { "s", "t", "u", "v" }, { 1, 1, 1, 1 }, "kumquat", "0" });
        for (const char* name : { "s", "t", "u", "v" })
            other.host(name, "d4");
        EXPECT_EQ(other.ends(), Lines { "r0 version_change" });
        EXPECT_TRUE(other.all<ClaimProposal>().empty()) << "its own hosts are the room";
    }

    // Here even a placer that finds no place leads to no move between equals, nor to one from a domain that stays
    // too small.
    TEST(ControllerMoves, OnlyASmallerReplicaMovesAndOnlyWhereThatIsEnough)
    {
        MoveScene scene;
        scene.rules.place = [](const PlacementQuestion&) { return std::nullopt; };
        scene.large().hostsPerReplica = 2;
        scene.rules.move = [&](const MoveQuestion&) { return ReplicaMove { scene.old, { "d2", { "e", "f" } } }; };
        EXPECT_TRUE(scene.all<ClaimProposal>().empty());
        scene.large().hostsPerReplica = 5;
        EXPECT_TRUE(scene.all<ClaimProposal>().empty());
        scene.large().hostsPerReplica = 3;
        scene.hosts.erase("c");
        scene.hosts.erase("d");
        EXPECT_TRUE(scene.all<ClaimProposal>().empty());
    }

    TEST(ControllerMoves, ANodeThatMostHostsDoNotAnswerBeginsNone)
    {
        MoveScene scene;
        for (const char* name : { "s", "t", "u", "v", "w", "x", "y" })
            scene.host(name, "d4").answering = false;
        EXPECT_TRUE(scene.all<ClaimProposal>().empty());
        scene.hosts["x"].answering = scene.hosts["y"].answering = true;
        scene.hosts.erase("x");
        EXPECT_EQ(scene.all<ClaimProposal>().size(), 1u);
    }

    TEST(ControllerMoves, HostsThatDrainAreRoomAsLongAsTheyAnswer)
    {
        MoveScene scene;
        for (const char* name : { "g", "h", "x", "y" })
            scene.host(name, "d3");
        Offset other = scene.fold(
            "claim", ClaimProposal { "writers", "r1", "howrah", "d3", { "g", "h" }, { 1, 1 }, "kumquat", "1" });
        scene.obey(other, EnginePhase::Ready);
        scene.end(scene.old);
        EXPECT_TRUE(scene.all<ClaimProposal>().empty()) << "d1 will have four";
        scene.kill("a");
        auto claims = scene.all<ClaimProposal>();
        ASSERT_EQ(claims.size(), 1u);
        EXPECT_EQ(claims.front().replaces, other);
    }

    // Both replicas of four are short: one has its room coming in d1, and a move for the other may not take of it.
    TEST(ControllerMoves, RoomThatIsComingForOneReplicaIsNotTakenForAnother)
    {
        MoveScene scene;
        scene.begin();
        scene.large().replicas = 2;
        scene.service().replicas = 2;
        for (const char* name : { "g", "h" })
            scene.host(name, "d2");
        for (const char* name : { "i", "j", "x", "y" })
            scene.host(name, "d3");
        Offset other = scene.fold(
            "claim", ClaimProposal { "writers", "r1", "howrah", "d3", { "x", "y" }, { 1, 1 }, "kumquat", "1" });
        scene.obey(other, EnginePhase::Ready);
        Placement to { "d1", { "c", "d" } };
        scene.rules.move = [&](const MoveQuestion& question) {
            EXPECT_EQ(question.wanted.freeDomains.at("d1").hosts, Lines {});
            EXPECT_EQ(question.movable.size(), 1u) << "of the first one a move is running";
            return ReplicaMove { other, to };
        };
        EXPECT_TRUE(scene.all<ClaimProposal>().empty());
        to = { "d2", { "g", "h" } };
        ASSERT_EQ(scene.all<ClaimProposal>().size(), 1u);
        EXPECT_EQ(scene.all<ClaimProposal>().front().replaces, other);
        scene.rules.movesAtOnce = [](const ServiceConfig&, bool) { return 1; };
        EXPECT_TRUE(scene.all<ClaimProposal>().empty()) << "one runs";
    }

}

} // namespace Kumquatpick
