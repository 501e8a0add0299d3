#include "gateway/eventstream.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Kumquatpick {

namespace {

    std::string event(int id) { return "id: " + std::to_string(id) + "\ndata: piece " + std::to_string(id) + "\n\n"; }

    std::string events(int first, int last)
    {
        std::string text;
        for (int id = first; id <= last; ++id)
            text += event(id);
        return text;
    }

}

TEST(EventStream, ReturnsCompleteEventsOnly)
{
    EventStream stream("");
    EXPECT_EQ(stream.consume("id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
    EXPECT_TRUE(stream.hasPartialEvent());
    EXPECT_EQ(stream.lastId(), "1");
    EXPECT_EQ(stream.consume("ta: b\n\n"), "id: 2\ndata: b\n\n");
    EXPECT_FALSE(stream.hasPartialEvent());
}

TEST(EventStream, SkipsEventsThatTheCallerHas)
{
    EventStream stream("2");
    EXPECT_EQ(stream.consume(events(1, 4)), events(3, 4));
}

// A stream that breaks at any position and continues after its last complete event equals one that did not break.
RC_GTEST_PROP(EventStream, ResumesAfterBreakWithoutGapOrRepeat, ())
{
    std::string whole = events(1, 9);
    auto cut = *rc::gen::inRange<size_t>(0, whole.size());
    auto replayFrom = *rc::gen::inRange(1, 3);
    EventStream stream("");
    std::string seen = stream.consume(whole.substr(0, cut));
    stream.dropPartialEvent();
    int last = stream.lastId().empty() ? 0 : std::stoi(stream.lastId());
    // The next server may repeat some events that the caller has received.
    seen += stream.consume(events(std::max(1, last + 2 - replayFrom), 9));
    RC_ASSERT(seen == whole);
}

} // namespace Kumquatpick
