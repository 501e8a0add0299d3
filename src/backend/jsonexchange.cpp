#include "backend/jsonexchange.h"

#include "backend/httpexchange.h"

namespace Kumquatpick {

Result<JsonAnswer> exchangeJson(const Address& address, std::string_view method, std::string_view path,
    std::string body, Milliseconds timeout, Step step, size_t largestBody)
{
    std::string received;
    httplib::Request request;
    request.method = method;
    request.path = path;
    request.headers = { { "Accept-Encoding", "identity" } };
    if (!body.empty())
        request.set_header("Content-Type", "application/json");
    request.body = std::move(body);
    request.content_receiver = [&](const char* bytes, size_t size, uint64_t, uint64_t) {
        received.append(bytes, size);
        return received.size() <= largestBody;
    };
    httplib::Response response;
    HttpExchange exchange(address, monotonicNow() + timeout);
    ExchangeEnd end = exchange.run(request, response);
    if (end != ExchangeEnd::Whole)
        return fail(exchange.error(end, step, address.toString()));
    return JsonAnswer { response.status, std::move(received) };
}

} // namespace Kumquatpick
