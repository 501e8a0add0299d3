#include "gateway/nodecodec.h"

#include "gateway/relay.h"
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

namespace Kumquatpick {

namespace {

    using nlohmann::json;

    NodeState stateOf(int index)
    {
        NodeState state;
        state.address = fmt::format("10.0.0.{}:81", index);
        state.name = fmt::format("node-{}", index);
        state.incarnation = 77;
        state.callers = fmt::format("10.0.0.{}:80", index);
        state.zone = "howrah";
        state.cpuShare = 0.12;
        state.isReady = true;
        state.monitor = "10.0.0.9:81";
        state.sequence = 5;
        return state;
    }

    NodeMessage fullMessage()
    {
        NodeMessage message;
        message.sender = stateOf(1);
        message.isRelay = true;
        message.isSettled = true;
        message.configVersion = 9;
        message.controllerTerm = 31;
        message.anyCallSeen = true;
        message.inFlight = { { "host-a", 3 } };
        message.unmetDemand = { { { "writers", "large" }, 1.5 }, { { "writers-new", "large" }, 0.5 } };
        message.progressAges = { { "host-a", Milliseconds(70) } };
        message.limits = { { "host-a", 1.5, Milliseconds(40) }, { "host-b", std::nullopt, Milliseconds(50) } };
        message.evacuations = EvacuationReport { 12, { { "zone-a", Milliseconds(700) } } };
        message.nodes = { stateOf(2), stateOf(3) };
        message.nodes[1].isSilent = true;
        message.nodes[1].isStopping = true;
        message.nodes[0].cutOffServices = { "desk", "writers" };
        ReportedStatus reported;
        reported.hostId = "host-a";
        reported.status.ordersAccepted = 4;
        reported.status.model = "large";
        reported.status.stagedModels = { "large" };
        reported.status.domain = "d1";
        reported.status.membership = Membership { "replica-5", 5, 1, MemberState::Ready };
        message.facts = { { "node-1/4d", 1, Milliseconds(120), reported },
            { "node-1/4d", 2, Milliseconds(3), StalledHead { "host-b" } } };
        message.suspicions = { { 99, 77, 2, 0, { 5, 6 } }, { 100, 78, 6, 6, { 1, 2, 3, 4 } } };
        message.suspicions.push_back({ 55, 77, 3, 1, { 7, 8 } });
        message.suspicions.back().kind = SuspectKind::PromptPart;
        message.suspicions.back().depth = 1;
        message.suspicions.back().clearedIds = { 9 };
        message.suspicions.back().detectionDelay = Milliseconds(40);
        message.sent = { 77, 12, 2, 3 };
        message.received = { 78, 40, 1, 4 };
        message.bucketHashes = NodeTable::BucketHashes { 1, 2, 3 };
        message.unreachable = { "10.0.0.4:81" };
        message.hasMore = true;
        message.fleetNodes = 9;
        message.clock = Milliseconds(123'456);
        message.echo = ClockEcho { 78, Milliseconds(99), Milliseconds(250) };
        return message;
    }

    json documentOf(const NodeMessage& message) { return json::from_cbor(encode(message)); }

    std::optional<NodeMessage> decoded(const json& document)
    {
        auto bytes = json::to_cbor(document);
        return decodeNodeMessage({ reinterpret_cast<const char*>(bytes.data()), bytes.size() });
    }

}

TEST(NodeCodec, RoundTripsThroughEncoding)
{
    NodeMessage message = fullMessage();
    auto read = decodeNodeMessage(encode(message));
    ASSERT_TRUE(read);
    EXPECT_EQ(encode(*read), encode(message));
    EXPECT_EQ(read->sender, message.sender);
    EXPECT_EQ(read->nodes, message.nodes);
    EXPECT_EQ(read->unmetDemand, message.unmetDemand);
    EXPECT_EQ(read->facts.at(0).content, message.facts[0].content);
    EXPECT_EQ(read->limits.at(1).perSecond, std::nullopt);
    EXPECT_EQ(read->received, message.received);
    EXPECT_EQ(read->fleetNodes, 9u);
    ASSERT_TRUE(read->evacuations);
    EXPECT_EQ(read->evacuations->asOf, 12u);
    EXPECT_EQ(read->evacuations->zones.at(0).zone, "zone-a");
    EXPECT_EQ(read->evacuations->zones.at(0).age, Milliseconds(700));
    ASSERT_EQ(read->suspicions.size(), 3u);
    EXPECT_EQ(read->suspicions[0].deathIds, message.suspicions[0].deathIds);
    const SuspicionCount& shared = read->suspicions[2];
    EXPECT_EQ(shared.suspect(), (Suspect { SuspectKind::PromptPart, 55 }));
    EXPECT_EQ(shared.deathIds, message.suspicions[2].deathIds);
    EXPECT_EQ(shared.clearedIds, message.suspicions[2].clearedIds);
    EXPECT_EQ(shared.detectionDelay, Milliseconds(40));
}

// During a rolling replacement, nodes of an earlier version name models without their services.
TEST(NodeCodec, IgnoresDemandWithoutItsService)
{
    json document = documentOf(fullMessage());
    document.erase("unmet_by_service");
    document["unmet"] = { { "large", 1.5 } };
    auto read = decoded(document);
    ASSERT_TRUE(read);
    EXPECT_TRUE(read->unmetDemand.empty());
    EXPECT_EQ(read->inFlight, fullMessage().inFlight);
}

// During a rolling replacement, nodes of an earlier version send and acknowledge no counts of server deaths.
TEST(NodeCodec, ReadsNodesThatKnowNoSuspicions)
{
    json document = documentOf(fullMessage());
    document.erase("suspicions");
    document.erase("shared_suspicions");
    document["received"].erase(3);
    document["sent"].erase(3);
    auto read = decoded(document);
    ASSERT_TRUE(read);
    EXPECT_TRUE(read->suspicions.empty());
    EXPECT_EQ(read->received, (FeedPosition { 78, 40, 1, 0 }));
}

// Guards against counts that would stop harmless requests, or clear harmful ones, for good.
TEST(NodeCodec, IgnoresCountsThatNoNodeMade)
{
    NodeMessage message = fullMessage();
    message.suspicions = { { 1, 77, 3, 0, { 5 } }, { 2, 0, 1, 0, { 5 } }, { 3, 77, 4'000'000'000, 0, { 1, 2, 3, 4 } },
        { 4, 77, 0, 4'000'000'000 }, { 5, 77, 1, 0, { 5 } } };
    auto read = decodeNodeMessage(encode(message));
    ASSERT_TRUE(read);
    ASSERT_EQ(read->suspicions.size(), 1u);
    EXPECT_EQ(read->suspicions[0].fingerprint, 5u);
}

// The same for what requests share, and for kinds that only later versions know.
TEST(NodeCodec, IgnoresSharedCountsThatNoNodeMade)
{
    NodeMessage message = fullMessage();
    SuspicionCount valid = message.suspicions.back();
    message.suspicions.assign(5, valid);
    message.suspicions[1].kind = static_cast<SuspectKind>(9);
    message.suspicions[2].deathIds.assign(4, 1);
    message.suspicions[3].clearedIds.assign(2, 1);
    message.suspicions[4].depth = 1000;
    auto read = decodeNodeMessage(encode(message));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->suspicions.size(), 1u);
}

TEST(NodeCodec, SkipsWhatCannotBeDecoded)
{
    json document = documentOf(fullMessage());
    document["nodes"][0] = "garbage";
    document["facts"][0][2] = json::array({ true, 7 });
    document["limits"][0] = 9;
    document["evacuations"] = json::array({ "never", 3 });
    auto read = decoded(document);
    ASSERT_TRUE(read);
    ASSERT_EQ(read->nodes.size(), 1u);
    EXPECT_EQ(read->nodes[0].name, "node-3");
    ASSERT_EQ(read->facts.size(), 1u);
    ASSERT_EQ(read->limits.size(), 1u);
    EXPECT_FALSE(read->evacuations);
}

// A peer of a later version, or one that sends nonsense, is not believed in part.
TEST(NodeCodec, RejectsOtherVersionsAndInvalidSenders)
{
    json document = documentOf(fullMessage());
    document["v"] = 2;
    EXPECT_FALSE(decoded(document));
    document = documentOf(fullMessage());
    document["sender"][0] = "nowhere";
    EXPECT_FALSE(decoded(document));
    document = documentOf(fullMessage());
    document["sender"][8] = uint64_t(1) << 60;
    EXPECT_FALSE(decoded(document)) << "a sequence that leaves no room to refute it";
    for (const char* text : { "", "{}", "[1]", "{\"name\":5}", "\xff\xfe", "\xa1" })
        EXPECT_FALSE(decodeNodeMessage(text)) << text;
    std::string tooLarge;
    tooLarge.resize(10'000'000, '\x80');
    EXPECT_FALSE(decodeNodeMessage(tooLarge));
}

TEST(NodeCodec, IgnoresStatesThatNobodyCouldRefute)
{
    NodeMessage message = fullMessage();
    message.nodes[0].sequence = uint64_t(1) << 60;
    message.nodes[1].address = "10.0.0.3";
    auto read = decodeNodeMessage(encode(message));
    ASSERT_TRUE(read);
    EXPECT_TRUE(read->nodes.empty());
}

// Whatever arrives is either a message or rejected.
RC_GTEST_PROP(NodeCodecProperty, DamagedMessagesAreReadOrRejected, ())
{
    std::string bytes = encode(fullMessage());
    int changes = *rc::gen::inRange(1, 6);
    for (int i = 0; i < changes; ++i)
        bytes[*rc::gen::inRange<size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
    bytes.resize(*rc::gen::inRange<size_t>(0, bytes.size() + 1));
    auto read = decodeNodeMessage(bytes);
    RC_ASSERT(!read || !read->sender.name.empty());
}

TEST(Relay, RoundTripsCallsAndResponses)
{
    RelayedCall call;
    call.host = { "10.1.2.3", 900 };
    call.request = HttpRequest(http::verb::post, "/order", 11, "{}");
    call.request.set("Some-Header", "value");
    auto read = decodeRelayedCall(encode(call));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->host, call.host);
    EXPECT_EQ(read->request.target(), "/order");
    EXPECT_EQ(read->request["Some-Header"], "value");
    EXPECT_FALSE(decodeRelayedCall("{\"host\":\"nowhere\"}"));

    Settled<HttpResponse> failed = Error { ErrorCode::Unreachable, Step::Probe, "x", "timed out" };
    EXPECT_EQ(std::get<Error>(decodeRelayedAnswer(encode(failed))).code, ErrorCode::Unreachable);
    HttpResponse response(http::status::accepted, 11, "body");
    EXPECT_EQ(std::get<HttpResponse>(decodeRelayedAnswer(encode(Settled<HttpResponse>(response)))).body(), "body");
    EXPECT_EQ(std::get<Error>(decodeRelayedAnswer("garbage")).code, ErrorCode::Malformed);
}

// Guards against a node handing on an answer of a server whose status or fields no answer may have.
TEST(Relay, TakesABrokenHeadForNoAnswer)
{
    auto decode = [](int status, const std::string& name, const std::string& value) {
        json text { { "status", status }, { "body", "body" },
            { "headers", json::array({ json::array({ name, value }) }) } };
        return decodeRelayedAnswer(text.dump());
    };
    EXPECT_EQ(std::get<HttpResponse>(decode(200, "Name", "a\tvalue"))["Name"], "a\tvalue");
    for (int status : { 0, 1, 99, 100, 101, 103, 199, 600, 999, -200 })
        EXPECT_TRUE(std::holds_alternative<Error>(decode(status, "Name", "value"))) << status;
    for (const char* name : { "", "Bad Name", "Name ", " Name", "Na\x01me", "Na\nme", "Name:" })
        EXPECT_TRUE(std::holds_alternative<Error>(decode(200, name, "value"))) << name;
    for (const char* value : { "a\r\nOther: b", "a\x01", "a\x7f" })
        EXPECT_TRUE(std::holds_alternative<Error>(decode(200, "Name", value))) << value;
}

} // namespace Kumquatpick
