#include "standin/loadcall.h"

#include "base/hash.h"
#include "base/random.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Kumquatpick {

namespace {

    constexpr Milliseconds patience { 2000 }; // Beyond the deadline, for the refusal to come.

    // A paused node takes the request and says nothing, so a caller asks the next one while there is time for it.
    Milliseconds silenceLimit(const LoadCall& call)
    {
        return call.isDirect ? call.deadline + patience : std::max(call.deadline / 2, patience);
    }
    constexpr int ok = 200;
    constexpr std::string_view errorEvent = "event: error\ndata: ";
    constexpr const char* outcomeHeader = "Kumquatpick-Outcome";

    struct Received {
        int status = 0;
        httplib::Headers headers;
        std::string body;
        std::optional<MonotonicTime> firstByte;
    };

    std::string header(const httplib::Headers& headers, const char* name)
    {
        auto found = headers.find(name);
        return found == headers.end() ? "" : found->second;
    }

    httplib::Headers headersOf(const LoadCall& call)
    {
        httplib::Headers headers = {
            { "Content-Type", call.request.isPlain ? "text/plain" : "application/json" },
            { "Kumquatpick-Attempt", std::to_string(call.attempt) },
        };
        if (call.isDirect) {
            headers.emplace("Kumquatpick-Request", call.request.key + "/" + std::to_string(call.attempt));
            headers.emplace("Kumquatpick-Key", call.request.key);
            return headers;
        }
        headers.emplace("Idempotency-Key", call.request.key);
        headers.emplace("Kumquatpick-Issued", std::to_string(call.issued.time_since_epoch().count()));
        headers.emplace("Kumquatpick-Deadline-Ms", std::to_string(call.deadline.count()));
        headers.emplace("Kumquatpick-Team", call.request.team);
        headers.emplace("Kumquatpick-Repeatable", call.request.isRepeatable ? "true" : "false");
        return headers;
    }

    httplib::Request httpRequest(const LoadCall& call, Received& received)
    {
        httplib::Request request;
        request.method = "POST";
        request.path = call.request.path;
        if (call.isDirect && call.request.isPlain)
            request.path = request.path.substr(("/v1/services/" + call.request.service).size());
        request.headers = headersOf(call);
        request.body = call.request.body;
        request.response_handler = [&received](const httplib::Response& response) {
            received.status = response.status;
            received.headers = response.headers;
            return true;
        };
        request.content_receiver = [&received](const char* data, size_t length, uint64_t, uint64_t) {
            if (!received.firstByte)
                received.firstByte = monotonicNow();
            received.body.append(data, length);
            return true;
        };
        return request;
    }

    std::optional<CallOutcome> outcomeNamed(std::string_view text)
    {
        for (CallOutcome outcome :
            { CallOutcome::Answered, CallOutcome::NotRun, CallOutcome::Undecided, CallOutcome::MayHaveRun }) {
            if (name(outcome) == text)
                return outcome;
        }
        return std::nullopt;
    }

    void broke(LoadReply& reply, std::string how)
    {
        reply.outcome = CallOutcome::Broken;
        reply.type = std::move(how);
    }

    // Reads {"error":{...}}, the body of a refusal and the data of an error event.
    void readRefusal(std::string_view text, LoadReply& reply)
    {
        nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
        if (!json.is_object() || !json.contains("error"))
            return broke(reply, "unreadable refusal");
        const nlohmann::json& error = json["error"];
        auto outcome = outcomeNamed(error.value("outcome", ""));
        if (!outcome || *outcome == CallOutcome::Answered)
            return broke(reply, "refusal without an outcome");
        reply.outcome = *outcome;
        reply.type = error.value("type", "");
        if (error.contains("retry_after_ms"))
            reply.retryAfter = Milliseconds(error["retry_after_ms"].get<int64_t>());
        if (error.contains("next_attempt"))
            reply.nextAttempt = error["next_attempt"].get<uint32_t>();
    }

    // An answer is the right one, or begins as it does and ends with an error event. Anything else is wrong,
    // also if it is merely cut: a cut must not look like an end.
    void readAnswer(const LoadCall& call, const Received& received, LoadReply& reply)
    {
        size_t event = received.body.find(errorEvent);
        if (call.request.isStream && event != std::string::npos) {
            reply.isRight = call.request.expected.starts_with(received.body.substr(0, event));
            return readRefusal(std::string_view(received.body).substr(event + errorEvent.size()), reply);
        }
        reply.outcome = CallOutcome::Answered;
        reply.answerHash = hash64(received.body);
        reply.isRight = received.body == call.request.expected;
    }

    // A backend server's refusals all mean that it did not run; asking again is a new attempt.
    void readDirect(const LoadCall& call, const Received& received, LoadReply& reply)
    {
        if (received.status == ok)
            return readAnswer(call, received, reply);
        reply.outcome = CallOutcome::NotRun;
        reply.type = std::to_string(received.status);
        std::string seconds = header(received.headers, "Retry-After");
        if (seconds.empty())
            return;
        reply.retryAfter = std::chrono::seconds(std::stoll(seconds));
        reply.nextAttempt = call.attempt + 1;
    }

    void readWhole(const LoadCall& call, const Received& received, LoadReply& reply)
    {
        if (call.isDirect)
            return readDirect(call, received, reply);
        auto outcome = outcomeNamed(header(received.headers, outcomeHeader));
        if (!outcome)
            return broke(reply, "no outcome, status " + std::to_string(received.status));
        if (*outcome == CallOutcome::Answered)
            return readAnswer(call, received, reply);
        readRefusal(received.body, reply);
        if (reply.outcome != *outcome)
            broke(reply, "header and body differ");
    }

} // namespace

httplib::Client& LoadConnections::to(const Address& address, Milliseconds timeout)
{
    std::unique_ptr<httplib::Client>& client = m_clients[address.toString()];
    if (!client) {
        client = std::make_unique<httplib::Client>(address.ip, address.port);
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
    }
    client->set_connection_timeout(timeout);
    client->set_read_timeout(timeout);
    client->set_write_timeout(timeout);
    return *client;
}

void LoadConnections::drop(const Address& address) { m_clients.erase(address.toString()); }

LoadReply sendCall(LoadConnections& connections, const Address& address, const LoadCall& call)
{
    Received received;
    httplib::Request request = httpRequest(call, received);
    httplib::Result result = connections.to(address, silenceLimit(call)).send(request);
    LoadReply reply;
    reply.firstByte = received.firstByte;
    reply.end = monotonicNow();
    if (result) {
        readWhole(call, received, reply);
        return reply;
    }
    connections.drop(address);
    broke(reply, httplib::to_string(result.error()));
    // The bytes of a broken stream still have to be the right ones, and an error event in them counts.
    bool isStream = call.request.isStream && received.status == ok;
    if (isStream && received.body.find(errorEvent) != std::string::npos)
        readAnswer(call, received, reply);
    else if (isStream)
        reply.isRight = call.request.expected.starts_with(received.body);
    return reply;
}

} // namespace Kumquatpick
