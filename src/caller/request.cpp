#include "caller/request.h"

#include "base/hash.h"
#include "caller/chatbody.h"
#include "coordination/slotkey.h"

#include <algorithm>
#include <charconv>
#include <initializer_list>

namespace Kumquatpick {

namespace {

    constexpr std::string_view servicePrefix = "/v1/services/";
    constexpr size_t maxNameLength = 200; // Limit for keys and for names of teams and services.
    // Tolerance for callers whose clocks are ahead. A key issued further in the future would stay valid for longer than
    // the journals keep it.
    constexpr Milliseconds maxClockSkew { 300'000 };

    struct HeaderField {
        bool present = false;
        bool ambiguous = false; // Sent more than once, so it is unclear which value applies.
        std::string_view value;
    };

    HeaderField headerField(const httplib::Headers& headers, const char* name)
    {
        auto [first, last] = headers.equal_range(name);
        if (first == last)
            return {};
        return { true, std::next(first) != last, first->second };
    }

    bool isPlainName(std::string_view text)
    {
        auto plain = [](char c) { return c > ' ' && c < 0x7f && c != '"' && c != '\\'; };
        return !text.empty() && text.size() <= maxNameLength && std::ranges::all_of(text, plain);
    }

    template <typename Number> std::optional<Number> parseNumber(std::string_view text)
    {
        Number value {};
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc {} || end != text.data() + text.size())
            return std::nullopt;
        return value;
    }

    // Returns the fallback if the header is absent and nullopt if it is invalid.
    template <typename Number>
    std::optional<Number> numberHeaderOr(
        const httplib::Headers& headers, const char* name, std::optional<Number> fallback)
    {
        HeaderField header = headerField(headers, name);
        if (!header.present)
            return fallback;
        if (header.ambiguous)
            return std::nullopt;
        return parseNumber<Number>(header.value);
    }

    // Returns nullopt if the header is invalid. parseIdentity() then treats the request as not repeatable, so that it
    // can't run twice.
    std::optional<bool> parseRepeatable(std::string_view method, const httplib::Headers& headers)
    {
        HeaderField header = headerField(headers, "Kumquatpick-Repeatable");
        if (!header.present)
            return method == "GET" || method == "HEAD";
        if (!header.ambiguous && header.value == "true")
            return true;
        if (!header.ambiguous && header.value == "false")
            return false;
        return std::nullopt;
    }

    std::optional<Priority> parsePriority(const httplib::Headers& headers)
    {
        HeaderField header = headerField(headers, "Kumquatpick-Priority");
        if (!header.present || header.value == "normal")
            return header.ambiguous ? std::nullopt : std::optional(Priority::Normal);
        if (!header.ambiguous && header.value == "low")
            return Priority::Low;
        if (!header.ambiguous && header.value == "high")
            return Priority::High;
        return std::nullopt;
    }

    // A key that was minted by a node contains its issue time.
    std::optional<WallTime> parseIssued(std::string_view key, const httplib::Headers& headers)
    {
        if (auto minted = MintedKey::parse(key))
            return minted->issuedAt;
        auto issued = numberHeaderOr<int64_t>(headers, "Kumquatpick-Issued", std::nullopt);
        if (!issued || *issued <= 0)
            return std::nullopt;
        return WallTime { Milliseconds(*issued) };
    }

    std::optional<RequestKey> parseKey(const httplib::Headers& headers, WallTime now)
    {
        HeaderField key = headerField(headers, "Idempotency-Key");
        if (key.ambiguous || !isPlainName(key.value))
            return std::nullopt;
        auto attempt = numberHeaderOr<uint32_t>(headers, "Kumquatpick-Attempt", 1);
        auto issued = parseIssued(key.value, headers);
        if (!attempt || *attempt == 0 || !issued || *issued > now + maxClockSkew)
            return std::nullopt;
        return RequestKey { std::string(key.value), *attempt, *issued };
    }

    // Each function parses one part and returns a refusal if that part is invalid.
    using OptionalRefusal = std::optional<Refusal>;

    Refusal malformed(std::string message) { return { Outcome::NotRun, RefusalType::Malformed, std::move(message) }; }

    OptionalRefusal readTeam(const RawRequest& raw, CallerRequest& request)
    {
        HeaderField team = headerField(raw.headers, "Kumquatpick-Team");
        if (!team.present)
            return Refusal { Outcome::NotRun, RefusalType::UnknownTeam, "Kumquatpick-Team is missing" };
        if (team.ambiguous || !isPlainName(team.value))
            return malformed("Kumquatpick-Team is not a valid name");
        request.team = team.value;
        return std::nullopt;
    }

    OptionalRefusal readPriority(const RawRequest& raw, CallerRequest& request)
    {
        auto priority = parsePriority(raw.headers);
        if (!priority)
            return malformed("Kumquatpick-Priority must be low, normal or high");
        request.priority = *priority;
        return std::nullopt;
    }

    OptionalRefusal readDeadline(const RawRequest& raw, const CallerSettings& settings, CallerRequest& request)
    {
        auto deadline
            = numberHeaderOr<int64_t>(raw.headers, "Kumquatpick-Deadline-Ms", settings.defaultDeadline.count());
        if (!deadline)
            return malformed("Kumquatpick-Deadline-Ms must be a whole number of milliseconds");
        if (*deadline <= 0)
            return Refusal { Outcome::NotRun, RefusalType::DeadlinePassed, "the deadline has passed" };
        request.timeout = std::min(Milliseconds(*deadline), settings.maxDeadline);
        return std::nullopt;
    }

    OptionalRefusal readKey(const RawRequest& raw, WallTime now, CallerRequest& request)
    {
        auto repeatable = parseRepeatable(raw.method, raw.headers);
        if (!repeatable)
            return malformed("Kumquatpick-Repeatable must be true or false");
        request.repeatable = *repeatable;
        auto key = parseKey(raw.headers, now);
        if (key)
            request.key = std::move(*key);
        if (key || request.repeatable)
            return std::nullopt;
        if (!headerField(raw.headers, "Idempotency-Key").present)
            return Refusal { Outcome::NotRun, RefusalType::MissingKey,
                "a request that is not repeatable needs an Idempotency-Key" };
        // Without an issue time, a resend that arrives after the journals dropped the key would run again.
        if (!headerField(raw.headers, "Kumquatpick-Issued").present)
            return Refusal { Outcome::NotRun, RefusalType::MissingKey,
                "an Idempotency-Key needs its issue time in Kumquatpick-Issued" };
        return malformed("Idempotency-Key, Kumquatpick-Attempt or Kumquatpick-Issued is invalid");
    }

    OptionalRefusal readChat(const RawRequest& raw, CallerRequest& request)
    {
        request.kind = RequestKind::Chat;
        if (raw.method != "POST")
            return malformed("chat completions require the POST method");
        auto chat = parseChatBody(raw.body);
        if (!chat)
            return malformed("the body must be a JSON object with a model");
        request.service = std::move(chat->model);
        request.upstreamPath = raw.target;
        request.prefixHashes = promptPrefixHashes(chat->prompt);
        return std::nullopt;
    }

    OptionalRefusal readServiceCall(const RawRequest& raw, CallerRequest& request)
    {
        request.kind = RequestKind::ServiceCall;
        std::string_view rest = raw.target.substr(servicePrefix.size());
        size_t end = std::min(rest.find_first_of("/?"), rest.size());
        request.service = rest.substr(0, end);
        request.upstreamPath = rest.substr(end);
        if (!request.upstreamPath.starts_with('/'))
            request.upstreamPath.insert(0, "/");
        return std::nullopt;
    }

    OptionalRefusal readCall(const RawRequest& raw, CallerRequest& request)
    {
        OptionalRefusal refusal = isServicePath(raw.target) ? readServiceCall(raw, request) : readChat(raw, request);
        if (refusal)
            return refusal;
        if (!isPlainName(request.service))
            return malformed("the service name is not valid");
        request.method = raw.method;
        request.contentType = raw.contentType;
        request.body = raw.body;
        return std::nullopt;
    }

    uint64_t fingerprintOf(const CallerRequest& request)
    {
        uint64_t hash = 0;
        // Each hash is the seed of the next, so that moving bytes from one part to the next changes the result.
        std::initializer_list<std::string_view> parts = { request.team, request.service, request.method,
            request.upstreamPath, request.contentType, request.body };
        for (std::string_view part : parts)
            hash = hash64(part, hash);
        return hash;
    }

}

bool isServicePath(std::string_view path) { return path.starts_with(servicePrefix); }

RequestIdentity parseIdentity(std::string_view method, const httplib::Headers& headers, WallTime now)
{
    return { parseRepeatable(method, headers).value_or(false), parseKey(headers, now) };
}

std::variant<CallerRequest, Refusal> parseRequest(const RawRequest& raw, const CallerSettings& settings, WallTime now)
{
    CallerRequest request;
    if (OptionalRefusal refusal = readKey(raw, now, request))
        return *refusal;
    if (OptionalRefusal refusal = readTeam(raw, request))
        return *refusal;
    if (OptionalRefusal refusal = readPriority(raw, request))
        return *refusal;
    if (OptionalRefusal refusal = readDeadline(raw, settings, request))
        return *refusal;
    if (OptionalRefusal refusal = readCall(raw, request))
        return *refusal;
    HeaderField trace = headerField(raw.headers, "traceparent");
    if (trace.present && !trace.ambiguous)
        request.trace = TraceContext::parse(trace.value);
    request.fingerprint = fingerprintOf(request);
    return request;
}

} // namespace Kumquatpick
