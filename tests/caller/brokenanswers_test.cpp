#include "base/brokenanswers.h"

#include "backend/fakeengine.h"
#include "base/strictanswer.h"
#include "caller/rawcaller.h"
#include "caller/testnode.h"

#include <fmt/format.h>

// Backend servers that answer the daemon's callers with broken heads; the callers read strictly.

namespace Kumquatpick {

namespace {

    constexpr const char* identity = "Kumquatpick-Request: {id}\r\n";
    constexpr const char* mayHaveRun = "may-have-run";

    std::string requestIdOf(const std::string& request)
    {
        constexpr std::string_view name = "Kumquatpick-Request: ";
        size_t start = request.find(name) + name.size();
        return request.substr(start, request.find('\r', start) - start);
    }

    FakeEngine::Script sending(const BrokenAnswer& broken, bool closes)
    {
        return [=](FakeConnection& connection, const std::string& request) {
            connection.send(withId(broken.bytes, requestIdOf(request)));
            if (!closes)
                connection.waitForClose();
        };
    }

    // A request that must not run twice has a key, a stream is a chat request.
    struct RequestKind {
        bool isStream = false;
        bool mayRepeat = false;
    };

    constexpr RequestKind requestKinds[] = { { false, false }, { false, true }, { true, false }, { true, true } };

    std::string requestText(const RequestKind& kind, const std::string& key)
    {
        std::string headers;
        for (const auto& [name, value] : TestNode::headers(kind.mayRepeat ? "" : key))
            headers += fmt::format("{}: {}\r\n", name, value);
        std::string_view body = kind.isStream ? TestNode::chatBody : "{}";
        return fmt::format("POST {} HTTP/1.1\r\nHost: node\r\nConnection: close\r\nContent-Type: application/json\r\n"
                           "{}Content-Length: {}\r\n\r\n{}",
            kind.isStream ? "/v1/chat/completions" : "/v1/services/desk/lookup", headers, body.size(), body);
    }

    StrictAnswer call(const TestNode& node, const RequestKind& kind, const std::string& key)
    {
        RawCaller caller(node.server->address().port);
        caller.send(requestText(kind, key));
        return readStrictly(caller.readAll());
    }

    std::string outcomeOf(const StrictAnswer& answer)
    {
        auto found = answer.fields.find("kumquatpick-outcome");
        return found == answer.fields.end() ? "" : found->second;
    }

    void expectMayHaveRun(const StrictAnswer& answer)
    {
        EXPECT_EQ(answer.problem, "");
        EXPECT_EQ(answer.status, 502);
        EXPECT_EQ(outcomeOf(answer), mayHaveRun);
        EXPECT_TRUE(answer.isWhole);
    }

    void checkAll(const std::vector<BrokenAnswer>& kinds, const RequestKind& kind, bool closes)
    {
        for (const BrokenAnswer& broken : kinds) {
            SCOPED_TRACE(fmt::format("{} {}: {}", kind.isStream ? "stream" : "plain",
                kind.mayRepeat ? "repeatable" : "to run once", broken.what));
            FakeEngine engine(sending(broken, closes));
            TestNode node;
            node.startWith({ engine.address().port });
            expectMayHaveRun(call(node, kind, "key"));
            EXPECT_EQ(engine.requestsOtherThan("POST /v1/cancel"), 1U) << "the request came once";
        }
    }

    std::vector<BrokenAnswer> kindsThatClose(const SoundAnswer& sound)
    {
        std::vector<BrokenAnswer> kinds = answersWithBrokenLength(sound.identity);
        for (BrokenAnswer& broken : answersThatEndInTheirHead(sound))
            kinds.push_back(std::move(broken));
        return kinds;
    }

    SoundAnswer soundAnswer(const RequestKind& kind)
    {
        return kind.isStream ? streamAnswerOf(identity) : plainAnswerOf(identity);
    }

}

// Guards against a status that no final answer may have being taken for an answer.
TEST(BrokenAnswers, ByTheirStatusReachNoCaller)
{
    for (const RequestKind& kind : requestKinds)
        checkAll(answersWithBrokenStatus(soundAnswer(kind)), kind, false);
}

// Guards against lines of a head being ignored that may say where the body ends.
TEST(BrokenAnswers, ByTheirFieldsReachNoCaller)
{
    for (const RequestKind& kind : requestKinds)
        checkAll(answersWithBrokenFields(soundAnswer(kind)), kind, false);
}

TEST(BrokenAnswers, ThatEndInTheirHeadOrHaveNoLengthReachNoCaller)
{
    for (const RequestKind& kind : requestKinds)
        checkAll(kindsThatClose(soundAnswer(kind)), kind, true);
}

// A resend of the request, there or at another node, gets neither the broken answer nor a second run.
TEST(BrokenAnswers, AreNotGivenToResendsEither)
{
    for (const BrokenAnswer& broken : answersWithBrokenStatus(soundAnswer({}))) {
        SCOPED_TRACE(broken.what);
        FakeEngine engine(sending(broken, false));
        auto journal = std::make_shared<FakeJournal>();
        TestNode first(1, journal);
        TestNode second(2, journal);
        first.startWith({ engine.address().port });
        second.startWith({ engine.address().port });
        second.peers[1] = first.server.get();
        expectMayHaveRun(call(first, {}, "key"));
        for (const TestNode* node : { &first, &second }) {
            StrictAnswer answer = call(*node, {}, "key");
            EXPECT_EQ(answer.problem, "");
            EXPECT_EQ(outcomeOf(answer), mayHaveRun);
        }
        EXPECT_EQ(engine.requestsOtherThan("POST /v1/cancel"), 1U) << "the request came once";
    }
}

// A repeatable request is answered by another server.
TEST(BrokenAnswers, AreReplacedByThoseOfASoundServerWhereRequestsMayRunTwice)
{
    for (bool isStream : { false, true }) {
        RequestKind kind { isStream, true };
        SoundAnswer sound = soundAnswer(kind);
        if (isStream)
            sound.body = fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", 14, "data: [DONE]\n\n");
        FakeEngine broken(sending(answersWithBrokenStatus(sound).front(), false));
        FakeEngine other(sending({ "sound", sound.text() }, true));
        TestNode node;
        node.startWith({ other.address().port, broken.address().port });
        StrictAnswer answer = call(node, kind, {});
        EXPECT_EQ(answer.problem, "");
        EXPECT_EQ(answer.status, 200);
        EXPECT_TRUE(answer.isWhole);
        EXPECT_GT(broken.requestCount(), 0U) << "the router chooses the last replica first";
    }
}

} // namespace Kumquatpick
