#include "platform/platformcodec.h"

#include "base/base64.h"
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

namespace Kumquatpick {

namespace {

    constexpr const char* configText = R"({"version":7,
        "routes":[{"name":"r","host":"a.example","pathPrefix":"/x/","type":"streaming","timeoutMs":8000,
            "targetLatencyMs":400,"priority":1,"backends":[{"service":"m","weight":90},{"service":"p","weight":10}],
            "maxAttempts":2,"public":false,"sessionAffinity":true,"streamResume":true,"targetGapMs":300},
            {"name":"s","host":"a.example","pathPrefix":"/y/","type":"idempotent","timeoutMs":1500,"service":"p",
            "maxAttempts":3,"public":true}],
        "services":[{"name":"m","healthCheck":"/h","maxConnections":9,"runtime":{"capacity":17,"loadsPerS":5.0,
            "loads_at_once":7,"modelList":[{"name":"big","size":4,"fraction":0.5,"pace":1.0,"loadS":16.0,"warmS":1.6}]}},
            {"name":"p","healthCheck":"/h","maxConnections":9}],
        "limits":{"maxHeaderBytes":1000,"maxBodyBytes":2000,"headerTimeoutMs":30,"idleTimeoutMs":40},
        "tenants":[{"name":"t","apiKeys":["k1","k2"],"priority":1}],"unknown":{"a":1}})";

    std::string keyedRecord(std::string_view key, std::string_view value)
    {
        std::string content(1, static_cast<char>(key.size()));
        content += key;
        content += value;
        auto size = static_cast<uint32_t>(content.size());
        std::string record;
        for (int shift = 24; shift >= 0; shift -= 8)
            record.push_back(static_cast<char>(size >> shift & 0xff));
        return record + content;
    }

    HttpResponse answer(unsigned status, std::string body)
    {
        HttpResponse response;
        response.result(status);
        response.body() = std::move(body);
        return response;
    }

    const PlatformCodec codec;

}

TEST(PlatformCodec, ReadsAConfiguration)
{
    auto config = std::get<FleetConfig>(codec.config(configText));
    EXPECT_EQ(config.version, 7u);
    ASSERT_EQ(config.routes.size(), 2u);
    EXPECT_TRUE(config.routes[0].streaming && config.routes[0].resumable && !config.routes[0].idempotent);
    EXPECT_EQ(config.routes[0].services.size(), 2u);
    EXPECT_EQ(config.routes[0].timeout, Milliseconds(8000));
    EXPECT_TRUE(config.routes[1].idempotent && config.routes[1].isPublic);
    ASSERT_TRUE(config.service("m")->servesModels());
    EXPECT_EQ(config.service("m")->models[0].hostsPerReplica, 4u);
    EXPECT_EQ(config.service("m")->models[0].warmLoad, Milliseconds(1600));
    EXPECT_EQ(config.service("m")->timing.concurrentLoads, 7u);
    EXPECT_FALSE(config.service("p")->servesModels());
    EXPECT_EQ(config.teams[0].keys.size(), 2u);
    EXPECT_EQ(config.limits.bodyBytes, 2000u);
}

RC_GTEST_PROP(PlatformCodec, NeverThrowsOnWhatTheStoreHolds, (const std::string& text))
{
    codec.config(text);
    codec.host("id", text);
    HttpResponse response = answer(200, text);
    codec.logPage(LogName::BackendServers, 0, response);
    codec.newestPage(response);
    codec.appendedAt(response);
    codec.status("id", response);
    std::string cut = std::string(configText).substr(0, text.size() % 900);
    RC_ASSERT(std::holds_alternative<Error>(codec.config(cut)));
}

// In the list "sequence" counts heartbeats, in a report the orders accepted.
TEST(PlatformCodec, TellsTheTwoSequencesApart)
{
    auto listed = std::get<Host>(codec.host("i-1", R"({"service":"m","address":"10.0.0.9:80","zone":"z","capacity":17,
        "state":"draining","sequence":40,"faultDomain":"d","preloaded":["big"],"modelList":[{"name":"big"}],
        "group":{"name":"g","epoch":12,"rank":1,"state":"ready"}})"));
    EXPECT_FALSE(listed.status.ordersAccepted) << "the list counts heartbeats";
    EXPECT_TRUE(listed.draining);
    EXPECT_EQ(listed.status.membership->epoch, 12u);
    EXPECT_EQ(listed.status.stagedModels, std::vector<std::string> { "big" });
    auto reported = std::get<HostStatus>(codec.status("i-1", answer(200, R"({"sequence":3,"group":null})")));
    EXPECT_EQ(reported.ordersAccepted.value_or(0), 3u);
    EXPECT_FALSE(reported.membership);
}

TEST(PlatformCodec, SeesAnotherLifeInAReport)
{
    HttpResponse response = answer(200, R"({"sequence":0})");
    response.set("Instance-Id", "i-2");
    EXPECT_EQ(std::get<Error>(codec.status("i-1", response)).code, ErrorCode::NotFound);
    EXPECT_TRUE(std::holds_alternative<HostStatus>(codec.status("i-2", response)));
}

TEST(PlatformCodec, ReadsPagesOfALog)
{
    std::string body(16, '\0');
    body += keyedRecord("i-1", "{}") + keyedRecord("i-2", "");
    auto page = std::get<LogPage>(codec.logPage(LogName::BackendServers, 40, answer(200, body)));
    ASSERT_EQ(page.records.size(), 2u);
    EXPECT_EQ(page.records[0].key, "i-1");
    EXPECT_EQ(page.records[1].value, std::nullopt) << "a key without a value is dropped";
    EXPECT_EQ(page.records[1].offset, 41u);
    EXPECT_EQ(page.nextOffset, 42u);
    auto cut = codec.logPage(LogName::BackendServers, 40, answer(200, body.substr(0, body.size() - 2)));
    EXPECT_EQ(std::get<Error>(cut).code, ErrorCode::Malformed);
}

TEST(PlatformCodec, GoesOnWhereDeletedRecordsEnd)
{
    auto page = std::get<LogPage>(codec.logPage(LogName::Controller, 3, answer(410, R"({"startOffset":90})")));
    EXPECT_TRUE(page.isGap);
    EXPECT_EQ(page.nextOffset, 90u);
}

TEST(PlatformCodec, AppendsOnACondition)
{
    HttpRequest request = codec.append(LogName::Controller, 12, "abc");
    EXPECT_NE(toView(request.target()).find("at=12"), std::string_view::npos);
    EXPECT_EQ(request.body(), std::string("\0\0\0\3abc", 7));
    EXPECT_EQ(std::get<uint64_t>(codec.appendedAt(answer(200, R"({"offset":12,"endOffset":13})"))), 12u);
    EXPECT_EQ(std::get<Error>(codec.appendedAt(answer(412, "{}"))).code, ErrorCode::Stale);
    EXPECT_EQ(std::get<Error>(codec.appendedAt(answer(503, "{}"))).code, ErrorCode::Overloaded);
}

// The key stays here; what the gateway says of itself is not the caller's to say.
TEST(PlatformCodec, PassesOnWhatIsTheCallersAndNothingElse)
{
    RequestHead head;
    head.method(http::verb::post);
    head.target("/x/y?z=1");
    for (auto [name, value] : std::initializer_list<std::pair<const char*, const char*>> { { "Host", "a.example:80" },
             { "Attempt-Id", "id-1" }, { "Key", "secret" }, { "Tenant", "forged" }, { "Target-Instance", "forged" },
             { "Request-Priority", "0" }, { "Deadline-Ms", "8000" }, { "Model-Id", "big" }, { "Token-Count", "100,20" },
             { "Connection", "keep-alive, X-Hop" }, { "X-Hop", "1" }, { "X-Other", "2" } })
        head.insert(name, value);
    Call call = std::get<Call>(codec.call(head));
    EXPECT_EQ(call.host, "a.example");
    EXPECT_EQ(call.key, "secret");
    EXPECT_EQ(call.model, "big");
    EXPECT_EQ(call.promptTokens, 100u);
    EXPECT_EQ(call.mostAnswerTokens, 20u);
    EXPECT_EQ(*call.patience, Milliseconds(8000));
    Send send;
    send.hostId = "i-1";
    send.team = "t";
    send.patience = Milliseconds(700);
    send.resumeAfter = "4";
    HttpRequest request = codec.forward(call, send);
    EXPECT_EQ(request.target(), "/x/y?z=1");
    EXPECT_EQ(request["Attempt-Id"], "id-1");
    EXPECT_EQ(request["Tenant"], "t");
    EXPECT_EQ(request["Target-Instance"], "i-1");
    EXPECT_EQ(request["Deadline-Ms"], "700");
    EXPECT_EQ(request["Last-Event-Id"], "4");
    EXPECT_EQ(request["Model-Id"], "big");
    EXPECT_EQ(request["X-Other"], "2");
    EXPECT_EQ(request.count("Key") + request.count("X-Hop"), 0u);
}

TEST(PlatformCodec, BelievesOnlyAPromiseThatARequestDidNotRun)
{
    ResponseHead head;
    head.result(503);
    EXPECT_FALSE(codec.reply(head).notRun);
    head.set("Not-Executed", "1");
    EXPECT_TRUE(codec.reply(head).notRun);
    ResponseHead other;
    other.result(421);
    EXPECT_TRUE(codec.reply(other).notRun);
}

TEST(PlatformCodec, WritesOrders)
{
    HostOrder join { OrderKind::Join, "i-1", "replica-5", 5, "big", { "i-1", "i-2" }, 12 };
    auto body = nlohmann::json::parse(codec.order(join, 3).body());
    EXPECT_EQ(body["operation"], "join");
    EXPECT_EQ(body["fencingToken"], 3);
    EXPECT_EQ(body["members"].size(), 2u);
    EXPECT_EQ(codec.order(join, 3)["Target-Instance"], "i-1");
    EXPECT_EQ(body["precondition"], 12);
    HostOrder stage { OrderKind::Stage, "i-1", {}, 0, "big", {}, {} };
    auto staged = nlohmann::json::parse(codec.order(stage, 3).body());
    EXPECT_EQ(staged["operation"], "phase");
    EXPECT_FALSE(staged.contains("group"));
    EXPECT_FALSE(staged.contains("precondition"));
    EXPECT_EQ(codec.orderResult(answer(202, "")), OrderResult::Accepted);
    EXPECT_EQ(codec.orderResult(answer(409, "")), OrderResult::Unfit);
    EXPECT_EQ(codec.orderResult(answer(412, "")), OrderResult::Fenced);
    EXPECT_EQ(codec.orderResult(answer(421, "")), OrderResult::Gone);
}

TEST(PlatformCodec, AnswersWhichNodesToUse)
{
    auto question = codec.entriesQuestion("/resolve?name=a.example&region=bengal&zone=howrah");
    ASSERT_TRUE(question);
    EXPECT_EQ(question->zone, "howrah");
    EXPECT_FALSE(codec.entriesQuestion("/other"));
    std::vector<std::string> addresses { "10.0.0.1:80" };
    auto body = nlohmann::json::parse(codec.entriesAnswer(addresses, Milliseconds(1500)));
    EXPECT_EQ(body["addresses"][0], "10.0.0.1:80");
    EXPECT_EQ(body["ttlS"], 1.5);
}

} // namespace Kumquatpick
