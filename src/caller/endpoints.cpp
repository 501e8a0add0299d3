#include "caller/endpoints.h"

#include "base/document.h"
#include "base/metrics.h"
#include "caller/entries.h"
#include "caller/respond.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace Kumquatpick {

namespace {

    using nlohmann::json;

    constexpr size_t maxKeysPerRequest = 1000;

    void writeJson(int status, const json& body, httplib::Response& response)
    {
        response.status = status;
        response.set_content(body.dump(-1, ' ', false, json::error_handler_t::replace), "application/json");
    }

    // These endpoints call no backend server, so the outcome of a refusal is always "not run".
    void refuse(
        RefusalType type, std::string message, std::optional<Milliseconds> retryAfter, httplib::Response& response)
    {
        writeRefusal({ Outcome::NotRun, type, std::move(message), Step::Accept, {}, retryAfter, {} }, {}, response);
    }

    void refuseMalformed(std::string message, httplib::Response& response)
    {
        refuse(RefusalType::Malformed, std::move(message), std::nullopt, response);
    }

    void notFound(std::string message, httplib::Response& response)
    {
        refuseMalformed(std::move(message), response);
        response.status = 404;
    }

    std::string queryValue(const std::string& target, std::string_view name)
    {
        size_t query = target.find('?');
        if (query == std::string::npos)
            return {};
        httplib::Params params;
        httplib::detail::parse_query_text(target.substr(query + 1), params);
        auto found = params.find(std::string(name));
        return found == params.end() ? std::string() : found->second;
    }

    // Returns nullopt if the body is not a JSON object.
    std::optional<json> parseObject(const std::string& body)
    {
        auto parsed = decodeDocument(DocumentFormat::Json, body, { body.size(), 8, 1000 }, Step::Parse);
        auto* object = std::get_if<json>(&parsed);
        if (!object || !object->is_object())
            return std::nullopt;
        return std::move(*object);
    }

    std::optional<std::string> stringField(const json& object, const char* name)
    {
        auto found = object.find(name);
        if (found == object.end() || !found->is_string())
            return std::nullopt;
        return found->get<std::string>();
    }

    std::optional<uint64_t> numberField(const json& object, const char* name)
    {
        auto found = object.find(name);
        if (found == object.end() || !found->is_number_unsigned())
            return std::nullopt;
        return found->get<uint64_t>();
    }

    bool isHexId(std::string_view id)
    {
        return id.size() == 32 && id.find_first_not_of("0123456789abcdef") == std::string_view::npos;
    }

    std::optional<PublishRequest> parsePublish(const std::string& body)
    {
        auto object = parseObject(body);
        if (!object)
            return std::nullopt;
        auto id = stringField(*object, "id");
        auto basedOn = numberField(*object, "based_on");
        auto text = stringField(*object, "text");
        if (!id || !isHexId(*id) || !basedOn || !text)
            return std::nullopt;
        return PublishRequest { *id, *basedOn, *text, stringField(*object, "operator").value_or("") };
    }

    json faultsJson(const std::vector<ConfigFault>& faults)
    {
        json list = json::array();
        for (const ConfigFault& fault : faults)
            list.push_back({ { "line", fault.line }, { "column", fault.column }, { "key", fault.key },
                { "expected", fault.expected } });
        return list;
    }

    std::string_view name(AnswerStore::State state)
    {
        constexpr std::string_view names[] = { "unknown", "running", "finished", "lost", "other_request" };
        return names[static_cast<size_t>(state)];
    }

}

void answerEntries(ServerContext& context, const RequestLine& line, httplib::Response& response)
{
    auto nodes = context.dependencies.entryNodes();
    json entries = json::array();
    for (const EntryChoice& choice :
        chooseEntries(nodes, queryValue(line.target, "zone"), queryValue(line.target, "caller")))
        entries.push_back(
            { { "address", choice.address.toString() }, { "zone", choice.zone }, { "weight", choice.weight } });
    writeJson(
        200, { { "entries", std::move(entries) }, { "ttl_ms", context.settings.entriesTimeToLive.count() } }, response);
}

void answerKeys(ServerContext& context, const httplib::Request& request, httplib::Response& response)
{
    auto object = parseObject(request.body);
    uint64_t count = object && object->contains("count") ? numberField(*object, "count").value_or(0) : 1;
    if (!object || count == 0 || count > maxKeysPerRequest)
        return refuseMalformed("the body must be an object with a count from 1 to 1000", response);
    WallTime now = wallNow();
    json keys = json::array();
    for (uint64_t i = 0; i < count; ++i) {
        std::string key = context.dependencies.mintKey(now);
        if (key.empty())
            return refuse(
                RefusalType::NotReady, "no slot has a live owner and witness", context.settings.retryAfter, response);
        keys.push_back(std::move(key));
    }
    writeJson(200, { { "keys", std::move(keys) }, { "issued_ms", now.time_since_epoch().count() } }, response);
}

void answerRequest(
    ServerContext& context, std::string_view key, const httplib::Request& request, httplib::Response& response)
{
    auto found
        = context.answers.findByKey(std::string(key), request.get_header_value("Kumquatpick-Team"), monotonicNow());
    json body { { "key", key }, { "state", name(found.state) } };
    switch (found.state) {
    case AnswerStore::State::Unknown:
    case AnswerStore::State::OtherRequest:
        return notFound("this node has no request with this key for this team", response);
    case AnswerStore::State::Running:
        body["outcome"] = name(Outcome::Undecided);
        break;
    case AnswerStore::State::Lost:
        body["outcome"] = name(Outcome::MayHaveRun);
        break;
    case AnswerStore::State::Finished:
        body["outcome"] = name(Outcome::Answered);
        body["answer"] = { { "status", found.answer.status }, { "content_type", found.answer.contentType },
            { "body", found.answer.body } };
        break;
    }
    writeJson(200, body, response);
}

void answerReady(ServerContext& context, httplib::Response& response)
{
    bool ready = !context.stopping && context.dependencies.isReady();
    writeJson(ready ? 200 : 503, { { "ready", ready }, { "stopping", context.stopping.load() } }, response);
}

void answerMetrics(ServerContext& context, httplib::Response& response)
{
    context.dependencies.metrics.set("in_flight", context.inFlight);
    context.dependencies.metrics.set("kept_answer_bytes", static_cast<double>(context.answers.bytes()));
    response.set_content(context.dependencies.metrics.prometheusText(), "text/plain; version=0.0.4");
}

void answerConfig(ServerContext& context, httplib::Response& response)
{
    AcceptedText accepted = context.dependencies.acceptedText();
    writeJson(200, { { "version", accepted.version }, { "text", accepted.text } }, response);
}

void answerPublish(ServerContext& context, const httplib::Request& request, httplib::Response& response)
{
    auto publish = parsePublish(request.body);
    if (!publish)
        return refuseMalformed("the body must have id (32 hex digits), based_on, text and operator", response);
    PublishOutcome outcome = context.dependencies.publish(*publish);
    switch (outcome.kind) {
    case PublishOutcome::Kind::Accepted:
        return writeJson(200, { { "verdict", "accepted" }, { "version", outcome.version } }, response);
    case PublishOutcome::Kind::Outdated:
        return writeJson(409, { { "verdict", "outdated" }, { "version", outcome.version } }, response);
    case PublishOutcome::Kind::Invalid:
        return writeJson(422, { { "verdict", "invalid" }, { "faults", faultsJson(outcome.faults) } }, response);
    case PublishOutcome::Kind::Undecided:
        response.set_header("Retry-After", std::to_string(retryAfterSeconds(context.settings.retryAfter)));
        return writeJson(503, { { "verdict", "undecided" } }, response);
    }
}

void answerStatus(ServerContext& context, httplib::Response& response)
{
    writeJson(200, context.dependencies.status(), response);
}

void answerExplain(ServerContext& context, std::string_view requestId, httplib::Response& response)
{
    auto trace = context.recent.find(requestId);
    if (!trace)
        return notFound("the request is not among the latest requests of this node", response);
    writeJson(200, trace->toJson(), response);
}

} // namespace Kumquatpick
