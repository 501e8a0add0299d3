#pragma once

#include "base/error.h"
#include "fleet/config.h"
#include "fleet/host.h"
#include "fleet/hostorder.h"
#include "gateway/call.h"
#include "gateway/http.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Kumquatpick {

// Logs of the platform's store that a gateway reads. It writes only to the last one.
enum class LogName : uint8_t {
    OperatorsConfig,
    BackendServers,
    Controller,
};

// The newest record of a key; no value means that the key was deleted.
struct LogRecord {
    std::string key; // Empty in a log without keys.
    std::optional<std::string> value;
    uint64_t offset = 0;
    // False if another writer left bytes that cannot be decoded; the key is empty if it cannot be decoded either.
    bool isReadable = true;
};

struct LogPage {
    std::vector<LogRecord> records;
    uint64_t nextOffset = 0; // Offset of the next read.
    bool hasMore = false; // In a listing of the newest records: more follow after the last key.
    bool isGap = false; // Records before nextOffset were deleted before they were read.
};

// Attributes of a caller that requests the addresses of nodes.
struct EntriesQuery {
    std::string region;
    std::string zone;
};

// Translates between the gateway's types and the messages of one platform, without I/O or state: the gateway decides
// what to send and which data to accept. Error codes: Stale if the condition of a write did not hold or records were
// deleted, Overloaded if the platform rejected the call, Malformed for data that cannot be decoded.
class Platform {
public:
    virtual ~Platform() = default;

    // The store.
    virtual HttpRequest readLog(LogName, uint64_t from, Milliseconds wait) const = 0;
    virtual Settled<LogPage> logPage(LogName, uint64_t from, const HttpResponse&) const = 0;
    virtual HttpRequest readNewest(LogName, std::string_view afterKey) const = 0;
    virtual Settled<LogPage> newestPage(const HttpResponse&) const = 0;
    // Appends only if the log ends at this offset.
    virtual HttpRequest append(LogName, uint64_t at, std::string_view record) const = 0;
    virtual Settled<uint64_t> appendedOffset(const HttpResponse&) const = 0;

    // Contents of the store.
    virtual bool isConfigKey(std::string_view key) const = 0;
    virtual Settled<FleetConfig> config(std::string_view text) const = 0;
    // The zone of a key that requests its evacuation while it exists; empty if the key names none. Nothing for other
    // keys.
    virtual std::optional<std::string> evacuatedZone(std::string_view key) const = 0;
    // Why the value of such a key is no request.
    virtual std::optional<Error> evacuationProblem(std::string_view text) const = 0;
    // An entry of another writer with missing, mistyped or unknown fields is Malformed.
    virtual Settled<Host> host(std::string_view name, std::string_view text) const = 0;

    // Backend servers.
    virtual HttpRequest order(const HostOrder&, uint64_t fencing) const = 0;
    virtual OrderResult orderResult(const HttpResponse&) const = 0;
    virtual HttpRequest statusRequest(std::string_view hostId) const = 0;
    // Fails with NotFound if a different incarnation responds at the address.
    virtual Settled<HostStatus> status(std::string_view hostId, const HttpResponse&) const = 0;

    // Callers' requests.
    virtual Settled<Call> call(const RequestHead&) const = 0;
    virtual HttpRequest forward(const Call&, const SendParameters&) const = 0;
    // The call as its caller sent it, for another node. Of the parameters, only timeLeft, lastEventId, earlierRuns and
    // isRetry are used.
    virtual HttpRequest relay(const Call&, const SendParameters&) const = 0;
    virtual ReplyHead reply(const ResponseHead&) const = 0;
    // Removes headers that are only meant for the gateway.
    virtual void removeInternalHeaders(ResponseHead&) const = 0;
    virtual void setRetryAfter(HttpResponse&, Milliseconds) const = 0;

    // Requests to this node itself.
    virtual bool isReadinessQuery(std::string_view target) const = 0;
    virtual std::optional<EntriesQuery> entriesQuery(std::string_view target) const = 0;
    virtual std::string entriesResponse(std::span<const std::string> addresses, Milliseconds lifetime) const = 0;
};

} // namespace Kumquatpick
