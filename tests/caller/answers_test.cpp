#include "caller/answers.h"

#include "caller/abandoned.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Kumquatpick {

namespace {

    const MonotonicTime start { std::chrono::hours(1) };

    StoredAnswer answer(std::string body)
    {
        return { StoredAnswer::Phase::Finished, 200, "text/plain", std::move(body) };
    }

}

TEST(Answers, KeyIsReservedUntilItEnds)
{
    AnswerStore store(1 << 20, Milliseconds(1000));
    AnswerKey key { "k", 1, "board" };
    EXPECT_EQ(store.reserveKey(key, start).state, AnswerStore::State::Unknown);
    EXPECT_EQ(store.reserveKey(key, start).state, AnswerStore::State::Running);
    store.releaseKey(key);
    EXPECT_EQ(store.reserveKey(key, start).state, AnswerStore::State::Unknown);
    store.finish(key, answer("done"), start);
    EXPECT_EQ(store.reserveKey(key, start).answer.body, "done");
    EXPECT_EQ(store.find(AnswerKey::fromLookupText(key.toLookupText()), start).answer.body, "done");
    store.releaseKey(key); // Has no effect on a finished request.
    EXPECT_EQ(store.find(key, start).state, AnswerStore::State::Finished);
    EXPECT_EQ(store.reserveKey({ "k", 2, "board" }, start).state, AnswerStore::State::OtherRequest);
    EXPECT_EQ(store.findByKey("k", "families", start).state, AnswerStore::State::OtherRequest);
    EXPECT_EQ(store.find(key, start + Milliseconds(1000)).state, AnswerStore::State::Unknown);
    EXPECT_EQ(store.bytes(), 0U);
}

RC_GTEST_PROP(Answers, StayWithinByteLimit, (std::vector<uint16_t> sizes))
{
    constexpr size_t limit = 16 * 10'000;
    AnswerStore store(limit, std::chrono::hours(1));
    for (size_t i = 0; i < sizes.size(); ++i) {
        AnswerKey key { "key" + std::to_string(i), i, "board" };
        store.reserveKey(key, start);
        store.finish(key, answer(std::string(sizes[i] % 20'000, 'x')), start);
        RC_ASSERT(store.bytes() <= limit);
        auto found = store.find(key, start);
        RC_ASSERT(found.state == AnswerStore::State::Unknown || found.answer.body.size() == sizes[i] % 20'000);
    }
}

TEST(Answers, UnknownLookupTextFindsNothing)
{
    AnswerStore store(1 << 20, Milliseconds(1000));
    for (std::string_view text : { "", "zz", "0123456789abcdef", "0123456789abcdefkey", "\xff" })
        EXPECT_EQ(store.find(AnswerKey::fromLookupText(text), start).state, AnswerStore::State::Unknown);
}

TEST(AbandonedArrivals, KeepsOnlyTheLatest)
{
    AbandonedArrivals abandoned;
    for (uint64_t serial = 1; serial <= 100'000; ++serial)
        abandoned.add(serial);
    EXPECT_TRUE(abandoned.contains(100'000));
    EXPECT_FALSE(abandoned.contains(1));
}

} // namespace Kumquatpick
