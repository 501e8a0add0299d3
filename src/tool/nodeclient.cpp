#include "tool/nodeclient.h"

#include "backend/httpexchange.h"
#include "tool/percent.h"
#include <httplib.h>

#include <algorithm>
#include <optional>
#include <variant>

namespace Kumquatpick {

namespace {

    char lower(char c) { return static_cast<char>(c >= 'A' && c <= 'Z' ? c - 'A' + 'a' : c); }

    bool sameName(std::string_view a, std::string_view b) { return std::ranges::equal(a, b, {}, lower, lower); }

    httplib::Request toHttp(const NodeRequest& request)
    {
        httplib::Request http;
        http.method = request.method;
        http.path = percentEncodedTarget(request.path);
        http.body = request.body;
        http.headers = { { "Accept-Encoding", "identity" } };
        for (const auto& [name, value] : request.headers)
            http.headers.emplace(name, value);
        if (!request.body.empty())
            http.headers.emplace("Content-Type", request.contentType);
        return http;
    }

}

std::string_view NodeAnswer::header(std::string_view name) const
{
    auto found = std::ranges::find_if(headers, [&](const auto& header) { return sameName(header.first, name); });
    return found == headers.end() ? std::string_view() : std::string_view(found->second);
}

NodeClient::NodeClient(std::vector<Address> nodes)
    : m_nodes(std::move(nodes))
{
}

Result<NodeAnswer> NodeClient::callOne(const Address& node, const NodeRequest& request) const
{
    NodeAnswer answer;
    httplib::Request http = toHttp(request);
    http.content_receiver = [&](const char* data, size_t length, uint64_t, uint64_t) {
        answer.body.append(data, length);
        if (request.onBody)
            request.onBody({ data, length });
        return true;
    };
    httplib::Response response;
    HttpExchange exchange(node, monotonicNow() + request.timeout);
    ExchangeEnd end = exchange.run(http, response);
    if (end != ExchangeEnd::Whole)
        return fail(exchange.error(end, Step::Dispatch, node.toString()));
    answer.status = response.status;
    answer.headers.assign(response.headers.begin(), response.headers.end());
    answer.node = node;
    return answer;
}

Result<NodeAnswer> NodeClient::call(const NodeRequest& request) const
{
    std::optional<Error> worst;
    for (const Address& node : m_nodes) {
        auto settled = settle([&] { return callOne(node, request); });
        if (auto* answer = std::get_if<NodeAnswer>(&settled))
            return std::move(*answer);
        const Error& error = std::get<Error>(settled);
        if (!worst || error.code != ErrorCode::Unreachable)
            worst = error;
        bool mayTryNext = request.idempotent && !request.onBody; // A body handed on can't be taken back.
        if (error.code != ErrorCode::Unreachable && !mayTryNext)
            break;
    }
    return fail(worst.value_or(Error { ErrorCode::Unreachable, Step::Dispatch, {}, "no node is named" }));
}

} // namespace Kumquatpick
