#include "weights/client.h"

#include "membership/fakeserver.h"

#include <gtest/gtest.h>

namespace Kumquatpick {

namespace {

    using namespace std::chrono_literals;

    ErrorCode loadErrorCode(const Address& address)
    {
        auto result = settle([&] { return WeightStoreClient(address).readLoad(10s); });
        return result.index() == 1 ? std::get<1>(result).code : ErrorCode::Internal;
    }

}

// Unreadable bodies, refusals and an unreachable store must be reported with different error codes.
TEST(WeightStoreClient, ReadsLoadAndReportsErrors)
{
    FakeServer store;
    store.answer(200, R"({"bytes_per_second":1000,"readers":3})");
    auto result = settle([&] { return WeightStoreClient(store.address()).readLoad(10s); });
    ASSERT_EQ(result.index(), 0U);
    EXPECT_EQ(std::get<0>(result).bytesPerSecond, 1000U);
    EXPECT_EQ(std::get<0>(result).readers, 3U);
    for (const char* body : { "", "[]", R"({"bytes_per_second":"much","readers":3})", R"({"readers":3})" }) {
        store.answer(200, body);
        EXPECT_EQ(loadErrorCode(store.address()), ErrorCode::Malformed) << body;
    }
    store.answer(503, "{}");
    EXPECT_EQ(loadErrorCode(store.address()), ErrorCode::Refused);
    store.stop();
    EXPECT_EQ(loadErrorCode(store.address()), ErrorCode::Unreachable);
}

} // namespace Kumquatpick
