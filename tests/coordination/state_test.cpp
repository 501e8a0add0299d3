#include "coordination/state.h"

#include "coordination/snapshot.h"
#include "randomlog.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Kumquatpick {

namespace {

    using namespace Testing;

    // Applies one record per call and returns its verdict.
    class Fold {
    public:
        Verdict operator()(RecordBody body)
        {
            return withId(fmt::format("id{}", m_state.offset() + 1), std::move(body));
        }
        Verdict withId(std::string id, RecordBody body)
        {
            return m_state.apply({ m_state.offset() + 1, { std::move(id), std::move(body) } });
        }
        State* operator->() { return &m_state; }
        State& operator*() { return m_state; }

    private:
        State m_state;
    };

    ClaimProposal claimOf(std::string replica, std::vector<std::string> hosts)
    {
        std::vector<uint64_t> incarnations(hosts.size(), 1);
        return { "writers", std::move(replica), "howrah", "d1", std::move(hosts), std::move(incarnations), "kumquat",
            "1" };
    }

    State restored(const SnapshotProposal& proposal)
    {
        auto state = settle([&] { return State::restore(proposal); });
        RC_ASSERT(std::holds_alternative<State>(state));
        return std::get<State>(state);
    }

    State restoredFrom(const State& state)
    {
        SnapshotAssembler assembler;
        std::optional<SnapshotProposal> whole;
        for (const SnapshotProposal& part : snapshotParts(state, "series", 100))
            whole = assembler.add(part);
        RC_ASSERT(whole.has_value());
        return restored(*whole);
    }

    RC_GTEST_PROP(State, IsTheSameAfterAnySnapshotAndRedelivery, ())
    {
        auto log = anyLog();
        State whole = stateAfter(log);
        auto cut = *rc::gen::inRange<size_t>(0, log.size());
        State reader = restoredFrom(stateAfter({ log.begin(), log.begin() + static_cast<long>(cut) }));
        for (size_t i = *rc::gen::inRange<size_t>(0, cut + 1); i < log.size(); ++i) {
            reader.apply(log[i]);
            RC_ASSERT(reader.apply(log[*rc::gen::inRange<size_t>(0, i + 1)]) == Verdict::Duplicate);
        }
        RC_ASSERT(reader.snapshot() == whole.snapshot());
        // Compared separately from the snapshots, which would both lack a field that is not encoded.
        for (uint32_t slot = 0; slot < slotCount; ++slot)
            RC_ASSERT(reader.slots().assignment(slot) == whole.slots().assignment(slot));
    }

    RC_GTEST_PROP(State, NoHostIsInTwoClaimsAndNoReplicaHeldTwice, ())
    {
        State state;
        for (const LoggedRecord& record : anyLog()) {
            state.apply(record);
            std::set<std::string> hosts;
            std::set<std::string> replicas;
            for (const auto& [offset, claim] : state.claims()) {
                RC_ASSERT(!claim.hostsHeld.empty());
                if (claim.phase == ClaimPhase::Held) {
                    RC_ASSERT(replicas.insert(claim.proposal.replica).second);
                    RC_ASSERT(claim.hostsHeld.size() == claim.proposal.hosts.size());
                }
                for (const std::string& host : claim.hostsHeld) {
                    RC_ASSERT(hosts.insert(host).second);
                    RC_ASSERT(state.holder(host) == &claim);
                }
            }
        }
    }

    RC_GTEST_PROP(State, ConfigVersionNeverDecreases, ())
    {
        auto log = anyLog();
        State ahead = stateAfter(log);
        State reader;
        Offset seen = 0;
        for (const LoggedRecord& record : log) {
            if (ahead.config() && *rc::gen::inRange(0, 4) == 0)
                reader.adoptConfig(ahead.config()->version, ahead.config()->text);
            reader.apply(record);
            Offset version = reader.config() ? reader.config()->version : 0;
            RC_ASSERT(version >= seen);
            seen = version;
        }
        RC_ASSERT(reader.snapshot() == ahead.snapshot());
    }

    TEST(Config, OneOfTwoConcurrentProposalsIsAccepted)
    {
        Fold fold;
        EXPECT_EQ(fold(ConfigProposal { 0, operatorsText(1), "first" }), Verdict::Accepted);
        EXPECT_EQ(fold(ConfigProposal { 1, operatorsText(2), "winner" }), Verdict::Accepted);
        EXPECT_EQ(fold(ConfigProposal { 1, operatorsText(3), "loser" }), Verdict::Outdated);
        EXPECT_EQ(fold(ConfigProposal { 2, "[[service", "unreadable" }), Verdict::Invalid);
        EXPECT_EQ(fold->config()->version, 2u);
        EXPECT_EQ(fold->config()->text, operatorsText(2));
    }

    TEST(Config, AdoptedConfigDoesNotAffectEarlierRecords)
    {
        Fold fold;
        fold(ConfigProposal { 0, operatorsText(1), "op" });
        EXPECT_TRUE(fold->adoptConfig(3, operatorsText(3)));
        EXPECT_FALSE(fold->adoptConfig(2, operatorsText(2)));
        EXPECT_EQ(fold(ConfigProposal { 1, operatorsText(2), "op" }), Verdict::Accepted);
        EXPECT_EQ(fold->config()->version, 3u);
        EXPECT_EQ(fold(ConfigProposal { 2, operatorsText(3), "op" }), Verdict::Accepted);
        EXPECT_EQ(fold(ConfigProposal { 3, operatorsText(4), "op" }), Verdict::Accepted);
        EXPECT_EQ(fold->config()->version, 4u);
        EXPECT_FALSE(fold->adoptConfig(3, operatorsText(3)));
    }

    TEST(Claims, TakeAllHostsOrNone)
    {
        Fold fold;
        EXPECT_EQ(fold(claimOf("r0", { "a", "b" })), Verdict::Accepted);
        EXPECT_EQ(fold(claimOf("r1", { "c", "b" })), Verdict::Outdated);
        EXPECT_EQ(fold->holder("c"), nullptr);
        EXPECT_EQ(fold(claimOf("r0", { "c", "d" })), Verdict::Outdated) << "the replica name is held already";
        EXPECT_EQ(fold(claimOf("r1", { "c", "c" })), Verdict::Invalid);
        EXPECT_EQ(fold(claimOf("r1", { "c", "d" })), Verdict::Accepted);
    }

    TEST(Claims, HostsAreFreeOnlyAfterEndAndRelease)
    {
        Fold fold;
        fold(claimOf("r0", { "a", "b" }));
        EXPECT_EQ(fold(HostsFreedProposal { 1, { "a" }, FreedReason::EngineConfirmed }), Verdict::Outdated);
        EXPECT_EQ(fold(ClaimEndProposal { 1, "scale_down" }), Verdict::Accepted);
        EXPECT_EQ(fold(ClaimEndProposal { 1, "scale_down" }), Verdict::Outdated);
        EXPECT_EQ(fold(claimOf("r1", { "a" })), Verdict::Outdated);
        EXPECT_EQ(fold(HostsFreedProposal { 1, { "a" }, FreedReason::EngineConfirmed }), Verdict::Accepted);
        EXPECT_EQ(fold(claimOf("r1", { "a" })), Verdict::Accepted);
        EXPECT_EQ(fold(HostsFreedProposal { 1, { "b" }, FreedReason::HostDead }), Verdict::Accepted);
        EXPECT_FALSE(fold->claims().contains(1)) << "a claim without hosts is removed";
    }

    TEST(Claims, ALateReleaseOfAnOlderClaimDoesNotFreeTheNewOne)
    {
        Fold fold;
        fold(claimOf("r0", { "a", "b" }));
        fold(ClaimEndProposal { 1, "host_dead" });
        fold(HostsFreedProposal { 1, { "a" }, FreedReason::EngineConfirmed });
        EXPECT_EQ(fold(claimOf("r1", { "a" })), Verdict::Accepted);
        fold(ClaimEndProposal { 4, "scale_down" });
        EXPECT_EQ(fold(HostsFreedProposal { 1, { "a" }, FreedReason::EngineConfirmed }), Verdict::Outdated);
        ASSERT_NE(fold->holder("a"), nullptr);
        EXPECT_EQ(fold->holder("a")->offset, 4u);
    }

    TEST(Leases, OnlyTheLatestOffsetIsRenewed)
    {
        Fold fold;
        NodeId first { "n1", 1 };
        NodeId second { "n2", 2 };
        EXPECT_EQ(fold(LeaseProposal { "controller", 0, first, Milliseconds(5000) }), Verdict::Accepted);
        EXPECT_EQ(fold(LeaseProposal { "controller", 0, second, Milliseconds(5000) }), Verdict::Outdated);
        EXPECT_EQ(fold(LeaseProposal { "controller", 1, second, Milliseconds(5000) }), Verdict::Accepted);
        EXPECT_EQ(fold->lease("controller")->holder, second);
        EXPECT_EQ(fold->lease("other"), nullptr);
    }

    TEST(Duplicates, KeepTheFirstVerdictAcrossASnapshot)
    {
        Fold fold;
        fold.withId("publish", ConfigProposal { 0, operatorsText(1), "op" });
        State reader = restoredFrom(*fold);
        ASSERT_TRUE(reader.decided("publish").has_value());
        EXPECT_EQ(reader.decided("publish")->verdict, Verdict::Accepted);
        EXPECT_EQ(reader.apply({ 2, { "publish", claimOf("r0", { "a" }) } }), Verdict::Duplicate);
        EXPECT_EQ(reader.holder("a"), nullptr);
        EXPECT_EQ(reader.offset(), 2u);
    }

    TEST(Snapshots, OutdatedSnapshotChangesNothing)
    {
        Fold fold;
        fold(ConfigProposal { 0, operatorsText(1), "op" });
        auto stale = snapshotParts(*fold, "stale");
        fold(ConfigProposal { 1, operatorsText(2), "op" });
        fold(claimOf("r0", { "a" }));
        EXPECT_EQ(fold(stale.front()), Verdict::Accepted);
        EXPECT_EQ(fold->config()->version, 2u);
        EXPECT_NE(fold->holder("a"), nullptr);
        EXPECT_EQ(fold->snapshotCovers(), 1u);
        EXPECT_EQ(fold(SnapshotProposal { 99, "future", 0, 1, "" }), Verdict::Invalid);
    }

    TEST(Snapshots, RecordAfterAGapIsInvalid)
    {
        State state;
        EXPECT_EQ(state.apply({ 2, { "id", claimOf("r0", { "a" }) } }), Verdict::Invalid);
        EXPECT_EQ(state.offset(), 0u);
        state.skip(1);
        EXPECT_EQ(state.apply({ 2, { "id", claimOf("r0", { "a" }) } }), Verdict::Accepted);
    }

    TEST(Snapshots, PartsOfOtherSeriesOrOutOfOrderDoNotMix)
    {
        Fold fold;
        fold(ConfigProposal { 0, operatorsText(1), "op" });
        auto parts = snapshotParts(*fold, "a", 64);
        ASSERT_GT(parts.size(), 2u);
        SnapshotAssembler assembler;
        EXPECT_FALSE(assembler.add(parts[1])) << "the first part of the series is missing";
        std::optional<SnapshotProposal> whole;
        for (SnapshotProposal part : parts) {
            whole = assembler.add(part);
            part.series = "b";
            part.state = "other";
            if (part.part == 0)
                assembler.add(part);
        }
        ASSERT_TRUE(whole.has_value());
        EXPECT_EQ(whole->state, fold->snapshot());
    }

    TEST(Snapshots, LeaseHolderTakesSnapshotsBeforeOthers)
    {
        SnapshotConditions conditions { Milliseconds(1000), Milliseconds(300), false, true, 0 };
        EXPECT_TRUE(isSnapshotDue(conditions));
        conditions.holdsLease = false;
        EXPECT_FALSE(isSnapshotDue(conditions));
        conditions.oldestUncoveredAge = Milliseconds(600);
        EXPECT_TRUE(isSnapshotDue(conditions));
        conditions.spread = 1;
        EXPECT_FALSE(isSnapshotDue(conditions));
        conditions.uncoveredExpired = true;
        EXPECT_TRUE(isSnapshotDue(conditions));
    }

}

} // namespace Kumquatpick
