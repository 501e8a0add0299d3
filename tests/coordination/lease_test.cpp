#include "coordination/lease.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace Kumquatpick {

namespace {

    using namespace std::chrono_literals;

    constexpr Milliseconds duration = 5s;
    constexpr Milliseconds margin = 1s;

    struct Node {
        explicit Node(const std::string& name)
            : tracker("controller", NodeId { name, 1 }, duration, margin)
        {
        }

        LeaseTracker tracker;
        Offset readOffset = 0;
    };

    // An append that was sent and has not reached the log yet.
    struct Append {
        std::string id;
        LeaseProposal proposal;
    };

    // Two nodes send proposals, pause, read the log late and lose responses, in any order.
    RC_GTEST_PROP(Lease, AHolderHasStoppedTwoMarginsBeforeTheNextOneStarts, ())
    {
        std::vector<Node> nodes { Node("a"), Node("b") };
        std::vector<LoggedRecord> log;
        std::vector<Append> inFlight;
        State state;
        MonotonicTime now { 1000s };
        std::map<size_t, MonotonicTime> lastUntil;
        for (int step = *rc::gen::inRange(0, 200), serial = 0; step > 0; --step) {
            now += Milliseconds(*rc::gen::inRange(0, 2000));
            auto index = *rc::gen::inRange<size_t>(0, nodes.size());
            Node& node = nodes[index];
            switch (*rc::gen::inRange(0, 4)) {
            case 0:
                if (node.tracker.isProposalDue(now)) {
                    inFlight.push_back({ fmt::format("id{}", serial++), node.tracker.proposal() });
                    node.tracker.recordSend(inFlight.back().id, now);
                }
                break;
            case 1:
                if (!inFlight.empty()) {
                    Append append = inFlight[*rc::gen::inRange<size_t>(0, inFlight.size())];
                    if (*rc::gen::inRange(0, 4) != 0) // Otherwise the same append arrives again later.
                        std::erase_if(inFlight, [&](const Append& other) { return other.id == append.id; });
                    log.push_back({ log.size() + 1, { append.id, append.proposal } });
                }
                break;
            default:
                for (; node.readOffset < log.size(); ++node.readOffset) {
                    State prefix;
                    for (size_t i = 0; i < node.readOffset; ++i)
                        prefix.apply(log[i]);
                    node.tracker.folded(log[node.readOffset], prefix.apply(log[node.readOffset]), now);
                }
            }
            for (size_t i = 0; i < nodes.size(); ++i) {
                auto tenure = nodes[i].tracker.currentTenure(now);
                if (!tenure)
                    continue;
                lastUntil[i] = tenure->until;
                auto other = lastUntil.find(1 - i);
                if (other != lastUntil.end())
                    RC_ASSERT(other->second <= tenure->since - 2 * margin);
            }
        }
    }

    TEST(Lease, IsDueAfterAThirdAndEndsOneMarginEarly)
    {
        LeaseTracker tracker("controller", NodeId { "a", 1 }, duration, margin);
        MonotonicTime start { 1000s };
        EXPECT_TRUE(tracker.isProposalDue(start));
        tracker.recordSend("id", start);
        tracker.folded({ 1, { "id", tracker.proposal() } }, Verdict::Accepted, start + 500ms);
        EXPECT_FALSE(tracker.isProposalDue(start + 1s));
        EXPECT_TRUE(tracker.isProposalDue(start + 2s));
        ASSERT_TRUE(tracker.currentTenure(start + 3s).has_value());
        EXPECT_EQ(tracker.currentTenure(start + 3s)->since, start + 500ms);
        EXPECT_EQ(tracker.currentTenure(start + 3s)->until, start + 4s);
        EXPECT_FALSE(tracker.currentTenure(start + 4s).has_value());
    }

    TEST(Lease, RestoredLeaseCountsFromTheRestoreTime)
    {
        State state;
        state.apply({ 1, { "id", LeaseProposal { "controller", 0, { "b", 1 }, duration } } });
        LeaseTracker tracker("controller", NodeId { "a", 1 }, duration, margin);
        MonotonicTime start { 1000s };
        tracker.restored(state, start);
        EXPECT_FALSE(tracker.isProposalDue(start + duration));
        EXPECT_TRUE(tracker.isProposalDue(start + duration + margin));
        EXPECT_EQ(tracker.proposal().previous, 1u);
        EXPECT_FALSE(tracker.currentTenure(start).has_value());
    }

}

} // namespace Kumquatpick
