#include "fleet/mechanism.h"

#include <gtest/gtest.h>

namespace Kumquatpick {

TEST(Mechanism, ParsesTheDisabledMechanisms)
{
    EXPECT_FALSE(DisabledMechanisms::parse("")->contains(Mechanism::Shift));
    auto off = DisabledMechanisms::parse("control-candidates,shift");
    ASSERT_TRUE(off);
    EXPECT_TRUE(off->contains(Mechanism::Shift) && off->contains(Mechanism::ControlCandidates));
    EXPECT_FALSE(off->contains(Mechanism::Resume));
    EXPECT_FALSE(DisabledMechanisms::parse("shift,unknown"));
}

} // namespace Kumquatpick
