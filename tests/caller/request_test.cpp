#include "base/hash.h"
#include "caller/chatbody.h"
#include "caller/request.h"
#include "caller/ssestream.h"
#include "coordination/slotkey.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Kumquatpick {

namespace {

    const WallTime now { Milliseconds(1'800'000'000'000) };
    const std::string goodBody = R"({"model":"writers","messages":[]})";

    httplib::Headers goodHeaders()
    {
        return { { "Kumquatpick-Team", "board" }, { "Idempotency-Key", "key" },
            { "Kumquatpick-Issued", std::to_string(now.time_since_epoch().count()) } };
    }

    std::variant<CallerRequest, Refusal> parse(const httplib::Headers& headers, std::string_view body = goodBody,
        std::string_view target = chatPath, std::string_view method = "POST")
    {
        return parseRequest({ method, target, "application/json", body, headers }, CallerSettings {}, now);
    }

}

TEST(Request, ReadsEveryPart)
{
    auto headers = goodHeaders();
    headers.emplace("Kumquatpick-Attempt", "3");
    headers.emplace("Kumquatpick-Deadline-Ms", "1500");
    headers.emplace("Kumquatpick-Priority", "high");
    headers.emplace("traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01");
    auto parsed = parse(headers);
    const auto& request = std::get<CallerRequest>(parsed);
    EXPECT_EQ(request.service, "writers");
    EXPECT_EQ(request.team, "board");
    EXPECT_EQ(request.key.key, "key");
    EXPECT_EQ(request.key.attempt, 3U);
    EXPECT_EQ(request.key.issuedAt, now);
    EXPECT_EQ(request.timeout, Milliseconds(1500));
    EXPECT_EQ(request.priority, Priority::High);
    EXPECT_FALSE(request.repeatable);
    ASSERT_TRUE(request.trace);
    EXPECT_EQ(request.trace->traceId, "0af7651916cd43dd8448eb211c80319c");
}

TEST(Request, RefusesEveryMalformedPart)
{
    struct Case {
        const char* header;
        const char* value; // nullptr if the header is left out.
        RefusalType type;
    };
    const Case cases[] = {
        { "Kumquatpick-Team", nullptr, RefusalType::UnknownTeam },
        { "Kumquatpick-Team", "", RefusalType::Malformed },
        { "Kumquatpick-Team", "a\"b", RefusalType::Malformed },
        { "Idempotency-Key", nullptr, RefusalType::MissingKey },
        { "Idempotency-Key", "", RefusalType::Malformed },
        { "Idempotency-Key", "two words", RefusalType::Malformed },
        { "Kumquatpick-Issued", nullptr, RefusalType::MissingKey },
        { "Kumquatpick-Issued", "yesterday", RefusalType::Malformed },
        { "Kumquatpick-Issued", "-5", RefusalType::Malformed },
        { "Kumquatpick-Issued", "1900000000000", RefusalType::Malformed }, // Three years in the future.
        { "Kumquatpick-Attempt", "0", RefusalType::Malformed },
        { "Kumquatpick-Attempt", "-1", RefusalType::Malformed },
        { "Kumquatpick-Attempt", "4294967296", RefusalType::Malformed },
        { "Kumquatpick-Deadline-Ms", "soon", RefusalType::Malformed },
        { "Kumquatpick-Deadline-Ms", "99999999999999999999", RefusalType::Malformed },
        { "Kumquatpick-Deadline-Ms", "0", RefusalType::DeadlinePassed },
        { "Kumquatpick-Deadline-Ms", "-1", RefusalType::DeadlinePassed },
        { "Kumquatpick-Priority", "top", RefusalType::Malformed },
        { "Kumquatpick-Repeatable", "maybe", RefusalType::Malformed },
    };
    for (const Case& each : cases) {
        auto headers = goodHeaders();
        headers.erase(each.header);
        if (each.value)
            headers.emplace(each.header, each.value);
        auto parsed = parse(headers);
        ASSERT_TRUE(std::holds_alternative<Refusal>(parsed)) << each.header << ": " << (each.value ? each.value : "-");
        EXPECT_EQ(std::get<Refusal>(parsed).type, each.type) << each.header << ": " << (each.value ? each.value : "-");
    }
    for (const auto& [name, value] : goodHeaders()) {
        auto headers = goodHeaders();
        headers.emplace(name, "twice");
        EXPECT_TRUE(std::holds_alternative<Refusal>(parse(headers))) << name;
    }
    for (std::string_view body : { "", "{", "[]", "null", "\"model\"", R"({"model":7})", R"({"model":""})",
             R"({"model":"a b"})", "{\"model\":\"writers\"} tail", "\xff\xfe" })
        EXPECT_TRUE(std::holds_alternative<Refusal>(parse(goodHeaders(), body))) << body;
    EXPECT_TRUE(std::holds_alternative<Refusal>(parse(goodHeaders(), goodBody, chatPath, "GET")));
    EXPECT_TRUE(std::holds_alternative<Refusal>(parse(goodHeaders(), "", "/v1/services/", "GET")));
}

TEST(Request, KeyMadeByANodeNeedsNoIssueTime)
{
    auto headers = goodHeaders();
    headers.erase("Idempotency-Key");
    headers.erase("Kumquatpick-Issued");
    MintedKey minted { 7, now, 5, 1 };
    headers.emplace("Idempotency-Key", minted.toString());
    auto parsed = parse(headers);
    ASSERT_TRUE(std::holds_alternative<CallerRequest>(parsed));
    EXPECT_EQ(std::get<CallerRequest>(parsed).key.issuedAt, now);
}

TEST(Request, PromptPrefixesFollowTheMessages)
{
    std::string longText(600, 'x');
    auto body = parseChatBody(R"({"stream":true,"messages":[{"role":"system","content":")" + longText
        + R"("},{"role":"user","content":[{"type":"text","text":"b"}]}],"model":"m","user":{"content":"not this"}})");
    ASSERT_TRUE(body);
    EXPECT_TRUE(body->stream);
    EXPECT_EQ(body->prompt, longText + "\nb");
    EXPECT_EQ(promptPrefixHashes(body->prompt),
        (std::vector<uint64_t> { hash64(longText.substr(0, 256)), hash64(longText.substr(0, 512)) }));
}

TEST(Request, DeepNestingIsRefused)
{
    std::string deep = R"({"model":"m","x":)" + std::string(1'000'000, '[');
    EXPECT_FALSE(parseChatBody(deep));
    EXPECT_FALSE(parseChatBody(deep + std::string(1'000'000, ']') + "}"));
}

// Any input is either refused or parsed to a request with valid parts.
RC_GTEST_PROP(Request, IsValidOrRefused, ())
{
    auto names = rc::gen::element<std::string>("Kumquatpick-Team", "Idempotency-Key", "Kumquatpick-Issued",
        "Kumquatpick-Attempt", "Kumquatpick-Deadline-Ms", "Kumquatpick-Priority", "Kumquatpick-Repeatable",
        "traceparent");
    auto values = rc::gen::oneOf(rc::gen::arbitrary<std::string>(),
        rc::gen::element<std::string>("board", "true", "false", "1", "high", "1800000000000"));
    auto list = *rc::gen::container<std::vector<std::pair<std::string, std::string>>>(rc::gen::pair(names, values));
    httplib::Headers headers(list.begin(), list.end());
    auto body = *rc::gen::oneOf(rc::gen::arbitrary<std::string>(), rc::gen::just(goodBody));
    auto target = *rc::gen::oneOf(rc::gen::just(std::string(chatPath)),
        rc::gen::map(rc::gen::arbitrary<std::string>(), [](auto tail) { return "/v1/services/" + tail; }));
    auto method = *rc::gen::element<std::string>("GET", "POST", "PUT", "HEAD");
    auto parsed = parse(headers, body, target, method);
    if (auto* refusal = std::get_if<Refusal>(&parsed)) {
        RC_ASSERT(refusal->outcome == Outcome::NotRun);
        RC_ASSERT(!refusal->message.empty());
        return;
    }
    const auto& request = std::get<CallerRequest>(parsed);
    RC_ASSERT(request.repeatable || !request.key.key.empty());
    RC_ASSERT(request.timeout > Milliseconds(0));
    RC_ASSERT(!request.team.empty() && !request.service.empty());
    RC_ASSERT(request.upstreamPath.starts_with('/'));
    RC_ASSERT(request.body == body);
}

// However a stream is split into pieces, all of its bytes are released, and only at the ends of events.
RC_GTEST_PROP(SseStream, PassesWholeEventsInAnyPieces, (std::vector<uint8_t> cuts))
{
    auto events = *rc::gen::container<std::vector<std::string>>(rc::gen::element<std::string>(
        "data: 1\n\n", "data: {\"a\":\"\\n\"}\r\n\r\n", ": ping\n\n", "data: a\ndata: b\n\n"));
    bool done = *rc::gen::arbitrary<bool>();
    std::string all;
    for (const auto& event : events)
        all += event;
    if (done)
        all += "data: [DONE]\n\n";
    SseStream stream;
    std::string passed;
    std::string_view rest = all;
    for (size_t i = 0; !rest.empty(); ++i) {
        size_t size = std::min<size_t>(rest.size(), i < cuts.size() ? cuts[i] % 16 : rest.size());
        passed += stream.push(rest.substr(0, size));
        rest.remove_prefix(size);
        RC_ASSERT(passed.empty() || passed.ends_with("\n\n") || passed.ends_with("\r\n\r\n"));
        RC_ASSERT(all.starts_with(passed));
    }
    RC_ASSERT(passed + stream.takeRemaining() == all);
    RC_ASSERT(stream.isDone() == done);
}

TEST(SseStream, DoneInsideEventIsNotTheEnd)
{
    SseStream stream;
    stream.push("data: {\"text\":\"data: [DONE]\"}\n\n");
    EXPECT_FALSE(stream.isDone());
    stream.push("xdata: [DONE]\n\n");
    EXPECT_FALSE(stream.isDone());
    stream.push("data: [DONE]");
    EXPECT_TRUE(stream.isDone());
}

} // namespace Kumquatpick
