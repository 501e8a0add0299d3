#include "weights/client.h"

#include "membership/fakeserver.h"

#include <gtest/gtest.h>

namespace Kumquatpick {

namespace {

    using namespace std::chrono_literals;

    ErrorCode errorCode(const Address& address)
    {
        auto settled = settle([&] { return WeightStoreClient(address).load(10s); });
        return settled.index() == 1 ? std::get<1>(settled).code : ErrorCode::Internal;
    }

}

// Unreadable bodies, refusals and an unreachable store must be reported with different error codes.
TEST(WeightStoreClient, ReadsTheLoadAndTellsWhyItCannot)
{
    FakeServer store;
    store.answer(200, R"({"bytes_per_second":1000,"readers":3})");
    auto settled = settle([&] { return WeightStoreClient(store.address()).load(10s); });
    ASSERT_EQ(settled.index(), 0U);
    EXPECT_EQ(std::get<0>(settled).bytesPerSecond, 1000U);
    EXPECT_EQ(std::get<0>(settled).readers, 3U);
    for (const char* body : { "", "[]", R"({"bytes_per_second":"much","readers":3})", R"({"readers":3})" }) {
        store.answer(200, body);
        EXPECT_EQ(errorCode(store.address()), ErrorCode::Malformed) << body;
    }
    store.answer(503, "{}");
    EXPECT_EQ(errorCode(store.address()), ErrorCode::Refused);
    store.stop();
    EXPECT_EQ(errorCode(store.address()), ErrorCode::Unreachable);
}

} // namespace Kumquatpick
