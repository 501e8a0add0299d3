#include "gateway/relay.h"

#include "base/document.h"
#include "base/documentreader.h"
#include "base/responsehead.h"

#include <algorithm>
#include <boost/beast/http/verb.hpp>
#include <nlohmann/json.hpp>

namespace Kumquatpick {

namespace {

    using nlohmann::json;

    // Calls that are relayed are status requests and orders.
    constexpr DocumentLimits limits { 256 << 10, 8, 10'000 };
    constexpr size_t maxHeaderBytes = 8 * 1024;

    Error unreadable(std::string_view detail)
    {
        return { ErrorCode::Malformed, Step::Gossip, {}, std::string(detail) };
    }

    void readHeaders(const DocumentReader& list, http::fields& into)
    {
        for (const DocumentReader& header : list.elements()) {
            std::string_view name = header[0].text();
            std::string_view value = header[1].text();
            bool fits = name.size() <= maxHeaderBytes && value.size() <= maxHeaderBytes;
            if (fits && isFieldName(name) && isFieldValue(value))
                into.set(name, value);
            else
                header.reject("a header");
        }
    }

    std::optional<RelayedCall> readCall(const DocumentReader& entry)
    {
        auto address = settle([&] { return Address::parse(entry["host"].text()); });
        http::verb method = http::string_to_verb(entry["method"].text());
        std::string_view target = entry["target"].text();
        bool isTarget = target.starts_with('/') && target.size() <= maxHeaderBytes && isFieldValue(target)
            && target.find_first_of(" \t") == std::string_view::npos;
        if (std::holds_alternative<Error>(address) || method == http::verb::unknown || !isTarget)
            return std::nullopt;
        RelayedCall call { std::get<Address>(std::move(address)), HttpRequest(method, target, 11) };
        readHeaders(entry["headers"], call.request);
        call.request.body() = entry["body"].text();
        return call;
    }

    HttpResponse readAnswer(const DocumentReader& entry)
    {
        constexpr uint64_t lastStatus = 599;
        HttpResponse response;
        auto status = static_cast<unsigned>(entry["status"].integer(lastStatus));
        if (!isFinalStatus(status))
            entry["status"].reject("the status of an answer");
        response.result(status);
        readHeaders(entry["headers"], response);
        response.body() = entry["body"].text();
        return response;
    }

}

std::string encode(const RelayedCall& call)
{
    json result { { "host", call.host.toString() }, { "method", call.request.method_string() },
        { "target", call.request.target() }, { "body", call.request.body() }, { "headers", json::array() } };
    for (const auto& field : call.request)
        result["headers"].push_back({ field.name_string(), field.value() });
    return encodeJson(result);
}

// The receiver rejects what cannot be decoded; its sender logs the missing response.
std::optional<RelayedCall> decodeRelayedCall(std::string_view text)
{
    auto decoded = decodeDocument(DocumentFormat::Json, text, limits, Step::Gossip);
    auto* document = std::get_if<json>(&decoded);
    if (!document)
        return std::nullopt;
    DocumentReader::Problem problem;
    auto call = readCall({ *document, problem });
    return problem.isFound() ? std::nullopt : std::move(call);
}

std::string encode(const Settled<HttpResponse>& answer)
{
    if (auto* error = std::get_if<Error>(&answer))
        return encodeJson({ { "error", static_cast<int>(error->code) }, { "detail", error->detail } });
    const auto& response = std::get<HttpResponse>(answer);
    json result { { "status", response.result_int() }, { "body", response.body() }, { "headers", json::array() } };
    for (const auto& field : response)
        result["headers"].push_back({ field.name_string(), field.value() });
    return encodeJson(result);
}

Settled<HttpResponse> decodeRelayedAnswer(std::string_view text)
{
    auto decoded = decodeDocument(DocumentFormat::Json, text, limits, Step::Gossip);
    if (auto* error = std::get_if<Error>(&decoded))
        return *error;
    DocumentReader::Problem problem;
    DocumentReader entry(std::get<json>(decoded), problem);
    if (entry["error"].exists()) {
        constexpr auto lastCode = static_cast<uint64_t>(ErrorCode::Internal);
        auto code = static_cast<ErrorCode>(entry["error"].integer(lastCode));
        std::string detail(entry["detail"].text(""));
        return problem.isFound() ? unreadable(problem.text) : Error { code, Step::Gossip, {}, std::move(detail) };
    }
    HttpResponse response = readAnswer(entry);
    if (problem.isFound())
        return unreadable(problem.text);
    return response;
}

} // namespace Kumquatpick
