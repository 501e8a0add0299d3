#include "weights/client.h"

#include "backend/jsonexchange.h"
#include "base/document.h"
#include "base/documentreader.h"

#include <fmt/format.h>
#include <string>
#include <utility>

namespace Kumquatpick {

namespace {

    constexpr int httpOk = 200;
    constexpr DocumentLimits reportLimits { 64 << 10, 8, 1000 };

    Error loadError(ErrorCode code, const Address& address, std::string detail)
    {
        return { code, Step::WeightRead, address.toString(), std::move(detail) };
    }

}

WeightStoreClient::WeightStoreClient(Address address)
    : m_address(std::move(address))
{
}

Result<WeightStoreLoad> WeightStoreClient::readLoad(Milliseconds timeout) const
{
    BOOST_LEAF_AUTO(
        answer, exchangeJson(m_address, "GET", "/v1/load", {}, timeout, Step::WeightRead, reportLimits.bytes));
    if (answer.status != httpOk)
        return fail(loadError(ErrorCode::Refused, m_address, fmt::format("HTTP status {}", answer.status)));
    auto document = decodeDocument(DocumentFormat::Json, answer.body, reportLimits, Step::WeightRead);
    if (auto* error = std::get_if<Error>(&document))
        return fail(loadError(error->code, m_address, error->detail));
    DocumentReader::Problem problem;
    DocumentReader report(std::get<0>(document), problem);
    WeightStoreLoad load { report["bytes_per_second"].integer(UINT64_MAX),
        static_cast<uint32_t>(report["readers"].integer(UINT32_MAX)) };
    if (problem.isFound())
        return fail(loadError(ErrorCode::Malformed, m_address, problem.text));
    return load;
}

} // namespace Kumquatpick
