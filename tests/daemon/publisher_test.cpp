#include "daemon/publisher.h"

#include "log/appender.h"

#include <gtest/gtest.h>

namespace Kumquatpick {

namespace {

    // No log service listens at the reader's address, and the log was never read.
    TEST(Publisher, TextWithFaultsIsInvalidAndValidTextIsUndecidedIfLogIsDown)
    {
        LogReader reader(LogClient({ "127.0.0.1", 1 }, "log"), {}, 1);
        LogAppender appender(reader);
        auto deadline = monotonicNow() + std::chrono::seconds(10);
        auto invalid = publishText(appender, 3, { "id", 3, "not toml [", "asha" }, deadline);
        EXPECT_EQ(invalid.kind, PublishOutcome::Kind::Invalid);
        EXPECT_FALSE(invalid.faults.empty());
        std::string validText
            = "[deployment]\nname = \"bengal\"\nzones = [\"howrah\"]\n\n[[service]]\nname = \"writers\"\n"
              "kind = \"model\"\nmodel = \"kumquat\"\nmodel_version = \"1\"\nhosts_per_replica = 2\n"
              "replicas = 1\n\n[[team]]\nname = \"coaches\"\nshare = 1\n";
        auto undecided = publishText(appender, 3, { "id", 3, validText, "asha" }, deadline);
        EXPECT_EQ(undecided.kind, PublishOutcome::Kind::Undecided);
        EXPECT_TRUE(undecided.faults.empty());
    }

}

} // namespace Kumquatpick
