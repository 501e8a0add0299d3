#include "log/client.h"

#include <fmt/format.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace Kumquatpick {

using nlohmann::json;

namespace {

    constexpr int httpOk = 200;

    // Each call uses a new connection. If the log service closed a kept-alive connection in the meantime, an append
    // would fail with an unknown outcome; reads are long polls, for which the cost of connecting does not matter.
    httplib::Client makeClient(const Address& address, Milliseconds timeout)
    {
        httplib::Client client(address.ip, address.port);
        client.set_connection_timeout(timeout);
        client.set_read_timeout(timeout);
        client.set_write_timeout(timeout);
        client.set_keep_alive(false);
        return client;
    }

    ErrorCode errorCodeOf(httplib::Error error, MonotonicTime started, Milliseconds timeout)
    {
        if (error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout)
            return ErrorCode::Unreachable;
        return monotonicNow() - started >= timeout ? ErrorCode::Timeout : ErrorCode::BrokenOff;
    }

    Error statusError(Step step, const Address& address, const httplib::Response& response)
    {
        auto code = response.status == 503 || response.status == 429 ? ErrorCode::Overloaded : ErrorCode::Refused;
        return { code, step, address.toString(), fmt::format("status {}", response.status) };
    }

    LogPage parsePage(const json& answer)
    {
        LogPage page { answer.at("earliest").get<Offset>(), answer.at("next").get<Offset>(), {} };
        for (const json& record : answer.at("records"))
            page.records.push_back({ record.at("offset").get<Offset>(),
                WallTime(Milliseconds(record.at("time_ms").get<int64_t>())), record.at("body").get<std::string>() });
        return page;
    }

    // Parses a JSON answer and passes it to `extract`. Fails with Malformed if the JSON is not as expected.
    template <typename Extract>
    auto parseAnswer(Step step, const Address& address, const std::string& body, Extract&& extract)
        -> Result<decltype(extract(json()))>
    {
        try {
            return extract(json::parse(body));
        } catch (const json::exception& failure) {
            return fail({ ErrorCode::Malformed, step, address.toString(), failure.what() });
        }
    }

}

LogClient::LogClient(Address address, std::string_view log)
    : m_address(std::move(address))
    , m_path("/v1/logs/" + std::string(log))
{
}

Result<Offset> LogClient::append(std::string_view body, Milliseconds timeout) const
{
    auto client = makeClient(m_address, timeout);
    auto started = monotonicNow();
    auto answer = client.Post(m_path, body.data(), body.size(), "application/json");
    if (!answer)
        return fail({ errorCodeOf(answer.error(), started, timeout), Step::LogAppend, m_address.toString(),
            httplib::to_string(answer.error()) });
    if (answer->status != httpOk)
        return fail(statusError(Step::LogAppend, m_address, *answer));
    return parseAnswer(
        Step::LogAppend, m_address, answer->body, [](const json& value) { return value.at("offset").get<Offset>(); });
}

Result<LogPage> LogClient::read(Offset from, uint32_t limit, Milliseconds wait, Milliseconds timeout) const
{
    auto client = makeClient(m_address, wait + timeout);
    auto started = monotonicNow();
    auto answer = client.Get(fmt::format("{}?from={}&limit={}&wait_ms={}", m_path, from, limit, wait.count()));
    if (!answer)
        return fail({ errorCodeOf(answer.error(), started, wait + timeout), Step::LogRead, m_address.toString(),
            httplib::to_string(answer.error()) });
    if (answer->status != httpOk)
        return fail(statusError(Step::LogRead, m_address, *answer));
    return parseAnswer(Step::LogRead, m_address, answer->body, parsePage);
}

} // namespace Kumquatpick
