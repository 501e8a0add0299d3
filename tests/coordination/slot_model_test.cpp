#include "coordination/slotmodel.h"

#include <cstdlib>
#include <fmt/format.h>
#include <future>
#include <gtest/gtest.h>
#include <map>

namespace Kumquatpick {

namespace {

    SlotModelBounds noCrash()
    {
        SlotModelBounds bounds;
        bounds.crashes = 0;
        return bounds;
    }

    SlotModelBounds oneCrash() { return {}; }

    SlotModelBounds retryAfterRefusal()
    {
        SlotModelBounds bounds = noCrash();
        bounds.attempts = { 1, 2 };
        return bounds;
    }

    SlotModelBounds threeArrivals()
    {
        SlotModelBounds bounds = noCrash();
        bounds.attempts = { 1, 1, 2 };
        bounds.mayCancel = { 0 };
        bounds.takeovers = { { 1, 0, 0, 2 }, { 1, 1, 1, 2 } };
        return bounds;
    }

    SlotModelBounds threeEpochs()
    {
        SlotModelBounds bounds = noCrash();
        bounds.attempts = { 1 };
        bounds.epochs = 3;
        return bounds;
    }

    SlotModelBounds threeEpochsTwoArrivals()
    {
        SlotModelBounds bounds = noCrash();
        bounds.epochs = 3;
        bounds.mayCancel = { 0 };
        bounds.takeovers = { { 1, 0, 0, 2 }, { 1, 1, 1, 2 }, { 2, 0, 0, 1 }, { 2, 1, 1, 0 }, { 2, 2, 2, 1 } };
        return bounds;
    }

    SlotModelBounds anyHandover()
    {
        SlotModelBounds bounds = noCrash();
        bounds.mayHandOver = true;
        bounds.mayCancel = { 0 };
        return bounds;
    }

    SlotModelBounds changedProposedPair()
    {
        SlotModelBounds bounds = noCrash();
        bounds.changesProposedPair = true;
        bounds.mayCancel = { 0 };
        return bounds;
    }

    SlotModelBounds restartWithoutWitness()
    {
        SlotModelBounds bounds;
        bounds.mayLackWitness = true;
        bounds.mayCancel = { 0 };
        return bounds;
    }

    SlotModelBounds bothMembersCrash()
    {
        SlotModelBounds bounds;
        bounds.crashes = 2;
        bounds.mayCrash = { 0, 1 };
        bounds.replacesPartner = false;
        return bounds;
    }

    SlotModelBounds bothMembersCrashDuringReplacement()
    {
        SlotModelBounds bounds = bothMembersCrash();
        bounds.replacesPartner = true;
        bounds.mayCancel = { 0 };
        return bounds;
    }

    SlotModelBounds ownerRestarts()
    {
        SlotModelBounds bounds;
        bounds.mayCrash = { 0 };
        bounds.takeovers = { { 1, 1, 1, 2 } };
        return bounds;
    }

    SlotModelBounds bothHandOver()
    {
        SlotModelBounds bounds = noCrash();
        bounds.takeovers = { { 1, 0, 2, 1 }, { 1, 1, 2, 0 } };
        return bounds;
    }

    // Both members propose the same partner. The copy of the one whose proposal is rejected must not be used instead of
    // the other's.
    SlotModelBounds bothMembersPropose()
    {
        SlotModelBounds bounds = noCrash();
        bounds.epochs = 3;
        bounds.takeovers = { { 1, 0, 0, 2 }, { 1, 1, 1, 2 }, { 2, 2, 2, 1 } };
        bounds.mayCancel = { 0 };
        return bounds;
    }

    SlotModelBounds witnessBecomesOwner()
    {
        SlotModelBounds bounds = bothMembersPropose();
        bounds.takeovers = { { 1, 0, 1, 2 }, { 2, 2, 2, 0 } };
        return bounds;
    }

    SlotModelBounds samePairAgain()
    {
        SlotModelBounds bounds = bothMembersPropose();
        bounds.takeovers = { { 1, 0, 0, 1 }, { 2, 1, 1, 2 } };
        return bounds;
    }

    SlotModelBounds delayedRecord()
    {
        SlotModelBounds bounds = noCrash();
        bounds.attempts = { 1, 2, 2 };
        bounds.mayCancel = { 0 };
        bounds.takeovers = { { 1, 1, 1, 2 } };
        return bounds;
    }

    // The key is issued three seconds after the earliest time of a reset.
    SlotModelBounds keyIssuedAfterReset()
    {
        SlotModelBounds bounds = noCrash();
        bounds.replacesPartner = false;
        bounds.issuedOffset = Milliseconds(3'000);
        bounds.clocks = { Milliseconds(0), Milliseconds(3'000) };
        bounds.hasSharedClock = true;
        return bounds;
    }

    SlotModelBounds keyFromTheFuture()
    {
        SlotModelBounds bounds = keyIssuedAfterReset();
        bounds.crashes = 2;
        bounds.mayCrash = { 0, 1 };
        return bounds;
    }

    // Each clock reading gives either the start time or a time past the retention.
    SlotModelBounds expiry()
    {
        SlotModelBounds bounds = noCrash();
        bounds.dropsExpired = true;
        bounds.clocks = { Milliseconds(0), Milliseconds(12'000) };
        bounds.epochs = 1;
        return bounds;
    }

    // The witness, whose clock is ahead, drops entries and hands the slot over to nodes whose clocks are not ahead.
    SlotModelBounds expiryAcrossEpochs()
    {
        SlotModelBounds bounds = expiry();
        bounds.epochs = 2;
        bounds.mayCancel = {};
        bounds.takeovers = { { 1, 1, 2, 0 } };
        return bounds;
    }

    using BoundsFactory = SlotModelBounds (*)();

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
    std::shared_future<SlotModelResult> resultOf(BoundsFactory makeBounds)
    {
        static std::map<BoundsFactory, std::shared_future<SlotModelResult>> results;
        auto [found, isNew] = results.try_emplace(makeBounds);
        if (isNew)
            found->second = std::async(std::launch::async, [makeBounds] { return exploreSlotModel(makeBounds()); });
        return found->second;
    }

} // namespace

struct SpaceCase {
    const char* name;
    BoundsFactory makeBounds;
};

class SlotModelSpace : public testing::TestWithParam<SpaceCase> {
protected:
    // The largest space is explored in parallel with the others.
    static void SetUpTestSuite() { resultOf(oneCrash); }
};

// Explores each space completely and checks that no interleaving violates at-most-once execution.
TEST_P(SlotModelSpace, NoViolationInAnyInterleaving)
{
    const SlotModelResult result = resultOf(GetParam().makeBounds).get();
    print(GetParam().name, result);
    EXPECT_EQ(result.violation, "");
    EXPECT_TRUE(result.isComplete);
    EXPECT_GT(result.dispatches, 0U);
}

INSTANTIATE_TEST_SUITE_P(Slots, SlotModelSpace,
    testing::Values(SpaceCase { "RetryAfterRefusal", retryAfterRefusal }, SpaceCase { "ThreeArrivals", threeArrivals },
        SpaceCase { "ThreeEpochs", threeEpochs }, SpaceCase { "ThreeEpochsTwoArrivals", threeEpochsTwoArrivals },
        SpaceCase { "AnyHandover", anyHandover }, SpaceCase { "ChangedProposedPair", changedProposedPair },
        SpaceCase { "RestartWithoutWitness", restartWithoutWitness },
        SpaceCase { "BothMembersCrashDuringReplacement", bothMembersCrashDuringReplacement },
        SpaceCase { "OneCrash", oneCrash }),
    [](const auto& info) { return info.param.name; });

// Guards that cover for each other are disabled together.
struct GuardCase {
    const char* name;
    std::vector<bool SlotGuards::*> guards;
    BoundsFactory makeBounds;
};

class SlotModelGuard : public testing::TestWithParam<GuardCase> { };

// Guards against a model checker that finds no violations: with a guard disabled, it must find one.
TEST_P(SlotModelGuard, DisablingItCausesAViolation)
{
    const GuardCase& guardCase = GetParam();
    const SlotModelResult baseline = resultOf(guardCase.makeBounds).get();
    EXPECT_EQ(baseline.violation, "");
    EXPECT_TRUE(baseline.isComplete);
    SlotModelBounds bounds = guardCase.makeBounds();
    for (auto guard : guardCase.guards)
        bounds.guards.*guard = false;
    SlotModelResult result = exploreSlotModel(bounds);
    fmt::print("without {}: {} after at least {} steps ({} states); with it no violation in all {} states\n",
        guardCase.name, result.violation, result.depth, result.states, baseline.states);
    for (const std::string& line : result.trace)
        fmt::print("    {}\n", line);
    EXPECT_NE(result.violation, "");
    EXPECT_EQ(result.trace.size(), result.depth);
}

INSTANTIATE_TEST_SUITE_P(Slots, SlotModelGuard,
    testing::Values(GuardCase { "GrantWaitsForWitness", { &SlotGuards::grantWaitsForWitness }, noCrash },
        GuardCase { "VoidWaitsForWitness", { &SlotGuards::voidWaitsForWitness }, noCrash },
        GuardCase { "MembersMatchByIncarnation", { &SlotGuards::membersMatchByIncarnation }, ownerRestarts },
        GuardCase { "SealedWitnessRejectsRecords", { &SlotGuards::sealedWitnessRejectsRecords }, bothHandOver },
        GuardCase { "SealedOwnerGivesNoVerdict", { &SlotGuards::sealedOwnerGivesNoVerdict }, bothHandOver },
        GuardCase {
            "CopyBeforeProposal", { &SlotGuards::proposeAfterCopy, &SlotGuards::memberNeedsJournal }, bothHandOver },
        GuardCase { "CopiesKeyedByProposer", { &SlotGuards::copiesKeyedByProposer }, bothMembersPropose },
        GuardCase {
            "EpochStartsFromProposersCopy", { &SlotGuards::epochStartsFromProposersCopy }, witnessBecomesOwner },
        GuardCase { "RecordsCheckEpoch", { &SlotGuards::recordsCheckEpoch }, samePairAgain },
        GuardCase { "VoidedAttemptsAreRefused", { &SlotGuards::voidedAttemptsAreRefused }, noCrash },
        GuardCase { "OnlyHolderVoidsGrant", { &SlotGuards::onlyHolderVoidsGrant }, noCrash },
        GuardCase { "CancelledArrivalIgnoresGrant", { &SlotGuards::cancelledArrivalIgnoresGrant }, noCrash },
        GuardCase { "WitnessKeepsLatestEntry", { &SlotGuards::witnessKeepsLatestEntry }, delayedRecord },
        GuardCase { "ResetNeedsProof", { &SlotGuards::resetNeedsProof }, keyIssuedAfterReset },
        GuardCase { "KeysBeforeResetExpire", { &SlotGuards::keysBeforeResetExpire }, bothMembersCrash },
        GuardCase { "FutureKeysAreDeferred", { &SlotGuards::futureKeysAreDeferred }, keyFromTheFuture },
        GuardCase { "KeysPastRetentionExpire", { &SlotGuards::keysPastRetentionExpire }, expiry },
        GuardCase { "CopyCarriesForgottenBefore", { &SlotGuards::copyCarriesForgottenBefore }, expiryAcrossEpochs }),
    [](const auto& info) { return info.param.name; });

// Too large to be explored completely: two crashes, three epochs, three arrivals and every choice of partner.
SlotModelBounds largeSpace()
{
    SlotModelBounds bounds;
    bounds.attempts = { 1, 1, 2 };
    bounds.epochs = 3;
    bounds.crashes = 2;
    bounds.mayHandOver = true;
    bounds.mayLackWitness = true;
    bounds.changesProposedPair = true;
    return bounds;
}

// CI uses the default size; the environment variable allows longer manual runs.
size_t sizeFromEnvironment(const char* variable, size_t defaultSize)
{
    const char* value = std::getenv(variable);
    return value ? std::stoull(value) : defaultSize;
}

// Checks interleavings that lie deeper in the large space than complete exploration reaches.
TEST(SlotModel, NoViolationInLongRandomWalks)
{
    size_t steps = sizeFromEnvironment("KUMQUATPICK_SLOT_WALK_STEPS", 300'000);
    SlotModelResult result = walkSlotModel(largeSpace(), 20261202, 120, steps);
    print("random walks", result);
    EXPECT_EQ(result.violation, "");
    EXPECT_EQ(result.epochsReached, 3U);
    EXPECT_GT(result.dispatches, 0U);
    EXPECT_GT(result.refusals, 0U);
}

// Checks all interleavings of the large space up to a limited number of states.
TEST(SlotModel, NoViolationInTheFirstStatesOfALargeSpace)
{
    SlotModelBounds bounds = largeSpace();
    bounds.stateLimit = sizeFromEnvironment("KUMQUATPICK_SLOT_STATES", 300'000);
    SlotModelResult result = exploreSlotModel(bounds);
    print("large space", result);
    EXPECT_EQ(result.violation, "");
}

} // namespace Kumquatpick
