#include "backend/orders.h"

#include "backend/jsonexchange.h"
#include "backend/parsehex.h"
#include "base/document.h"
#include "base/documentreader.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Kumquatpick {

namespace {

    using nlohmann::json;

    constexpr int httpOk = 200;
    constexpr int httpConflict = 409;

    constexpr DocumentLimits statusLimits { 64 << 10, 8, 1000 };

    EngineState stateFrom(const DocumentReader& field)
    {
        std::string_view text = field.text();
        if (text == "loading")
            return EngineState::Loading;
        if (text == "ready")
            return EngineState::Ready;
        if (text != "idle")
            field.reject("the name of a state");
        return EngineState::Idle;
    }

    uint32_t countFrom(const DocumentReader& field) { return static_cast<uint32_t>(field.integer(UINT32_MAX, 0)); }

    EngineStatus statusFrom(const DocumentReader& page, MonotonicTime readAt)
    {
        EngineStatus status;
        status.host = page["host"].name();
        status.incarnation = hexFrom(page["incarnation"]);
        status.state = stateFrom(page["state"]);
        status.leaving = page["leaving"].flag();
        status.claim = page["claim"].integer(UINT64_MAX);
        status.service = page["service"].text("");
        status.replica = page["replica"].text("");
        status.model = page["model"].text("");
        status.modelVersion = page["model_version"].text("");
        status.running = countFrom(page["running"]);
        status.queued = countFrom(page["queued"]);
        status.cacheUsed = page["cache_used"].number(0, 1, 0);
        status.readAt = readAt;
        return status;
    }

    Result<EngineStatus> parseStatus(const std::string& body, MonotonicTime readAt, Step step, const Address& address)
    {
        auto document = decodeDocument(DocumentFormat::Json, body, statusLimits, step);
        if (const auto* error = std::get_if<Error>(&document))
            return fail({ error->code, step, address.toString(), error->detail });
        DocumentReader::Problem problem;
        EngineStatus status = statusFrom(DocumentReader(std::get<0>(document), problem), readAt);
        if (problem.isFound())
            return fail({ ErrorCode::Malformed, step, address.toString(), problem.text });
        return status;
    }

    json orderJson(const EngineOrder& order)
    {
        json result = { { "order", order.kind == OrderKind::Load ? "load" : "unload" }, { "fencing", order.fencing },
            { "service", order.service }, { "replica", order.replica }, { "model", order.model },
            { "model_version", order.modelVersion }, { "rank", order.rank }, { "peers", json::array() },
            { "weights_bytes", order.weightsBytes } };
        for (const Address& peer : order.peers)
            result["peers"].push_back(peer.toString());
        if (!order.weightStore.ip.empty())
            result["weight_store"] = order.weightStore.toString();
        return result;
    }

}

// The status is dated when it was asked for: it may have been written at any time since.
Result<EngineStatus> sendOrder(const Address& address, const EngineOrder& order, Milliseconds timeout)
{
    MonotonicTime askedAt = monotonicNow();
    BOOST_LEAF_AUTO(answer,
        exchangeJson(address, "POST", "/v1/orders", orderJson(order).dump(), timeout, Step::Order, statusLimits.bytes));
    if (answer.status == httpConflict)
        return fail({ ErrorCode::Stale, Step::Order, address.toString(), "a newer fencing number is known there" });
    if (answer.status != httpOk)
        return fail(
            { ErrorCode::Refused, Step::Order, address.toString(), fmt::format("HTTP status {}", answer.status) });
    return parseStatus(answer.body, askedAt, Step::Order, address);
}

Result<EngineStatus> readStatus(const Address& address, Milliseconds timeout)
{
    MonotonicTime askedAt = monotonicNow();
    BOOST_LEAF_AUTO(answer, exchangeJson(address, "GET", "/v1/status", {}, timeout, Step::Probe, statusLimits.bytes));
    if (answer.status != httpOk)
        return fail(
            { ErrorCode::Refused, Step::Probe, address.toString(), fmt::format("HTTP status {}", answer.status) });
    return parseStatus(answer.body, askedAt, Step::Probe, address);
}

} // namespace Kumquatpick
