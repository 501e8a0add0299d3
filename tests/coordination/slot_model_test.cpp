#include "coordination/slotmodel.h"

#include <cstdlib>
#include <fmt/format.h>
#include <future>
#include <gtest/gtest.h>
#include <map>

namespace Kumquatpick {

namespace {

    SlotModelBounds calm()
    {
        SlotModelBounds bounds;
        bounds.crashes = 0;
        return bounds;
    }

    SlotModelBounds oneCrash() { return {}; }

    SlotModelBounds retryAfterRefusal()
    {
        SlotModelBounds bounds = calm();
        bounds.attempts = { 1, 2 };
        return bounds;
    }

    SlotModelBounds threeArrivals()
    {
        SlotModelBounds bounds = calm();
        bounds.attempts = { 1, 1, 2 };
        bounds.mayGiveUp = { 0 };
        bounds.takeovers = { { 1, 0, 0, 2 }, { 1, 1, 1, 2 } };
        return bounds;
    }

    SlotModelBounds threeEpochs()
    {
        SlotModelBounds bounds = calm();
        bounds.attempts = { 1 };
        bounds.epochs = 3;
        return bounds;
    }

    SlotModelBounds threeEpochsTwoArrivals()
    {
        SlotModelBounds bounds = calm();
        bounds.epochs = 3;
        bounds.mayGiveUp = { 0 };
        bounds.takeovers = { { 1, 0, 0, 2 }, { 1, 1, 1, 2 }, { 2, 0, 0, 1 }, { 2, 1, 1, 0 }, { 2, 2, 2, 1 } };
        return bounds;
    }

    SlotModelBounds anyHandover()
    {
        SlotModelBounds bounds = calm();
        bounds.handsOver = true;
        bounds.mayGiveUp = { 0 };
        return bounds;
    }

    SlotModelBounds changesItsMind()
    {
        SlotModelBounds bounds = calm();
        bounds.rechoosesPartner = true;
        bounds.mayGiveUp = { 0 };
        return bounds;
    }

    SlotModelBounds aloneAndRestarted()
    {
        SlotModelBounds bounds;
        bounds.goesAlone = true;
        bounds.mayGiveUp = { 0 };
        return bounds;
    }

    SlotModelBounds bothLost()
    {
        SlotModelBounds bounds;
        bounds.crashes = 2;
        bounds.mayCrash = { 0, 1 };
        bounds.replaces = false;
        return bounds;
    }

    SlotModelBounds bothLostWhileReplaced()
    {
        SlotModelBounds bounds = bothLost();
        bounds.replaces = true;
        bounds.mayGiveUp = { 0 };
        return bounds;
    }

    SlotModelBounds restarted()
    {
        SlotModelBounds bounds;
        bounds.mayCrash = { 0 };
        bounds.takeovers = { { 1, 1, 1, 2 } };
        return bounds;
    }

    SlotModelBounds handedOver()
    {
        SlotModelBounds bounds = calm();
        bounds.takeovers = { { 1, 0, 2, 1 }, { 1, 1, 2, 0 } };
        return bounds;
    }

    // Both members propose the same partner. The copy of the one whose proposal is rejected must not be used instead of
    // the other's.
    SlotModelBounds bothPropose()
    {
        SlotModelBounds bounds = calm();
        bounds.epochs = 3;
        bounds.takeovers = { { 1, 0, 0, 2 }, { 1, 1, 1, 2 }, { 2, 2, 2, 1 } };
        bounds.mayGiveUp = { 0 };
        return bounds;
    }

    SlotModelBounds partnerBecomesOwner()
    {
        SlotModelBounds bounds = bothPropose();
        bounds.takeovers = { { 1, 0, 1, 2 }, { 2, 2, 2, 0 } };
        return bounds;
    }

    SlotModelBounds samePairAgain()
    {
        SlotModelBounds bounds = bothPropose();
        bounds.takeovers = { { 1, 0, 0, 1 }, { 2, 1, 1, 2 } };
        return bounds;
    }

    SlotModelBounds lateRecord()
    {
        SlotModelBounds bounds = calm();
        bounds.attempts = { 1, 2, 2 };
        bounds.mayGiveUp = { 0 };
        bounds.takeovers = { { 1, 1, 1, 2 } };
        return bounds;
    }

    // The key is issued three seconds after the earliest time of a reset.
    SlotModelBounds resetAndLaterKey()
    {
        SlotModelBounds bounds = calm();
        bounds.replaces = false;
        bounds.issued = Milliseconds(3'000);
        bounds.clocks = { Milliseconds(0), Milliseconds(3'000) };
        bounds.clocksAgree = true;
        return bounds;
    }

    SlotModelBounds fromTheFuture()
    {
        SlotModelBounds bounds = resetAndLaterKey();
        bounds.crashes = 2;
        bounds.mayCrash = { 0, 1 };
        return bounds;
    }

    // Each clock reading gives either the start time or a time past the retention.
    SlotModelBounds forgetting()
    {
        SlotModelBounds bounds = calm();
        bounds.forgets = true;
        bounds.clocks = { Milliseconds(0), Milliseconds(12'000) };
        bounds.epochs = 1;
        return bounds;
    }

    // The witness, whose clock is ahead, drops entries and hands the slot over to nodes whose clocks are not ahead.
    SlotModelBounds forgettingAcrossEpochs()
    {
        SlotModelBounds bounds = forgetting();
        bounds.epochs = 2;
        bounds.mayGiveUp = {};
        bounds.takeovers = { { 1, 1, 2, 0 } };
        return bounds;
    }

    using BoundsOf = SlotModelBounds (*)();

    void print(std::string_view name, const SlotModelResult& result)
    {
        fmt::print(
            "{}: {} states, {} steps, depth {}, {}; {} states with a dispatch, {} with a refusal; highest epoch {}\n",
            name, result.states, result.steps, result.depth, result.isComplete ? "complete" : "incomplete",
            result.dispatches, result.refusals, result.epochsReached);
        for (const std::string& line : result.trace)
            fmt::print("    {}\n", line);
    }

    // Several guard tests use the same bounds. The exploration with all guards enabled is run once and shared.
    std::shared_future<SlotModelResult> resultOf(BoundsOf boundsOf)
    {
        static std::map<BoundsOf, std::shared_future<SlotModelResult>> results;
        auto [found, isNew] = results.try_emplace(boundsOf);
        if (isNew)
            found->second = std::async(std::launch::async, [boundsOf] { return exploreSlotModel(boundsOf()); });
        return found->second;
    }

} // namespace

struct SpaceCase {
    const char* name;
    BoundsOf boundsOf;
};

class SlotModelSpace : public testing::TestWithParam<SpaceCase> {
protected:
    // The largest space is explored in parallel with the others.
    static void SetUpTestSuite() { resultOf(oneCrash); }
};

// Explores each space completely and checks that no interleaving violates at-most-once execution.
TEST_P(SlotModelSpace, KeepsItsPromisesInEveryInterleaving)
{
    const SlotModelResult result = resultOf(GetParam().boundsOf).get();
    print(GetParam().name, result);
    EXPECT_EQ(result.violation, "");
    EXPECT_TRUE(result.isComplete);
    EXPECT_GT(result.dispatches, 0U);
}

INSTANTIATE_TEST_SUITE_P(Slots, SlotModelSpace,
    testing::Values(SpaceCase { "RetryAfterRefusal", retryAfterRefusal }, SpaceCase { "ThreeArrivals", threeArrivals },
        SpaceCase { "ThreeEpochs", threeEpochs }, SpaceCase { "ThreeEpochsTwoArrivals", threeEpochsTwoArrivals },
        SpaceCase { "AnyHandover", anyHandover }, SpaceCase { "ChangesItsMind", changesItsMind },
        SpaceCase { "AloneAndRestarted", aloneAndRestarted },
        SpaceCase { "BothLostWhileReplaced", bothLostWhileReplaced }, SpaceCase { "OneCrash", oneCrash }),
    [](const auto& info) { return info.param.name; });

// Guards that cover for each other are disabled together.
struct GuardCase {
    const char* name;
    std::vector<bool SlotGuards::*> guards;
    BoundsOf boundsOf;
};

class SlotModelGuard : public testing::TestWithParam<GuardCase> { };

// Guards against a model checker that finds no violations: with a guard disabled, it must find one.
TEST_P(SlotModelGuard, WithoutItAPromiseIsBroken)
{
    const GuardCase& guardCase = GetParam();
    const SlotModelResult whole = resultOf(guardCase.boundsOf).get();
    EXPECT_EQ(whole.violation, "");
    EXPECT_TRUE(whole.isComplete);
    SlotModelBounds bounds = guardCase.boundsOf();
    for (auto guard : guardCase.guards)
        bounds.guards.*guard = false;
    SlotModelResult result = exploreSlotModel(bounds);
    fmt::print("without {}: {} after at least {} steps ({} states); with it no violation in all {} states\n",
        guardCase.name, result.violation, result.depth, result.states, whole.states);
    for (const std::string& line : result.trace)
        fmt::print("    {}\n", line);
    EXPECT_NE(result.violation, "");
    EXPECT_EQ(result.trace.size(), result.depth);
}

INSTANTIATE_TEST_SUITE_P(Slots, SlotModelGuard,
    testing::Values(GuardCase { "GrantWaitsForWitness", { &SlotGuards::grantWaitsForWitness }, calm },
        GuardCase { "VoidWaitsForWitness", { &SlotGuards::voidWaitsForWitness }, calm },
        GuardCase { "MembersAreIncarnations", { &SlotGuards::membersAreIncarnations }, restarted },
        GuardCase { "SealRefusesRecords", { &SlotGuards::sealRefusesRecords }, handedOver },
        GuardCase { "SealedSaysNoVerdict", { &SlotGuards::sealedSaysNoVerdict }, handedOver },
        GuardCase {
            "CopyBeforeProposal", { &SlotGuards::proposeAfterCopy, &SlotGuards::memberNeedsJournal }, handedOver },
        GuardCase { "CopyPerProposer", { &SlotGuards::copyPerProposer }, bothPropose },
        GuardCase { "StartsFromProposersCopy", { &SlotGuards::startsFromProposersCopy }, partnerBecomesOwner },
        GuardCase { "RecordsNameTheirEpoch", { &SlotGuards::recordsNameTheirEpoch }, samePairAgain },
        GuardCase { "AttemptsAreOrdered", { &SlotGuards::attemptsAreOrdered }, calm },
        GuardCase { "OnlyTheHolderVoidsItsGrant", { &SlotGuards::onlyTheHolderVoidsItsGrant }, calm },
        GuardCase { "LateGrantIsUnused", { &SlotGuards::lateGrantIsUnused }, calm },
        GuardCase { "WitnessKeepsTheLatest", { &SlotGuards::witnessKeepsTheLatest }, lateRecord },
        GuardCase { "ResetNeedsProof", { &SlotGuards::resetNeedsProof }, resetAndLaterKey },
        GuardCase { "LostKeysExpire", { &SlotGuards::lostKeysExpire }, bothLost },
        GuardCase { "FutureKeysWait", { &SlotGuards::futureKeysWait }, fromTheFuture },
        GuardCase { "ForgottenKeysExpire", { &SlotGuards::forgottenKeysExpire }, forgetting },
        GuardCase { "CopyTellsWhatIsForgotten", { &SlotGuards::copyTellsWhatIsForgotten }, forgettingAcrossEpochs }),
    [](const auto& info) { return info.param.name; });

// Too large to be explored completely: two crashes, three epochs, three arrivals and every choice of partner.
SlotModelBounds large()
{
    SlotModelBounds bounds;
    bounds.attempts = { 1, 1, 2 };
    bounds.epochs = 3;
    bounds.crashes = 2;
    bounds.handsOver = true;
    bounds.goesAlone = true;
    bounds.rechoosesPartner = true;
    return bounds;
}

// CI uses the default size; the environment variable allows longer manual runs.
size_t sizeFrom(const char* variable, size_t usual)
{
    const char* wanted = std::getenv(variable);
    return wanted ? std::stoull(wanted) : usual;
}

// Checks interleavings that lie deeper in the large space than complete exploration reaches.
TEST(SlotModel, KeepsItsPromisesInLongRandomWalks)
{
    size_t steps = sizeFrom("KUMQUATPICK_SLOT_WALK_STEPS", 300'000);
    SlotModelResult result = walkSlotModel(large(), 20261202, 120, steps);
    print("random walks", result);
    EXPECT_EQ(result.violation, "");
    EXPECT_EQ(result.epochsReached, 3U);
    EXPECT_GT(result.dispatches, 0U);
    EXPECT_GT(result.refusals, 0U);
}

// Checks all interleavings of the large space up to a limited number of states.
TEST(SlotModel, KeepsItsPromisesInTheFirstStatesOfALargeSpace)
{
    SlotModelBounds bounds = large();
    bounds.stateLimit = sizeFrom("KUMQUATPICK_SLOT_STATES", 300'000);
    SlotModelResult result = exploreSlotModel(bounds);
    print("large space", result);
    EXPECT_EQ(result.violation, "");
}

} // namespace Kumquatpick
