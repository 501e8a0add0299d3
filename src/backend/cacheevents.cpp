#include "backend/cacheevents.h"

#include "backend/jsonexchange.h"
#include "backend/parsehex.h"
#include "base/document.h"
#include "base/documentreader.h"

#include <fmt/format.h>

namespace Kumquatpick {

namespace {

    constexpr int httpOk = 200;

    constexpr DocumentLimits batchLimits { largestJsonBody, 8, 300'000 };

    // Its next position always exists: one at the end of the numbers would be asked for again and again.
    CacheEventBatch batchFrom(const DocumentReader& page, uint64_t from)
    {
        constexpr uint64_t maxPosition = uint64_t(1) << 53;
        CacheEventBatch batch;
        uint64_t first = page["first"].integer(maxPosition);
        batch.next = page["next"].integer(maxPosition);
        batch.gap = first != from || batch.next < from;
        for (const DocumentReader& event : page["events"].elements()) {
            bool isStored = event["op"].text() == "stored";
            batch.changes.push_back({ hexFrom(event["prefix"]), isStored });
        }
        return batch;
    }

}

Result<CacheEventBatch> readCacheEvents(const Address& address, uint64_t from, Milliseconds timeout)
{
    std::string path = fmt::format("/v1/cache-events?from={}", from);
    BOOST_LEAF_AUTO(answer, exchangeJson(address, "GET", path, {}, timeout, Step::Probe));
    if (answer.status != httpOk)
        return fail(
            { ErrorCode::Refused, Step::Probe, address.toString(), fmt::format("HTTP status {}", answer.status) });
    auto document = decodeDocument(DocumentFormat::Json, answer.body, batchLimits, Step::Probe);
    if (const auto* error = std::get_if<Error>(&document))
        return fail({ error->code, Step::Probe, address.toString(), error->detail });
    DocumentReader::Problem problem;
    CacheEventBatch batch = batchFrom(DocumentReader(std::get<0>(document), problem), from);
    if (problem.isFound())
        return fail({ ErrorCode::Malformed, Step::Probe, address.toString(), problem.text });
    return batch;
}

} // namespace Kumquatpick
