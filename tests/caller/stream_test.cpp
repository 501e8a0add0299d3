#include "caller/rawcaller.h"
#include "caller/testnode.h"

#include <latch>

namespace Kumquatpick {

namespace {

    std::string joined(const std::vector<std::string>& pieces)
    {
        std::string all;
        for (const auto& piece : pieces)
            all += piece;
        return all;
    }

    // Passes each piece of a stream to take() as it arrives; closes the connection once take() returns false.
    template <typename Take> httplib::Result streamChat(TestNode& node, const httplib::Headers& headers, Take take)
    {
        httplib::Request request;
        request.method = "POST";
        request.path = "/v1/chat/completions";
        request.headers = headers;
        request.set_header("Content-Type", "application/json");
        request.body = TestNode::chatBody;
        request.content_receiver
            = [&](const char* data, size_t size, uint64_t, uint64_t) { return take(std::string_view(data, size)); };
        return node.client()->send(request);
    }

}

TEST(Stream, PassesBytesOnUnchanged)
{
    FakeBackend engine;
    // Every byte value but 0, event ends within and between pieces, and a piece larger than all buffers.
    std::string bytes;
    for (int value = 1; value < 256; ++value)
        bytes += static_cast<char>(value);
    std::vector<std::string> pieces { "data: {\"a\"", ":1}\n", "\ndata: " + bytes + "\r\n\r\n",
        "data: " + std::string(300'000, 'x') + "\n\n" };
    engine.setBehaviour(events(pieces, StreamEnd::Done));
    TestNode node;
    node.start({ &engine });
    auto result = node.chat(TestNode::headers());
    ASSERT_TRUE(result);
    EXPECT_EQ(result->status, 200);
    EXPECT_EQ(result->get_header_value("Content-Type"), "text/event-stream");
    EXPECT_EQ(result->get_header_value("Kumquatpick-Outcome"), "answered");
    EXPECT_EQ(result->body, joined(pieces) + "data: [DONE]\n\n");
}

TEST(Stream, PassesEachEventOnBeforeTheNext)
{
    FakeBackend engine;
    auto gate = std::make_shared<Gate>();
    engine.setBehaviour(events({ "data: 1\n\n", "data: 2\n\n" }, StreamEnd::Done, gate));
    TestNode node;
    node.start({ &engine });
    std::string seen;
    // The engine sends its second event only once the caller has the first.
    auto result = streamChat(node, TestNode::headers(), [&](std::string_view piece) {
        seen += piece;
        if (seen == "data: 1\n\n")
            gate->open();
        return true;
    });
    ASSERT_TRUE(result);
    EXPECT_EQ(seen, "data: 1\n\ndata: 2\n\ndata: [DONE]\n\n");
}

TEST(Stream, ServesTwoHundredAtOnce)
{
    constexpr size_t streams = 200;
    FakeBackend engine;
    auto gate = std::make_shared<Gate>();
    engine.setBehaviour(events({ "data: 1\n\n", "data: 2\n\n" }, StreamEnd::Done, gate));
    TestNode node;
    node.settings.threads = streams + 8;
    node.start({ &engine });
    std::atomic<size_t> whole = 0;
    std::vector<std::thread> callers;
    for (size_t i = 0; i < streams; ++i) {
        callers.emplace_back([&, i] {
            auto result = node.chat(TestNode::headers("key" + std::to_string(i)));
            if (result && result->body == "data: 1\n\ndata: 2\n\ndata: [DONE]\n\n")
                ++whole;
        });
    }
    engine.waitForRequests(streams);
    EXPECT_EQ(node.server->inFlight(), streams);
    gate->open();
    for (auto& caller : callers)
        caller.join();
    EXPECT_EQ(whole, streams);
    EXPECT_EQ(engine.requestCount(), streams);
}

TEST(Stream, BrokenUpstreamEndsWithTheErrorEvent)
{
    for (StreamEnd end : { StreamEnd::Cut, StreamEnd::NoDone }) {
        FakeBackend engine;
        engine.setBehaviour(events({ "data: 1\n\n", "data: half an ev" }, end));
        TestNode node;
        node.start({ &engine });
        auto result = node.chat(TestNode::headers("key"));
        ASSERT_TRUE(result);
        constexpr std::string_view begin = "data: 1\n\nevent: error\ndata: ";
        ASSERT_TRUE(result->body.starts_with(begin)) << result->body;
        ASSERT_TRUE(result->body.ends_with("\n\n"));
        auto error = errorOf(result->body.substr(begin.size()));
        EXPECT_EQ(error.at("outcome"), "may-have-run");
        EXPECT_EQ(error.at("type"), "backend_lost");
        EXPECT_EQ(result->body.find("[DONE]"), std::string::npos);
        // A resend must not run again.
        EXPECT_EQ(outcomeAndType(node.chat(TestNode::headers("key"))), "may-have-run/backend_lost");
        EXPECT_EQ(engine.requestCount(), 1U);
    }
}

TEST(Stream, TruncatedPlainBodyIsDetected)
{
    FakeBackend service;
    TestNode node;
    node.settings.bufferedAnswerBytes = 1000;
    node.start({ &service });
    // This answer is short enough to be read before anything is sent to the caller, which gets a refusal.
    service.setBehaviour(truncatedAnswer(100, "{\"half\":"));
    auto shortAnswer = node.client()->Post("/v1/services/desk/record", TestNode::headers("a"), "x", "text/plain");
    EXPECT_EQ(outcomeAndType(shortAnswer), "may-have-run/backend_lost");
    node.reportHostsReady(1);
    // This answer exceeds the limit, so the caller fails to read it.
    service.setBehaviour(truncatedAnswer(10'000, std::string(5'000, 'x')));
    auto longAnswer = node.client()->Post("/v1/services/desk/record", TestNode::headers("b"), "x", "text/plain");
    EXPECT_FALSE(longAnswer);
}

TEST(Stream, AnswerToOtherRequestIsNotForwarded)
{
    FakeBackend engine;
    engine.setBehaviour([](const httplib::Request&, httplib::Response& response) {
        response.headers.erase("Kumquatpick-Request");
        response.set_header("Kumquatpick-Request", "another");
        response.set_content("another caller's answer", "application/json");
    });
    TestNode node;
    node.start({ &engine });
    auto result = node.chat(TestNode::headers("key"));
    EXPECT_EQ(outcomeAndType(result), "may-have-run/backend_lost");
    EXPECT_EQ(result->body.find("another caller's"), std::string::npos);
}

TEST(Stream, DisconnectCancelsRequestAtEngine)
{
    FakeBackend engine;
    engine.setBehaviour(endlessEvents());
    TestNode node;
    node.start({ &engine });
    auto result = streamChat(node, TestNode::headers(), [](std::string_view) { return false; });
    EXPECT_FALSE(result);
    engine.waitForCancel();
}

// A disconnect must also cancel a request whose engine has sent no byte yet. If it is checked only when bytes arrive,
// the engine runs on without a caller.
TEST(Stream, DisconnectBeforeFirstByteCancelsRequestAtEngine)
{
    FakeBackend engine;
    auto gate = std::make_shared<Gate>();
    engine.setBehaviour([gate](const httplib::Request&, httplib::Response&) { gate->wait(); });
    TestNode node;
    node.start({ &engine });
    {
        RawCaller caller(node.server->address().port);
        caller.send("POST /v1/chat/completions HTTP/1.1\r\nKumquatpick-Team: board\r\nKumquatpick-Repeatable: true\r\n"
                    "Content-Type: application/json\r\nContent-Length: "
            + std::to_string(std::string_view(TestNode::chatBody).size()) + "\r\n\r\n" + TestNode::chatBody);
        engine.waitForRequests(1);
    }
    engine.waitForCancel();
    gate->open();
}

TEST(Stream, AnswerIsStoredForResendAfterDisconnect)
{
    FakeBackend engine;
    auto gate = std::make_shared<Gate>();
    engine.setBehaviour(events({ "data: 1\n\n", "data: 2\n\n" }, StreamEnd::Done, gate));
    TestNode node;
    node.start({ &engine });
    auto left = streamChat(node, TestNode::headers("key"), [](std::string_view) { return false; });
    EXPECT_FALSE(left);
    EXPECT_EQ(outcomeAndType(node.chat(TestNode::headers("key"))), "undecided/undecided");
    gate->open();
    httplib::Result again = node.chat(TestNode::headers("key"));
    while (outcomeAndType(again) == "undecided/undecided")
        again = node.chat(TestNode::headers("key"));
    EXPECT_EQ(again->body, "data: 1\n\ndata: 2\n\ndata: [DONE]\n\n");
    EXPECT_EQ(engine.requestCount(), 1U);
    EXPECT_FALSE(engine.anyCancelled());
}

TEST(Stream, StalledReaderIsCutAndCancelled)
{
    FakeBackend engine;
    engine.setBehaviour(endlessEvents());
    TestNode node;
    node.settings.stallTimeout = Milliseconds(50);
    node.start({ &engine });
    Gate cancelled;
    std::thread caller([&] {
        // Reads one piece and then nothing more, with the connection open.
        streamChat(node, TestNode::headers(), [&](std::string_view) {
            cancelled.wait();
            return false;
        });
    });
    engine.waitForCancel();
    cancelled.open();
    caller.join();
}

TEST(Stream, DeadlineAppliesToStream)
{
    FakeBackend engine;
    auto gate = std::make_shared<Gate>();
    engine.setBehaviour(events({ "data: 1\n\n", "data: 2\n\n" }, StreamEnd::Done, gate));
    TestNode node;
    node.start({ &engine });
    auto headers = TestNode::headers("key");
    headers.emplace("Kumquatpick-Deadline-Ms", "200");
    auto result = node.chat(headers);
    ASSERT_TRUE(result);
    EXPECT_NE(result->body.find("\"type\":\"timeout\""), std::string::npos) << result->body;
    gate->open();
}

TEST(Stream, DrainLetsStreamsFinishAndRefusesNewRequests)
{
    FakeBackend engine;
    auto gate = std::make_shared<Gate>();
    engine.setBehaviour(events({ "data: 1\n\n", "data: 2\n\n" }, StreamEnd::Done, gate));
    TestNode node;
    node.start({ &engine });
    httplib::Result result(nullptr, httplib::Error::Unknown);
    std::thread caller([&] { result = node.chat(TestNode::headers("key")); });
    engine.waitForRequests(1);
    node.server->beginDrain();
    auto refused = node.chat(TestNode::headers("other"));
    EXPECT_EQ(outcomeAndType(refused), "not-run/stopping");
    EXPECT_EQ(errorOf(refused->body).at("next_attempt"), 2);
    EXPECT_TRUE(refused->has_header("Retry-After"));
    EXPECT_EQ(node.client()->Get("/readyz")->status, 503);
    EXPECT_EQ(node.client()->Get("/healthz")->status, 200);
    gate->open();
    EXPECT_TRUE(node.server->drain(monotonicNow() + std::chrono::minutes(1)));
    caller.join();
    ASSERT_TRUE(result);
    EXPECT_EQ(result->body, "data: 1\n\ndata: 2\n\ndata: [DONE]\n\n");
    EXPECT_EQ(engine.requestCount(), 1U);
}

TEST(Stream, ServesPlainServicesWithMethodQueryAndType)
{
    FakeBackend service;
    service.setBehaviour([](const httplib::Request& request, httplib::Response& response) {
        response.status = 201;
        response.set_content(
            request.method + " " + request.target + " " + request.get_header_value("Content-Type") + " " + request.body,
            "text/plain");
    });
    TestNode node;
    node.start({ &service });
    auto put = node.client()->Put("/v1/services/desk/results/7?heat=3%20b", TestNode::headers("key"), "a=b&c",
        "application/x-www-form-urlencoded");
    ASSERT_TRUE(put);
    EXPECT_EQ(put->status, 201);
    EXPECT_EQ(put->body, "PUT /results/7?heat=3%20b application/x-www-form-urlencoded a=b&c");
    auto get = node.client()->Get("/v1/services/desk/results", { { "Kumquatpick-Team", "board" } });
    ASSERT_TRUE(get);
    EXPECT_TRUE(get->body.starts_with("GET /results"));
    // Multipart bodies are forwarded unchanged. The fake service parses the form and returns the content of its file.
    service.setBehaviour([](const httplib::Request& request, httplib::Response& response) {
        response.set_content(
            request.get_header_value("Content-Length") + " " + request.get_file_value("photo").content, "text/plain");
    });
    std::string form = "--b\r\nContent-Disposition: form-data; name=\"photo\"\r\n\r\nJPEG\r\n--b--\r\n";
    auto post = node.client()->Post(
        "/v1/services/desk/photos", TestNode::headers("photo"), form, "multipart/form-data; boundary=b");
    ASSERT_TRUE(post);
    EXPECT_EQ(post->body, std::to_string(form.size()) + " JPEG");
}

} // namespace Kumquatpick
