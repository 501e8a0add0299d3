#include "tool/commands.h"
#include "tool/jsonanswer.h"
#include "tool/mintkeys.h"
#include "tool/nodesettings.h"
#include "tool/outcome.h"
#include "tool/percent.h"
#include "tool/ssereader.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <ostream>
#include <thread>

namespace Kumquatpick {

namespace {

    constexpr Milliseconds graceAfterDeadline { 2000 };
    constexpr std::string_view priorities[] = { "low", "normal", "high" };
    constexpr std::string_view methods[] = { "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE" };

    constexpr std::string_view closing
        = "Without --path it is a chat request; with --path a call to a plain service. A request that is not\n"
          "repeatable needs a key: without --key a fresh one is fetched and shown when it is of use again.\n"
          "Exit codes: 0 answered, 1 it did not run and this attempt never will (or the service answered with an\n"
          "error), 2 usage, 3 undecided: ask again with the same key and attempt, 4 it may have run, 5 no node\n"
          "could be reached and nothing was sent.";

    struct SendSettings {
        NodeSettings common;
        std::string service;
        std::string team;
        std::string message;
        std::string path;
        std::string method;
        std::string contentType = "application/json";
        std::string key;
        uint64_t attempt = 1;
        std::optional<uint64_t> issuedMs;
        std::string priority = "normal";
        Milliseconds deadline { 60'000 };
        bool repeatable = false;
        bool stream = false;
    };

    SettingGroup requestGroup(SendSettings& s)
    {
        return { "Request",
            {
                { .flag = "service",
                    .into = &s.service,
                    .help = "The service to call.",
                    .required = true,
                    .flagOnly = true },
                { .flag = "team", .into = &s.team, .help = "The team in whose name it is sent.", .required = true },
                { .flag = "message",
                    .into = &s.message,
                    .help = "The prompt, or the body of a call.",
                    .flagOnly = true },
                { .flag = "stream", .into = &s.stream, .help = "Streams the answer.", .flagOnly = true },
                { .flag = "priority",
                    .into = &s.priority,
                    .help = "Among the team's own requests.",
                    .choices = priorities,
                    .flagOnly = true },
                { .flag = "deadline-ms",
                    .into = &s.deadline,
                    .help = "From now.",
                    .lowest = 1,
                    .highest = 86'400'000,
                    .flagOnly = true },
                { .flag = "path", .into = &s.path, .help = "Path at a plain service.", .flagOnly = true },
                { .flag = "method",
                    .into = &s.method,
                    .help = "Method of a call with --path; GET, or POST with a --message, if not set.",
                    .choices = methods,
                    .flagOnly = true },
                { .flag = "content-type",
                    .into = &s.contentType,
                    .help = "Of the --message of a call with --path.",
                    .flagOnly = true },
            } };
    }

    SettingGroup repeatGroup(SendSettings& s)
    {
        return { "Repeating",
            {
                { .flag = "repeatable",
                    .into = &s.repeatable,
                    .help = "Running it twice is harmless.",
                    .flagOnly = true },
                { .flag = "key",
                    .into = &s.key,
                    .help = "Names the request: the same key, the same request.",
                    .flagOnly = true },
                { .flag = "attempt",
                    .into = &s.attempt,
                    .help = "As the last refusal said.",
                    .lowest = 1,
                    .highest = std::numeric_limits<uint32_t>::max(),
                    .flagOnly = true },
                { .flag = "issued-ms",
                    .into = &s.issuedMs,
                    .help = "When the first attempt was made, in ms since 1970; now, if not set.",
                    .flagOnly = true },
            } };
    }

    bool isChat(const SendSettings& s) { return s.path.empty(); }

    bool isReadOnly(const SendSettings& s) { return s.method == "GET" || s.method == "HEAD"; }

    std::string pathOf(const SendSettings& s)
    {
        if (isChat(s))
            return "/v1/chat/completions";
        std::string_view slash = s.path.starts_with('/') ? "" : "/";
        return fmt::format("/v1/services/{}{}{}", percentEncoded(s.service), slash, s.path);
    }

    std::string bodyOf(const SendSettings& s)
    {
        if (!isChat(s))
            return s.message;
        nlohmann::json message { { "role", "user" }, { "content", s.message } };
        nlohmann::json body { { "model", s.service }, { "messages", nlohmann::json::array({ message }) },
            { "stream", s.stream } };
        return dumpJson(body, compactJson);
    }

    NodeRequest requestOf(const SendSettings& s)
    {
        NodeRequest request { .method = s.method, .path = pathOf(s), .body = bodyOf(s) };
        request.contentType = isChat(s) ? "application/json" : s.contentType;
        request.idempotent = s.repeatable || isReadOnly(s);
        request.timeout = s.deadline + graceAfterDeadline;
        request.headers = { { "Kumquatpick-Team", s.team }, { "Kumquatpick-Priority", s.priority },
            { "Kumquatpick-Deadline-Ms", std::to_string(s.deadline.count()) },
            { "Kumquatpick-Attempt", std::to_string(s.attempt) },
            { "Kumquatpick-Repeatable", request.idempotent ? "true" : "false" } };
        if (!s.key.empty())
            request.headers.emplace_back("Idempotency-Key", s.key);
        if (s.issuedMs)
            request.headers.emplace_back("Kumquatpick-Issued", std::to_string(*s.issuedMs));
        return request;
    }

    // Nodes that have just started share the key space out first; nothing was sent yet, so waiting is harmless.
    std::variant<MintedKeys, Error> mintPatiently(const SendSettings& s, const NodeClient& client)
    {
        constexpr Milliseconds pause { 200 };
        constexpr Milliseconds longestWait { 5'000 };
        auto giveUpAt = monotonicNow() + std::min(s.deadline, longestWait);
        while (true) {
            auto minted = settle([&] { return mintKeys(client, s.service, 1); });
            const auto* error = std::get_if<Error>(&minted);
            if (!error || error->code != ErrorCode::Refused || monotonicNow() + pause > giveUpAt)
                return minted;
            std::this_thread::sleep_for(pause);
        }
    }

    // A fresh key names its issue time itself. A key of the caller's own gets none that the caller did not give:
    // stamped anew at each resend, it would outlive what the nodes remember of it and could run twice.
    std::optional<ExitCode> fetchKey(SendSettings& s, const NodeClient& client, const ToolContext& context)
    {
        if (!s.key.empty() || s.repeatable || isReadOnly(s))
            return std::nullopt;
        auto minted = mintPatiently(s, client);
        if (const auto* error = std::get_if<Error>(&minted))
            return reportCallError("send", *error, context);
        s.key = std::get<MintedKeys>(minted).keys.front();
        return std::nullopt;
    }

    // The text of a chat answer, or of one event of its stream; empty if there is none.
    std::string chatText(const nlohmann::json& body)
    {
        for (const char* pointer : { "/choices/0/delta/content", "/choices/0/message/content" }) {
            nlohmann::json::json_pointer place(pointer);
            if (body.is_object() && body.contains(place) && body[place].is_string())
                return body[place];
        }
        return {};
    }

    // What came of a stream so far. It is whole only if it ended with [DONE].
    struct StreamState {
        std::string text;
        bool done = false;
        std::optional<RequestOutcome> error;
    };

    void takeEvent(StreamState& state, std::string_view event, std::string_view data)
    {
        if (data == "[DONE]")
            state.done = true;
        else if (event == "error")
            state.error = outcomeOfError(nlohmann::json::parse(data, nullptr, false));
        else
            state.text += chatText(nlohmann::json::parse(data, nullptr, false));
    }

    RequestOutcome streamOutcome(const NodeAnswer& answer, const StreamState& state)
    {
        RequestOutcome outcome = outcomeOf(answer);
        bool isStream = answer.header("Content-Type").starts_with("text/event-stream");
        if (outcome.outcome != "answered" || !isStream || state.done)
            return state.error.value_or(outcome);
        return state.error.value_or(mayHaveRun("the stream ended without its last event"));
    }

    void printAnswer(const SendSettings& s, const NodeAnswer& answer, const StreamState& state,
        const RequestOutcome& outcome, const ToolContext& context)
    {
        nlohmann::json body = nlohmann::json::parse(answer.body, nullptr, false);
        if (s.common.json) {
            nlohmann::json printed { { "outcome", outcome.outcome }, { "status", answer.status },
                { "body", body.is_discarded() ? nlohmann::json(answer.body) : body } };
            if (!s.key.empty())
                printed.update({ { "key", s.key }, { "attempt", s.attempt } });
            context.out << dumpJson(printed) << "\n";
            return;
        }
        // Text of a stream was printed as it came.
        if (!state.text.empty())
            context.out << "\n";
        else if (outcome.outcome == "answered" && !s.stream)
            context.out << (isChat(s) && !chatText(body).empty() ? chatText(body) + "\n" : answer.body);
    }

    void printRepeatHint(const SendSettings& s, const RequestOutcome& outcome, const ToolContext& context)
    {
        // A refusal that names no next attempt will be the same the next time.
        bool pointless = outcome.outcome == "answered" || (outcome.outcome == "not-run" && !outcome.nextAttempt);
        if (s.key.empty() || pointless)
            return;
        std::string issued = s.issuedMs ? fmt::format(" --issued-ms {}", *s.issuedMs) : "";
        context.err << fmt::format(
            "to ask again: --key {}{} --attempt {}\n", s.key, issued, outcome.nextAttempt.value_or(s.attempt));
    }

    ExitCode report(const SendSettings& s, const NodeAnswer& answer, const StreamState& state,
        const RequestOutcome& outcome, const ToolContext& context)
    {
        printAnswer(s, answer, state, outcome, context);
        context.err << outcome.describe(answer.status);
        printRepeatHint(s, outcome, context);
        return outcome.exitCode(answer.status);
    }

    ExitCode sendOne(const SendSettings& s, const NodeClient& client, const ToolContext& context)
    {
        StreamState state;
        SseReader reader([&](std::string_view event, std::string_view data) {
            size_t before = state.text.size();
            takeEvent(state, event, data);
            if (!s.common.json)
                context.out << std::string_view(state.text).substr(before) << std::flush;
        });
        NodeRequest request = requestOf(s);
        if (s.stream)
            request.onBody = [&](std::string_view bytes) { reader.feed(bytes); };
        auto settled = settle([&] { return client.call(request); });
        if (const auto* answer = std::get_if<NodeAnswer>(&settled))
            return report(s, *answer, state, streamOutcome(*answer, state), context);
        const Error& error = std::get<Error>(settled);
        if (error.code == ErrorCode::Unreachable)
            return reportCallError("send", error, context);
        return report(s, NodeAnswer {}, state, mayHaveRun(describe(error)), context);
    }

}

ExitCode runSend(Arguments arguments, const ToolContext& context)
{
    SendSettings settings;
    SettingsParser parser({ "kumquatpick send", "sends one request to a service", {}, closing },
        { settings.common.group(), requestGroup(settings), repeatGroup(settings) });
    if (auto exit = takeArguments(parser, arguments, context))
        return *exit;
    if (isChat(settings) && !settings.method.empty())
        return usageFault(parser, "--method: only with --path", context);
    if (isChat(settings) && settings.message.empty())
        return usageFault(parser, "--message or --path: one of them is needed", context);
    if (settings.method.empty())
        settings.method = isChat(settings) || !settings.message.empty() ? "POST" : "GET";
    NodeClient client(settings.common.nodes);
    if (auto exit = fetchKey(settings, client, context))
        return *exit;
    return sendOne(settings, client, context);
}

} // namespace Kumquatpick
