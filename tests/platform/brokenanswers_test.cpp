#include "base/brokenanswers.h"
#include "base/strictanswer.h"
#include "caller/rawcaller.h"
#include "platform/answeringserver.h"
#include "platform/eventually.h"
#include "platform/exampleconfig.h"
#include "platform/gatewayprocess.h"
#include "platform/platformfakes.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <set>
#include <span>

// Servers that send answers with broken heads, against a node as a process and callers that read strictly.

namespace Kumquatpick {

namespace {

    constexpr const char* identity = "Attempt-Id: {id}\r\nResponse-Seal: seal\r\n";
    constexpr int badGateway = 502;
    constexpr int gatewayTimeout = 504;
    constexpr Milliseconds timeOfEach { 20'000 }; // List of kinds.
    constexpr int maxAttempts = 2; // Of the example's routes.

    nlohmann::json route(const char* prefix, const char* type, bool isResumable)
    {
        nlohmann::json result = exampleRoute(prefix, type, "desk");
        result["streamResume"] = isResumable;
        return result;
    }

    // Which answers a kind of request gets, and whether it may run again.
    struct RequestKind {
        const char* path;
        bool isStream;
        bool mayRepeat;
    };

    constexpr RequestKind requestKinds[] = { { "/once/x", false, false }, { "/again/x", false, true },
        { "/tale/x", true, false }, { "/flow/x", true, true } };

    class BrokenAnswers : public testing::Test {
    protected:
        BrokenAnswers()
        {
            auto config = exampleConfig(1, { "key-1" });
            config["routes"].push_back(route("/flow/", "streaming", true));
            config["routes"].push_back(route("/tale/", "streaming", false));
            m_store.put("keyed.op", "config", config.dump());
            m_node = std::make_unique<GatewayProcess>(GatewayProcess::Options {
                .name = "node-1", .store = m_store.address(), .logFiles = m_folder.file("node-1") });
        }

        void SetUp() override
        {
            ASSERT_TRUE(eventually([&] {
                httplib::Client readiness("127.0.0.1", m_node->readiness().port);
                auto answer = readiness.Get("/readyz");
                return answer && answer->status == 200;
            }));
        }

        // Lists a server under a new id, which is returned.
        std::string announce(const AnsweringServer& server)
        {
            nlohmann::json entry { { "service", "desk" }, { "address", server.address().toString() }, { "zone", "z1" },
                { "version", "v1" }, { "capacity", 80 }, { "state", "ready" }, { "sequence", 1 },
                { "warmupLeftMs", 0 } };
            std::string id = fmt::format("desk-{}", ++m_servers);
            m_store.put("keyed.servers", id, entry.dump());
            return id;
        }

        void withdraw(const std::string& serverId) { m_store.put("keyed.servers", serverId, ""); }

        std::string nextId() { return fmt::format("call-{}", ++m_calls); }

        // Each body is another one: servers go away after their answers, which would look as if one request ended them.
        StrictAnswer call(const char* path, const std::string& id)
        {
            const std::string body = "body of " + id;
            RawCaller caller(m_node->callers().port);
            caller.send(fmt::format("POST {} HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {}\r\nKey: key-1\r\n"
                                    "Deadline-Ms: 3000\r\nContent-Length: {}\r\n\r\n{}",
                path, id, body.size(), body));
            return readStrictly(caller.readUntil(isStrictlyOver));
        }

        // Sends requests until one has reached the server; returns its answer.
        StrictAnswer callThatReaches(AnsweringServer& server, const RequestKind& kind)
        {
            StrictAnswer answer;
            bool isReached = eventually([&] {
                std::string id = nextId();
                answer = call(kind.path, id);
                int requests = server.requests(id);
                EXPECT_LE(requests, 1) << "the route has one server, which is not asked twice";
                return requests > 0;
            });
            EXPECT_TRUE(isReached);
            return answer;
        }

        // What the caller of a request saw that servers with broken answers got.
        void expectFailure(const StrictAnswer& answer)
        {
            EXPECT_EQ(answer.problem, "");
            EXPECT_TRUE(answer.status == badGateway || answer.status == gatewayTimeout) << answer.status;
            EXPECT_TRUE(answer.isWhole);
            EXPECT_FALSE(answer.fields.contains("response-seal"));
        }

        // Sends requests to a server for each kind of answer until each has been asked.
        void check(std::span<const BrokenAnswer> kinds, const RequestKind& request, bool keepsConnections)
        {
            std::vector<std::unique_ptr<AnsweringServer>> servers;
            std::vector<std::string> serverIds;
            for (const BrokenAnswer& broken : kinds) {
                servers.push_back(std::make_unique<AnsweringServer>("Attempt-Id", broken.bytes, keepsConnections));
                serverIds.push_back(announce(*servers.back()));
            }
            std::set<size_t> asked;
            bool areAllAsked = eventually(
                [&] {
                    std::string id = nextId();
                    StrictAnswer answer = call(request.path, id);
                    int runs = 0;
                    std::string what;
                    for (size_t i = 0; i < kinds.size(); ++i) {
                        if (servers[i]->requests(id) == 0)
                            continue;
                        runs += servers[i]->requests(id);
                        what += kinds[i].what + "; ";
                        asked.insert(i);
                    }
                    SCOPED_TRACE(fmt::format("{} {}", request.path, what));
                    EXPECT_LE(runs, request.mayRepeat ? maxAttempts : 1);
                    if (runs > 0)
                        expectFailure(answer);
                    return asked.size() == kinds.size();
                },
                timeOfEach);
            EXPECT_TRUE(areAllAsked) << asked.size() << " of " << kinds.size() << " were asked";
            EXPECT_TRUE(eventually([&] {
                return std::ranges::all_of(servers, [](auto& server) { return server->openConnections() == 0; });
            })) << "the node closes the connections";
            for (const std::string& serverId : serverIds)
                withdraw(serverId);
        }

        // Whether a line of the log names a broken answer with its reason.
        bool isLogged(std::string_view event)
        {
            return std::ranges::any_of(m_node->logLines(), [&](const nlohmann::json& line) {
                return line.value("event", "") == event && line.contains("reason") && line.contains("host");
            });
        }

        FakeStore m_store;
        TemporaryFolder m_folder;
        std::unique_ptr<GatewayProcess> m_node;
        int m_calls = 0;
        int m_servers = 0;
    };

    SoundAnswer soundAnswer(const RequestKind& kind)
    {
        return kind.isStream ? streamAnswerOf(identity) : plainAnswerOf(identity);
    }

}

// The stand-in's sound answers do arrive.
TEST_F(BrokenAnswers, AreBrokenByNothingElse)
{
    for (const RequestKind& kind : requestKinds) {
        SCOPED_TRACE(kind.path);
        SoundAnswer sound = soundAnswer(kind);
        AnsweringServer server("Attempt-Id", sound.text(), false);
        std::string serverId = announce(server);
        StrictAnswer answer = callThatReaches(server, kind);
        EXPECT_EQ(answer.problem, "");
        EXPECT_EQ(answer.status, 200);
        EXPECT_TRUE(answer.isWhole);
        EXPECT_TRUE(answer.fields.contains("response-seal"));
        EXPECT_EQ(answer.body, kind.isStream ? "id: 1\ndata: one\n\n" : "hello");
        withdraw(serverId);
    }
}

// Guards against a status that no final answer may have being taken for an answer.
TEST_F(BrokenAnswers, ByTheirStatusReachNoCaller)
{
    for (const RequestKind& kind : requestKinds)
        check(answersWithBrokenStatus(soundAnswer(kind)), kind, true);
    EXPECT_TRUE(isLogged("answer_malformed"));
}

// Guards against a broken answer being believed that says that its request has not run.
TEST_F(BrokenAnswers, DoNotShowThatTheirRequestsHaveNotRun)
{
    SoundAnswer refusal { "Attempt-Id: {id}\r\nNot-Executed: 1\r\n", "Content-Length: 0\r\n", "" };
    for (const RequestKind& kind : requestKinds)
        check(answersWithBrokenStatus(refusal), kind, false);
}

// An interim answer is none, whatever fields it has; the final one follows, or the answer is broken off.
TEST_F(BrokenAnswers, AreNotThoseThatFollowInterimOnes)
{
    for (const RequestKind& kind : requestKinds) {
        SCOPED_TRACE(kind.path);
        std::string interim;
        std::vector<BrokenAnswer> alone;
        for (std::string_view status : { "100 Continue", "102 Processing", "103 Early Hints", "199 Other" }) {
            interim += fmt::format("HTTP/1.1 {}\r\nAttempt-Id: {{id}}\r\n\r\n", status);
            alone.push_back({ fmt::format("only {}", status), interim });
        }
        check(alone, kind, false);
        AnsweringServer server("Attempt-Id", interim + soundAnswer(kind).text(), false);
        std::string serverId = announce(server);
        StrictAnswer answer = callThatReaches(server, kind);
        EXPECT_EQ(answer.problem, "");
        EXPECT_EQ(answer.status, 200);
        EXPECT_TRUE(answer.isWhole);
        withdraw(serverId);
    }
}

// Guards against a line of a head being passed on whose name holds a blank or a control character, and against other
// bytes than the server's being taken for the body.
TEST_F(BrokenAnswers, ByTheirFieldsReachNoCaller)
{
    for (const RequestKind& kind : requestKinds)
        check(answersWithBrokenFields(soundAnswer(kind)), kind, true);
    EXPECT_TRUE(isLogged("answer_malformed"));
}

TEST_F(BrokenAnswers, ByTheirLengthReachNoCaller)
{
    for (const RequestKind& kind : requestKinds)
        check(answersWithBrokenLength(identity), kind, false);
    EXPECT_TRUE(isLogged("answer_malformed"));
}

// Guards against an answer being passed on as whole whose server stopped in the middle of its head.
TEST_F(BrokenAnswers, ThatEndInTheirHeadReachNoCaller)
{
    for (const RequestKind& kind : requestKinds)
        check(answersThatEndInTheirHead(soundAnswer(kind)), kind, false);
}

// Guards against a request that may run twice failing although another server would answer it.
TEST_F(BrokenAnswers, AreReplacedByThoseOfASoundServerWhereRequestsMayRunTwice)
{
    for (const RequestKind& kind : requestKinds) {
        SCOPED_TRACE(kind.path);
        AnsweringServer sound("Attempt-Id", soundAnswer(kind).text(), false);
        AnsweringServer broken("Attempt-Id", answersWithBrokenStatus(soundAnswer(kind)).front().bytes, true);
        std::string soundId = announce(sound);
        callThatReaches(sound, kind);
        std::string brokenId = announce(broken);
        bool wasBrokenUsed = eventually([&] {
            std::string id = nextId();
            StrictAnswer answer = call(kind.path, id);
            bool isUsed = broken.requests(id) > 0;
            bool isSecond = isUsed && sound.requests(id) > 0;
            EXPECT_EQ(isSecond, isUsed && kind.mayRepeat);
            EXPECT_EQ(answer.status, isUsed && !kind.mayRepeat ? badGateway : 200);
            EXPECT_EQ(answer.problem, "");
            return isUsed;
        });
        EXPECT_TRUE(wasBrokenUsed);
        withdraw(soundId);
        withdraw(brokenId);
    }
}

} // namespace Kumquatpick
