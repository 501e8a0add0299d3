#include "coordination/figures.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace Kumquatpick {

namespace {

    // Prints the figures quoted in docs/STATE.md. Times depend on the machine and are not checked; sizes depend only on
    // the codec and are.
    TEST(CoordinationFigures, AtTargetSize)
    {
        auto figures = measureCoordination({});
        fmt::print("decode and fold {:.0f} records/s, fold only {:.0f} records/s\n", figures.recordsPerSecond,
            figures.appliesPerSecond);
        fmt::print("claim record {} bytes, snapshot {} bytes in {} records\n", figures.claimRecordBytes,
            figures.snapshotBytes, figures.snapshotRecords);
        fmt::print("snapshot {:.3f} s, restore {:.3f} s, copy {:.3f} s\n", figures.snapshotSeconds,
            figures.restoreSeconds, figures.copySeconds);
        fmt::print("reconcile settled {:.3f} s, empty {:.3f} s, dark domain {:.3f} s\n",
            figures.reconcileUnchangedSeconds, figures.reconcileAllMissingSeconds,
            figures.reconcileFailedDomainSeconds);
        EXPECT_LT(figures.claimRecordBytes, 512u);
        EXPECT_LT(figures.snapshotBytes, 5'000'000u);
        EXPECT_LE(figures.snapshotRecords, 20u);
    }

}

} // namespace Kumquatpick
