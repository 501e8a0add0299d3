#include "caller/refusal.h"
#include "caller/testnode.h"

#include <algorithm>
#include <array>

namespace Kumquatpick {

namespace {

    // Statuses allowed for each outcome, as listed in docs/PROTOCOLS.md.
    const std::map<std::string, std::vector<int>> allowedStatuses {
        { "not-run", { 400, 401, 404, 413, 429, 503 } },
        { "undecided", { 503 } },
        { "may-have-run", { 502, 504, 409 } },
    };

    struct TwoNodes {
        std::shared_ptr<FakeJournal> journal = std::make_shared<FakeJournal>();
        FakeBackend engine;
        TestNode first { 1, journal };
        TestNode second { 2, journal };

        TwoNodes()
        {
            first.start({ &engine });
            second.start({ &engine });
            second.peers[1] = first.server.get();
            first.peers[2] = second.server.get();
        }
    };

}

TEST(Outcome, EveryRefusalHasAStatusOfItsOutcome)
{
    for (Outcome outcome : { Outcome::NotRun, Outcome::Undecided, Outcome::MayHaveRun }) {
        for (int type = 0; type <= static_cast<int>(RefusalType::Timeout); ++type) {
            Refusal refusal { outcome, static_cast<RefusalType>(type), "" };
            const auto& allowed = allowedStatuses.at(std::string(name(outcome)));
            EXPECT_NE(std::ranges::find(allowed, httpStatus(refusal)), allowed.end()) << name(refusal.type);
        }
    }
}

TEST(Outcome, ResendHereGetsTheSameAnswer)
{
    FakeBackend engine;
    engine.setBehaviour(plainAnswer("{\"place\":3}", 201));
    TestNode node;
    node.start({ &engine });
    auto first = node.chat(TestNode::headers("key"));
    auto again = node.chat(TestNode::headers("key"));
    ASSERT_TRUE(first && again);
    EXPECT_EQ(again->status, 201);
    EXPECT_EQ(again->body, first->body);
    EXPECT_EQ(again->get_header_value("Content-Type"), "application/json");
    EXPECT_EQ(engine.requestCount(), 1U);
    auto known = node.client()->Get("/v1/requests/key", { { "Kumquatpick-Team", "board" } });
    EXPECT_EQ(nlohmann::json::parse(known->body).at("answer").at("body"), "{\"place\":3}");
}

TEST(Outcome, KeyOfAnotherRequestNeverGetsItsAnswer)
{
    FakeBackend engine;
    engine.setBehaviour(plainAnswer("secret"));
    TestNode node;
    node.start({ &engine });
    EXPECT_EQ(outcomeAndType(node.chat(TestNode::headers("key"))), "answered");
    auto otherBody = node.chat(TestNode::headers("key"), R"({"model":"writers","messages":[]})");
    EXPECT_EQ(outcomeAndType(otherBody), "may-have-run/held_elsewhere");
    auto headers = TestNode::headers("key");
    headers.erase("Kumquatpick-Team");
    headers.emplace("Kumquatpick-Team", "families");
    EXPECT_EQ(outcomeAndType(node.chat(headers)), "may-have-run/held_elsewhere");
    auto known = node.client()->Get("/v1/requests/key", { { "Kumquatpick-Team", "families" } });
    EXPECT_EQ(known->status, 404);
    EXPECT_EQ(engine.requestCount(), 1U);
}

TEST(Outcome, ResendElsewhereFetchesTheAnswer)
{
    TwoNodes nodes;
    auto gate = std::make_shared<Gate>();
    nodes.engine.setBehaviour(events({ "data: 1\n\n", "data: 2\n\n" }, StreamEnd::Done, gate));
    httplib::Result first(nullptr, httplib::Error::Unknown);
    std::thread caller([&] { first = nodes.first.chat(TestNode::headers("key")); });
    nodes.engine.waitForRequests(1);
    auto running = nodes.second.chat(TestNode::headers("key"));
    EXPECT_EQ(outcomeAndType(running), "undecided/held_elsewhere");
    EXPECT_TRUE(running->has_header("Retry-After"));
    gate->open();
    caller.join();
    auto fetched = nodes.second.chat(TestNode::headers("key"));
    ASSERT_TRUE(first && fetched);
    EXPECT_EQ(fetched->body, first->body);
    EXPECT_EQ(fetched->get_header_value("Content-Type"), "text/event-stream");
    // The node that stores the answer is unreachable, so the request may have run.
    nodes.second.peers.clear();
    EXPECT_EQ(outcomeAndType(nodes.second.chat(TestNode::headers("key"))), "may-have-run/held_elsewhere");
    EXPECT_EQ(nodes.engine.requestCount(), 1U);
}

// Each step before dispatch can refuse a request. The outcome may be "not run" only after the attempt was voided.
TEST(Outcome, NotRunOnlyAfterAttemptIsVoid)
{
    struct Case {
        const char* step;
        std::function<void(TestNode&, httplib::Headers&)> arrange;
        const char* type;
    };
    const std::array cases {
        Case { "parse", [](TestNode&, httplib::Headers& headers) { headers.emplace("Kumquatpick-Priority", "top"); },
            "malformed" },
        Case { "deadline",
            [](TestNode&, httplib::Headers& headers) { headers.emplace("Kumquatpick-Deadline-Ms", "0"); },
            "deadline_passed" },
        Case { "team", [](TestNode& node, httplib::Headers&) { node.text.teams.clear(); }, "unknown_team" },
        Case { "service", [](TestNode& node, httplib::Headers&) { node.text.services.clear(); }, "unknown_service" },
        Case { "ready", [](TestNode& node, httplib::Headers&) { node.isReady = false; }, "not_ready" },
        Case { "stopping", [](TestNode& node, httplib::Headers&) { node.server->beginDrain(); }, "stopping" },
        Case { "admit", [](TestNode& node, httplib::Headers&) { node.admission.shutDown(); }, "stopping" },
        Case {
            "route", [](TestNode& node, httplib::Headers&) { node.router.setServing("writers", {}); }, "no_replica" },
    };
    for (const Case& each : cases) {
        FakeBackend engine;
        engine.setBehaviour(plainAnswer("{}"));
        TestNode node;
        node.start({ &engine });
        // Each answer of the journal is tested with its own key.
        auto send = [&](const std::string& key) {
            auto headers = TestNode::headers(key);
            each.arrange(node, headers);
            return node.chat(headers);
        };

        node.journal->voidAnswer = PermitAnswer::Undecided;
        auto undecided = send("a");
        EXPECT_EQ(outcomeAndType(undecided), std::string("undecided/") + each.type) << each.step;
        EXPECT_TRUE(undecided->has_header("Retry-After")) << each.step;
        EXPECT_FALSE(errorOf(undecided->body).contains("next_attempt")) << each.step;

        node.journal->voidAnswer = PermitAnswer::Expired;
        EXPECT_EQ(outcomeAndType(send("b")), "may-have-run/key_expired") << each.step;

        node.journal->voidAnswer.reset();
        EXPECT_EQ(outcomeAndType(send("c")), std::string("not-run/") + each.type) << each.step;
        EXPECT_EQ(node.journal->voidedUpTo("c"), 1U) << each.step;
        EXPECT_EQ(engine.requestCount(), 0U) << each.step;
    }
}

TEST(Outcome, NextAttemptRunsAfterTheRefusedOne)
{
    FakeBackend engine;
    engine.setBehaviour(plainAnswer("{}"));
    TestNode node;
    node.start({ &engine });
    node.isReady = false;
    auto refused = node.chat(TestNode::headers("key"));
    EXPECT_EQ(errorOf(refused->body).at("next_attempt"), 2);
    node.isReady = true;
    auto same = node.chat(TestNode::headers("key", 1));
    EXPECT_EQ(outcomeAndType(same), "not-run/voided");
    EXPECT_EQ(errorOf(same->body).at("next_attempt"), 2);
    EXPECT_EQ(outcomeAndType(node.chat(TestNode::headers("key", 2))), "answered");
    EXPECT_EQ(engine.requestCount(), 1U);
}

TEST(Outcome, EachPermitAnswerHasItsOutcome)
{
    const std::array<std::pair<PermitAnswer, const char*>, 3> cases { {
        { PermitAnswer::Expired, "may-have-run/key_expired" },
        { PermitAnswer::Undecided, "undecided/undecided" },
        { PermitAnswer::WrongEpoch, "undecided/undecided" },
    } };
    for (auto [answer, expected] : cases) {
        FakeBackend engine;
        TestNode node;
        node.start({ &engine });
        node.journal->permitAnswer = answer;
        EXPECT_EQ(outcomeAndType(node.chat(TestNode::headers("key"))), expected);
        EXPECT_EQ(engine.requestCount(), 0U);
    }
}

TEST(Outcome, LostGrantIsRevokedOnResend)
{
    FakeBackend engine;
    engine.setBehaviour(plainAnswer("{}"));
    TestNode node;
    node.start({ &engine });
    node.journal->loseGrants = true;
    EXPECT_EQ(outcomeAndType(node.chat(TestNode::headers("key"))), "undecided/undecided");
    node.journal->loseGrants = false;
    auto again = node.chat(TestNode::headers("key"));
    EXPECT_EQ(outcomeAndType(again), "not-run/voided");
    EXPECT_EQ(errorOf(again->body).at("next_attempt"), 2);
    EXPECT_EQ(outcomeAndType(node.chat(TestNode::headers("key", 2))), "answered");
    EXPECT_EQ(engine.requestCount(), 1U);
}

TEST(Outcome, AnswerNoLongerKeptIsNeverRunAgain)
{
    FakeBackend engine;
    engine.setBehaviour(plainAnswer("{}"));
    TestNode node;
    node.settings.answerLifetime = Milliseconds(0);
    node.start({ &engine });
    EXPECT_EQ(outcomeAndType(node.chat(TestNode::headers("key"))), "answered");
    EXPECT_EQ(outcomeAndType(node.chat(TestNode::headers("key"))), "may-have-run/held_elsewhere");
    EXPECT_EQ(outcomeAndType(node.chat(TestNode::headers("key", 2))), "may-have-run/held_elsewhere");
    EXPECT_EQ(engine.requestCount(), 1U);
}

TEST(Outcome, UnsentRequestGoesToAnotherReplica)
{
    FakeBackend dead;
    FakeBackend engine;
    engine.setBehaviour(plainAnswer("{}"));
    for (const char* key : { "", "key" }) {
        TestNode node;
        node.start({ &dead, &engine });
        dead.stop();
        EXPECT_EQ(outcomeAndType(node.chat(TestNode::headers(key))), "answered") << key;
    }
    EXPECT_EQ(engine.requestCount(), 2U);
}

TEST(Outcome, EngineThatRefusesIsSkipped)
{
    for (int status : { 409, 503 }) {
        FakeBackend full;
        FakeBackend engine;
        full.setBehaviour(plainAnswer("{}", status));
        engine.setBehaviour(plainAnswer("{}"));
        TestNode node;
        node.start({ &full, &engine });
        EXPECT_EQ(outcomeAndType(node.chat(TestNode::headers("key"))), "answered");
        engine.setBehaviour(plainAnswer("{}", status));
        auto refused = node.chat(TestNode::headers("other"));
        EXPECT_EQ(outcomeAndType(refused), "not-run/backend_refused");
        EXPECT_EQ(node.journal->voidedUpTo("other"), 1U);
        EXPECT_EQ(errorOf(refused->body).at("next_attempt"), 2);
    }
}

// The answer is lost before any of it was sent to the caller, so a repeatable request can be retried.
TEST(Outcome, LostAnswerIsRetriedOnlyIfRepeatable)
{
    auto cut = std::make_shared<std::atomic<bool>>(true);
    auto cutOnce = [cut](const httplib::Request& request, httplib::Response& response) {
        if (cut->exchange(false))
            events({}, StreamEnd::Cut)(request, response);
        else
            plainAnswer("{}")(request, response);
    };
    FakeBackend one;
    FakeBackend two;
    one.setBehaviour(cutOnce);
    two.setBehaviour(cutOnce);
    TestNode node;
    node.start({ &one, &two });
    EXPECT_EQ(outcomeAndType(node.chat(TestNode::headers())), "answered");
    EXPECT_EQ(one.requestCount() + two.requestCount(), 2U);
    *cut = true;
    node.reportHostsReady(2);
    auto lost = node.chat(TestNode::headers("key"));
    EXPECT_EQ(outcomeAndType(lost), "may-have-run/backend_lost");
    EXPECT_EQ(errorOf(lost->body).at("peer").get<std::string>().empty(), false);
    EXPECT_EQ(one.requestCount() + two.requestCount(), 3U);
}

TEST(Outcome, PlainServiceStatusIsForwarded)
{
    FakeBackend service;
    TestNode node;
    node.start({ &service });
    for (int status : { 409, 503, 404 }) {
        service.setBehaviour(plainAnswer("{\"its\":\"own\"}", status));
        auto result = node.client()->Post(
            "/v1/services/desk/x", TestNode::headers("key" + std::to_string(status)), "x", "text/plain");
        EXPECT_EQ(outcomeAndType(result), "answered");
        EXPECT_EQ(result->status, status);
        EXPECT_EQ(result->body, "{\"its\":\"own\"}");
    }
}

TEST(Outcome, RequestThatKillsItsServersIsRefused)
{
    FakeBackend engine;
    engine.setBehaviour(events({}, StreamEnd::Cut));
    TestNode node;
    node.start({ &engine });
    for (size_t death = 1; death <= 3; ++death) {
        auto result = node.chat(TestNode::headers("key" + std::to_string(death)));
        EXPECT_EQ(outcomeAndType(result), "may-have-run/backend_lost");
        EXPECT_EQ(engine.requestCount(), death);
        node.reportHostsReady(1);
    }
    auto stopped = node.chat(TestNode::headers("key4"));
    EXPECT_EQ(outcomeAndType(stopped), "not-run/poison");
    EXPECT_EQ(node.journal->voidedUpTo("key4"), 1U);
    EXPECT_EQ(engine.requestCount(), 3U);
}

TEST(Outcome, ExplainListsStepsAndTracesHops)
{
    FakeBackend engine;
    std::string upstreamTrace;
    engine.setBehaviour([&](const httplib::Request& request, httplib::Response& response) {
        upstreamTrace = request.get_header_value("traceparent");
        response.set_content("{}", "application/json");
    });
    TestNode node;
    node.start({ &engine });
    std::string traceId = "0af7651916cd43dd8448eb211c80319c";
    auto headers = TestNode::headers("key");
    headers.emplace("traceparent", "00-" + traceId + "-b7ad6b7169203331-01");
    auto result = node.chat(headers);
    ASSERT_TRUE(result);
    EXPECT_NE(upstreamTrace.find(traceId), std::string::npos);
    EXPECT_NE(result->get_header_value("traceparent").find(traceId), std::string::npos);
    EXPECT_NE(result->get_header_value("traceparent"), upstreamTrace);
    auto explained = node.client()->Get("/v1/explain/" + result->get_header_value("Kumquatpick-Request"));
    ASSERT_EQ(explained->status, 200);
    auto json = nlohmann::json::parse(explained->body);
    std::vector<std::string> steps;
    for (const auto& step : json.at("steps"))
        steps.push_back(step.at("step"));
    EXPECT_EQ(steps, (std::vector<std::string> { "admit", "permit", "dispatch" }));
    EXPECT_EQ(json.at("outcome"), "answered");
    EXPECT_EQ(node.client()->Get("/v1/explain/unknown")->status, 404);
    EXPECT_NE(node.client()->Get("/metrics")->body.find("requests_total{outcome=\"answered\""), std::string::npos);
}

TEST(Endpoints, ForOperatorsAndCallers)
{
    FakeBackend engine;
    TestNode node;
    node.nodes = { { { "127.0.0.1", 1 }, "howrah" }, { { "127.0.0.1", 2 }, "siliguri" },
        { { "127.0.0.1", 3 }, "howrah", 0, true } };
    node.start({ &engine });
    auto client = node.client();
    auto body = [](const httplib::Result& result) { return nlohmann::json::parse(result->body); };
    auto entries = body(client->Get("/v1/entries?zone=siliguri&caller=coach%201")).at("entries");
    ASSERT_EQ(entries.size(), 2U);
    EXPECT_EQ(entries[0].at("address"), "127.0.0.1:2");
    auto keys = body(client->Post("/v1/keys", R"({"service":"writers","count":2})", "application/json"));
    EXPECT_EQ(keys.at("keys").size(), 2U);
    EXPECT_EQ(client->Post("/v1/keys", R"({"count":-1})", "application/json")->status, 400);
    EXPECT_EQ(body(client->Get("/v1/config")).at("version"), 4);
    auto publish = [&](int basedOn) {
        nlohmann::json request { { "id", std::string(32, 'a') }, { "based_on", basedOn }, { "text", "t" } };
        return client->Post("/v1/config", request.dump(), "application/json");
    };
    EXPECT_EQ(body(publish(4)).at("verdict"), "accepted");
    EXPECT_EQ(publish(3)->status, 409);
    EXPECT_EQ(client->Post("/v1/config", "[]", "application/json")->status, 400);
    EXPECT_EQ(body(client->Get("/v1/status")).at("node"), "node1");
    EXPECT_EQ(client->Get("/nowhere")->status, 404);
    EXPECT_EQ(errorOf(client->Get("/nowhere")->body).at("outcome"), "not-run");
}

} // namespace Kumquatpick
