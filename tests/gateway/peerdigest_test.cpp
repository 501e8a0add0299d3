#include "gateway/peerdigest.h"

#include "gateway/relay.h"
#include <gtest/gtest.h>

namespace Kumquatpick {

TEST(PeerDigest, SkipsUndecodableStatus)
{
    PeerDigest digest;
    digest.reported = { { "host-a", {}, Milliseconds(1) }, { "host-b", {}, Milliseconds(2) } };
    std::string text = encode(digest);
    text.replace(text.find("\"host-a\""), 8, "[true, 7]");
    auto read = decodeDigest(text);
    ASSERT_TRUE(read);
    ASSERT_EQ(read->reported.size(), 1u);
    EXPECT_EQ(read->reported[0].hostId, "host-b");
}

TEST(PeerDigest, RoundTripsThroughEncoding)
{
    PeerDigest digest;
    digest.name = "node-1";
    digest.incarnation = 77;
    digest.callers = "10.0.0.1:80";
    digest.peers = "10.0.0.1:81";
    digest.zone = "howrah";
    digest.isStopping = true;
    digest.anyCallSeen = true;
    digest.configVersion = 9;
    digest.controllerTerm = 31;
    digest.inFlight = { { "host-a", 3 } };
    digest.unmetDemand = { { "large", 1.5 } };
    digest.stalledHeads = { "host-a" };
    digest.knownPeers = { "10.0.0.2:81" };
    ReportedStatus reported;
    reported.hostId = "host-a";
    reported.age = Milliseconds(120);
    reported.status.ordersAccepted = 4;
    reported.status.model = "large";
    reported.status.stagedModels = { "large" };
    reported.status.domain = "d1";
    reported.status.membership = Membership { "replica-5", 5, 1, MemberState::Ready };
    digest.reported = { reported };
    digest.limits = { { "host-a", 1.5, Milliseconds(40) }, { "host-b", std::nullopt, Milliseconds(50) } };

    auto read = decodeDigest(encode(digest));
    ASSERT_TRUE(read);
    EXPECT_EQ(encode(*read), encode(digest));
    EXPECT_EQ(read->reported.at(0).status.membership->state, MemberState::Ready);
    EXPECT_EQ(read->limits.at(0).perSecond, 1.5);
    EXPECT_EQ(read->limits.at(1).perSecond, std::nullopt);
}

// Guards against applying outdated statuses: a partition delayed a digest by five seconds, and its outdated status
// freed the hosts of an open replica.
TEST(PeerDigest, DropsHostReportsOfUnknownAge)
{
    PeerDigest digest;
    digest.reported = { { "host-a", {}, Milliseconds(120) } };
    digest.limits = { { "host-a", std::nullopt, Milliseconds(120) } };
    addTransitDelay(digest, Milliseconds(300));
    EXPECT_EQ(digest.limits.at(0).age, Milliseconds(420));
    ASSERT_EQ(digest.reported.size(), 1u);
    EXPECT_EQ(digest.reported[0].age, Milliseconds(420));
    addTransitDelay(digest, {});
    EXPECT_TRUE(digest.reported.empty());
    EXPECT_TRUE(digest.limits.empty());
}

TEST(PeerDigest, SkipsUndecodableLimit)
{
    PeerDigest digest;
    digest.limits = { { "host-a", 1.5, Milliseconds(1) }, { "host-b", 2.5, Milliseconds(2) } };
    std::string text = encode(digest);
    text.replace(text.find("1.5"), 3, "[9]");
    auto read = decodeDigest(text);
    ASSERT_TRUE(read);
    ASSERT_EQ(read->limits.size(), 1u);
    EXPECT_EQ(read->limits[0].hostId, "host-b");
}

TEST(PeerDigest, RejectsInvalidDigests)
{
    for (const char* text : { "", "{}", "[1]", "{\"name\":5}", "\xff\xfe" })
        EXPECT_FALSE(decodeDigest(text)) << text;
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

} // namespace Kumquatpick
