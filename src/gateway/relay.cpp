#include "gateway/relay.h"

#include <nlohmann/json.hpp>

namespace Kumquatpick {

namespace {

    using nlohmann::json;

    Error unreadable(const char* detail) { return { ErrorCode::Malformed, Step::Gossip, {}, detail }; }

}

std::string encode(const RelayedCall& call)
{
    json result { { "host", call.host.toString() }, { "method", call.request.method_string() },
        { "target", call.request.target() }, { "body", call.request.body() }, { "headers", json::array() } };
    for (const auto& field : call.request)
        result["headers"].push_back({ field.name_string(), field.value() });
    return result.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<RelayedCall> decodeRelayedCall(std::string_view text)
{
    try {
        json entry = json::parse(text);
        auto address = settle([&] { return Address::parse(entry.at("host").get<std::string>()); });
        if (std::holds_alternative<Error>(address))
            return std::nullopt;
        RelayedCall call;
        call.host = std::get<Address>(address);
        call.request.version(11);
        call.request.method_string(entry.at("method").get<std::string>());
        call.request.target(entry.at("target").get<std::string>());
        for (const auto& header : entry.at("headers"))
            call.request.set(header.at(0).get<std::string>(), header.at(1).get<std::string>());
        call.request.body() = entry.at("body").get<std::string>();
        return call;
    } catch (const json::exception&) {
        return std::nullopt; // The receiver rejects the call; its sender logs the missing response.
    }
}

std::string encode(const Settled<HttpResponse>& answer)
{
    if (auto* error = std::get_if<Error>(&answer))
        return json { { "error", static_cast<int>(error->code) }, { "detail", error->detail } }.dump();
    const auto& response = std::get<HttpResponse>(answer);
    json result { { "status", response.result_int() }, { "body", response.body() }, { "headers", json::array() } };
    for (const auto& field : response)
        result["headers"].push_back({ field.name_string(), field.value() });
    return result.dump(-1, ' ', false, json::error_handler_t::replace);
}

Settled<HttpResponse> decodeRelayedAnswer(std::string_view text)
{
    try {
        json entry = json::parse(text);
        if (entry.contains("error")) {
            int code = std::clamp(entry["error"].get<int>(), 0, static_cast<int>(ErrorCode::Internal));
            return Error { static_cast<ErrorCode>(code), Step::Gossip, {}, entry.value("detail", "") };
        }
        HttpResponse response;
        response.result(entry.at("status").get<unsigned>());
        for (const auto& header : entry.at("headers"))
            response.set(header.at(0).get<std::string>(), header.at(1).get<std::string>());
        response.body() = entry.at("body").get<std::string>();
        return response;
    } catch (const json::exception& problem) {
        return unreadable(problem.what());
    }
}

} // namespace Kumquatpick
