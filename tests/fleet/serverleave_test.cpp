#include "fleet/serverleave.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Kumquatpick {

namespace {

    ServerLeaveInputs drawInputs()
    {
        return { *rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>(), *rc::gen::inRange(1u, 5u),
            *rc::gen::inRange(1u, 5u), *rc::gen::inRange(1u, 6u), *rc::gen::inRange(1u, 6u),
            *rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>() };
    }

}

// Calls left silent servers with nowhere to go, and so ended although their servers might have gone on.
RC_GTEST_PROP(ServerLeave, IsAllowedOnlyIfTheCallCanGoOn, ())
{
    ServerLeaveInputs inputs = drawInputs();
    bool canGoOn = inputs.mayRepeat && !inputs.isSuspect && inputs.runs < inputs.maxRuns
        && inputs.sends < inputs.maxSends && inputs.isRetryLeft && inputs.hasOtherServer;
    RC_ASSERT((mayLeaveServer(inputs) == ServerLeave::Allowed) == canGoOn);
}

TEST(ServerLeave, NamesWhatIsMissing)
{
    ServerLeaveInputs inputs { true, false, 1, 2, 1, 4, true, true };
    EXPECT_STREQ(name(mayLeaveServer(inputs)), "allowed");
    inputs.hasOtherServer = false;
    EXPECT_STREQ(name(mayLeaveServer(inputs)), "no_other_server");
    inputs.isRetryLeft = false;
    EXPECT_STREQ(name(mayLeaveServer(inputs)), "no_retry_left");
    inputs.runs = 2;
    EXPECT_STREQ(name(mayLeaveServer(inputs)), "no_run_left");
    inputs.mayRepeat = false;
    EXPECT_STREQ(name(mayLeaveServer(inputs)), "not_repeatable");
}

} // namespace Kumquatpick
