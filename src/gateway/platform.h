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

// Either a value or why there is none; unlike Result it may cross a suspension point.
template <typename T> using Settled = std::variant<T, Error>;

// The logs of the platform's store that a gateway reads; it writes only its own, the last.
enum class LogName : uint8_t {
    OperatorsConfig,
    BackendServers,
    Controller,
};

// The newest record of a key; no value means that the key was dropped.
struct LogRecord {
    std::string key; // Empty in a log without keys.
    std::optional<std::string> value;
    uint64_t offset = 0;
    bool isReadable = true; // False for bytes that another writer left; the key is empty if it can't be told either.
};

struct LogPage {
    std::vector<LogRecord> records;
    uint64_t nextOffset = 0; // Where to read on.
    bool hasMore = false; // Of a listing of newest records: ask on after the last key.
    bool isGap = false; // Records before nextOffset were deleted unread.
};

// What a caller who asks for addresses is.
struct EntriesQuestion {
    std::string region;
    std::string zone;
};

// Translates between the gateway's types and one platform's messages. No input or output of its own, no state: what
// is sent when, and what is believed, is the gateway's. Error codes: Stale where a condition of a write did not hold
// or records were deleted, Overloaded where the platform turned the call away, Malformed for what can't be read.
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
    virtual Settled<uint64_t> appendedAt(const HttpResponse&) const = 0;

    // What the store holds.
    virtual bool isConfigKey(std::string_view key) const = 0;
    virtual Settled<FleetConfig> config(std::string_view text) const = 0;
    // An entry that another writer left, with fields missing, of another type or unknown, is Malformed.
    virtual Settled<Host> host(std::string_view name, std::string_view text) const = 0;

    // Backend servers.
    virtual HttpRequest order(const HostOrder&, uint64_t fencing) const = 0;
    virtual OrderResult orderResult(const HttpResponse&) const = 0;
    virtual HttpRequest askStatus(std::string_view hostId) const = 0;
    // Fails with NotFound if another life answers at the address.
    virtual Settled<HostStatus> status(std::string_view hostId, const HttpResponse&) const = 0;

    // Callers' requests.
    virtual Settled<Call> call(const RequestHead&) const = 0;
    virtual HttpRequest forward(const Call&, const Send&) const = 0;
    virtual Reply reply(const ResponseHead&) const = 0;
    // Removes what is meant for the gateway only.
    virtual void toCaller(ResponseHead&) const = 0;
    virtual void setRetryAfter(HttpResponse&, Milliseconds) const = 0;

    // Questions to this node.
    virtual bool isReadinessQuestion(std::string_view target) const = 0;
    virtual std::optional<EntriesQuestion> entriesQuestion(std::string_view target) const = 0;
    virtual std::string entriesAnswer(std::span<const std::string> addresses, Milliseconds lifetime) const = 0;
};

} // namespace Kumquatpick
