#include "weights/client.h"

#include <fmt/format.h>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace Kumquatpick {

namespace {

    constexpr int httpOk = 200;
    constexpr size_t maxBodyBytes = 64 << 10;

    Error loadError(ErrorCode code, const Address& address, std::string detail)
    {
        return { code, Step::WeightRead, address.toString(), std::move(detail) };
    }

    ErrorCode errorCodeOf(httplib::Error error)
    {
        bool isUnreachable = error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout;
        return isUnreachable ? ErrorCode::Unreachable : ErrorCode::BrokenOff;
    }

}

WeightStoreClient::WeightStoreClient(Address address)
    : m_address(std::move(address))
{
}

// The timeouts of cpp-httplib apply to each single read. The content receiver therefore checks the deadline of the
// whole request too, and aborts a response that arrives too slowly.
Result<WeightStoreLoad> WeightStoreClient::readLoad(Milliseconds timeout) const
{
    MonotonicTime deadline = monotonicNow() + timeout;
    httplib::Client client(m_address.ip, m_address.port);
    client.set_connection_timeout(timeout);
    client.set_read_timeout(timeout);
    std::string body;
    auto response = client.Get("/v1/load", { { "Accept-Encoding", "identity" } }, [&](const char* bytes, size_t size) {
        body.append(bytes, size);
        return body.size() <= maxBodyBytes && monotonicNow() < deadline;
    });
    if (!response)
        return fail(loadError(errorCodeOf(response.error()), m_address, httplib::to_string(response.error())));
    if (response->status != httpOk)
        return fail(loadError(ErrorCode::Refused, m_address, fmt::format("HTTP status {}", response->status)));
    try {
        auto report = nlohmann::json::parse(body);
        return WeightStoreLoad { report.at("bytes_per_second").get<uint64_t>(), report.at("readers").get<uint32_t>() };
    } catch (const std::exception& parseError) {
        return fail(loadError(ErrorCode::Malformed, m_address, parseError.what()));
    }
}

} // namespace Kumquatpick
