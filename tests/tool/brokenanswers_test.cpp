#include "base/brokenanswers.h"

#include "backend/fakeengine.h"
#include "toolrun.h"

#include <gtest/gtest.h>

// Nodes that answer the tool with broken heads.

namespace Kumquatpick {

namespace {

    const std::string identity = "Kumquatpick-Outcome: answered\r\n";

    FakeEngine::Script sending(const BrokenAnswer& broken)
    {
        return [=](FakeConnection& connection, const std::string&) { connection.send(broken.bytes); };
    }

    ToolRun sendTo(const Address& node, bool isStream)
    {
        std::vector<std::string> arguments { "send", "--node", node.toString(), "--service=writers", "--team=coaches",
            "--message=hello", "--key=k1" };
        if (isStream)
            arguments.emplace_back("--stream");
        return runToolWith(arguments);
    }

    std::vector<BrokenAnswer> brokenAnswers(const SoundAnswer& sound)
    {
        std::vector<BrokenAnswer> result;
        for (const auto& kinds : { answersWithBrokenStatus(sound), answersWithBrokenFields(sound),
                 answersWithBrokenLength(sound.identity), answersThatEndInTheirHead(sound) })
            result.insert(result.end(), kinds.begin(), kinds.end());
        return result;
    }

}

TEST(ToolSend, TakesABrokenHeadForNoAnswer)
{
    for (bool isStream : { false, true }) {
        SoundAnswer sound = isStream ? streamAnswerOf(identity) : plainAnswerOf(identity);
        for (const BrokenAnswer& broken : brokenAnswers(sound)) {
            SCOPED_TRACE(broken.what);
            FakeEngine node(sending(broken));
            ToolRun run = sendTo(node.address(), isStream);
            EXPECT_EQ(run.code, ExitCode::MayHaveRun);
            EXPECT_EQ(run.out, "") << "nothing of it is printed";
            EXPECT_NE(run.err, "");
            EXPECT_EQ(node.requestCount(), 1U) << "a request that must not run twice is not sent again";
        }
    }
}

TEST(ToolKeys, TakesNoneFromABrokenHead)
{
    SoundAnswer sound { "Content-Type: application/json\r\n", "Content-Length: 32\r\n",
        R"({"keys":["k1"],"issued_ms":1234})" };
    {
        FakeEngine node(sending({ "sound", sound.text() }));
        EXPECT_EQ(runToolWith({ "keys", "--node", node.address().toString(), "--service=writers" }).code, ExitCode::Ok);
    }
    for (const BrokenAnswer& broken : brokenAnswers(sound)) {
        SCOPED_TRACE(broken.what);
        FakeEngine node(sending(broken));
        ToolRun run = runToolWith({ "keys", "--node", node.address().toString(), "--service=writers" });
        EXPECT_NE(run.code, ExitCode::Ok);
        EXPECT_EQ(run.out, "");
    }
}

} // namespace Kumquatpick
