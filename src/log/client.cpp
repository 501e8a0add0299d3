#include "log/client.h"

#include "backend/jsonexchange.h"
#include "base/document.h"
#include "base/documentreader.h"

#include <fmt/format.h>
#include <utility>

namespace Kumquatpick {

namespace {

    constexpr int httpOk = 200;

    // A page of records of usual size takes some hundred kilobytes.
    constexpr DocumentLimits pageLimits { 16 << 20, 8, 100'000 };
    // No log gets that far. Larger numbers of JSON would not be exact everywhere, and the next one has to exist.
    constexpr Offset maxOffset = Offset(1) << 53;
    constexpr int64_t maxTimeMilliseconds = int64_t(1) << 53;

    Error statusError(Step step, const Address& address, int status)
    {
        auto code = status == 503 || status == 429 ? ErrorCode::Overloaded : ErrorCode::Refused;
        return { code, step, address.toString(), fmt::format("status {}", status) };
    }

    Offset parseOffset(const DocumentReader& answer) { return answer["offset"].integer(maxOffset); }

    // An entry that can't be read is never skipped: other nodes may have read and applied it.
    LogPage parsePage(const DocumentReader& answer)
    {
        LogPage page { answer["earliest"].integer(maxOffset), answer["next"].integer(maxOffset), {} };
        if (page.earliest > page.next)
            answer["earliest"].reject("an offset that is not after 'next'");
        for (const DocumentReader& record : answer["records"].elements())
            page.records.push_back({ record["offset"].integer(maxOffset),
                WallTime(Milliseconds(record["time_ms"].signedInteger(0, maxTimeMilliseconds))),
                std::string(record["body"].text()) });
        return page;
    }

    // Decodes an answer and passes it to `parse`. Fails with Malformed if the answer is not as expected.
    template <typename Parse>
    auto parseAnswer(Step step, const Address& address, const JsonAnswer& answer, Parse&& parse)
        -> Result<decltype(parse(std::declval<DocumentReader>()))>
    {
        if (answer.status != httpOk)
            return fail(statusError(step, address, answer.status));
        auto document = decodeDocument(DocumentFormat::Json, answer.body, pageLimits, step);
        if (auto* error = std::get_if<Error>(&document))
            return fail({ error->code, step, address.toString(), error->detail });
        DocumentReader::Problem problem;
        auto parsed = parse(DocumentReader(std::get<0>(document), problem));
        if (problem.isFound())
            return fail({ ErrorCode::Malformed, step, address.toString(), problem.text });
        return parsed;
    }

}

LogClient::LogClient(Address address, std::string_view log)
    : m_address(std::move(address))
    , m_path("/v1/logs/" + std::string(log))
{
}

// Each call uses a new connection. If the log service closed a kept-alive connection in the meantime, an append would
// fail with an unknown outcome; reads are long polls, for which the cost of connecting does not matter.
Result<Offset> LogClient::append(std::string_view body, Milliseconds timeout) const
{
    BOOST_LEAF_AUTO(answer, exchangeJson(m_address, "POST", m_path, std::string(body), timeout, Step::LogAppend));
    return parseAnswer(Step::LogAppend, m_address, answer, parseOffset);
}

Result<LogPage> LogClient::read(Offset from, uint32_t limit, Milliseconds wait, Milliseconds timeout) const
{
    std::string path = fmt::format("{}?from={}&limit={}&wait_ms={}", m_path, from, limit, wait.count());
    BOOST_LEAF_AUTO(answer, exchangeJson(m_address, "GET", path, {}, wait + timeout, Step::LogRead, pageLimits.bytes));
    return parseAnswer(Step::LogRead, m_address, answer, parsePage);
}

} // namespace Kumquatpick
