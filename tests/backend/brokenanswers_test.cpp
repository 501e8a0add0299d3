#include "base/brokenanswers.h"

#include "backend/call.h"
#include "backend/fakeengine.h"
#include "backend/jsonexchange.h"

#include <gtest/gtest.h>

// Answers with broken heads to the daemon's calls, and to its requests for JSON: of hosts, the log, the list of hosts
// and the weight store.

namespace Kumquatpick {

namespace {

    using namespace std::chrono_literals;

    constexpr const char* requestId = "r1";
    const std::string identity = "Kumquatpick-Request: r1\r\n";

    // What a server sends, and whether it closes the connection after that.
    FakeEngine::Script sending(const BrokenAnswer& broken, bool closes)
    {
        return [=](FakeConnection& connection, const std::string&) {
            connection.send(broken.bytes);
            if (!closes)
                connection.waitForClose();
        };
    }

    BackendRequest requestTo(const Address& address)
    {
        BackendRequest request;
        request.address = address;
        request.host = "h1";
        request.path = "/v1/chat/completions";
        request.body = "{}";
        request.contentType = "application/json";
        request.requestId = requestId;
        request.deadline = monotonicNow() + 20s;
        return request;
    }

    // Reads a call to its end; the error, if it did not end well.
    std::optional<Error> errorOfCall(BackendRequest request)
    {
        BackendCaller caller(1);
        auto settled = settle([&]() -> Result<bool> {
            BOOST_LEAF_AUTO(call, caller.start(std::move(request)));
            BOOST_LEAF_CHECK(call->head());
            while (true) {
                BOOST_LEAF_AUTO(piece, call->next());
                if (piece.empty())
                    return true;
            }
        });
        auto* error = std::get_if<Error>(&settled);
        return error ? std::optional(*error) : std::nullopt;
    }

    std::optional<Error> errorOfJson(const Address& address)
    {
        auto settled = settle([&] { return exchangeJson(address, "GET", "/v1/status", {}, 20s, Step::Probe); });
        auto* error = std::get_if<Error>(&settled);
        return error ? std::optional(*error) : std::nullopt;
    }

    // The request may have run, and the reason is told.
    void expectBroken(const std::optional<Error>& error)
    {
        ASSERT_TRUE(error) << "was taken for an answer";
        EXPECT_TRUE(error->code == ErrorCode::BrokenOff || error->code == ErrorCode::Malformed) << describe(*error);
        EXPECT_NE(error->detail, "");
    }

    void checkAll(const std::vector<BrokenAnswer>& kinds, bool closes)
    {
        for (const BrokenAnswer& broken : kinds) {
            SCOPED_TRACE(broken.what);
            FakeEngine engine(sending(broken, closes));
            expectBroken(errorOfCall(requestTo(engine.address())));
            expectBroken(errorOfJson(engine.address()));
        }
    }

    std::vector<SoundAnswer> soundAnswers() { return { plainAnswerOf(identity), streamAnswerOf(identity) }; }

}

// The stand-in's sound answers do arrive.
TEST(BrokenAnswers, AreBrokenByNothingElse)
{
    for (const SoundAnswer& sound : soundAnswers()) {
        FakeEngine engine(sending({ "sound", sound.text() }, true));
        EXPECT_FALSE(errorOfCall(requestTo(engine.address())));
        EXPECT_FALSE(errorOfJson(engine.address()));
    }
}

// Guards against a status that no final answer may have being taken for an answer.
TEST(BrokenAnswers, ByTheirStatusAreBrokenOff)
{
    for (const SoundAnswer& sound : soundAnswers())
        checkAll(answersWithBrokenStatus(sound), false);
}

// Guards against lines of a head being ignored that may say where the body ends.
TEST(BrokenAnswers, ByTheirFieldsAreBrokenOff)
{
    for (const SoundAnswer& sound : soundAnswers())
        checkAll(answersWithBrokenFields(sound), false);
}

TEST(BrokenAnswers, ByTheirLengthAreBrokenOff) { checkAll(answersWithBrokenLength(identity), true); }

TEST(BrokenAnswers, ThatEndInTheirHeadAreBrokenOff)
{
    for (const SoundAnswer& sound : soundAnswers())
        checkAll(answersThatEndInTheirHead(sound), true);
}

// An interim answer is none, whatever fields it has; the final one follows.
TEST(BrokenAnswers, AreNotThoseThatFollowInterimOnes)
{
    for (const SoundAnswer& sound : soundAnswers()) {
        std::string interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
        FakeEngine engine(sending({ "interim", interim + sound.text() }, true));
        EXPECT_FALSE(errorOfCall(requestTo(engine.address())));
        EXPECT_FALSE(errorOfJson(engine.address()));
    }
}

} // namespace Kumquatpick
