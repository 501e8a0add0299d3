#pragma once

#include "base/address.h"
#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"

#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

// A record as stored in the log, which does not interpret the body.
struct RawRecord {
    Offset offset = 0;
    WallTime time; // Of the append, by the log service's clock.
    std::string body;
};

struct LogPage {
    Offset earliest = 0; // Records before this one have expired.
    Offset next = 0; // Offset that the next appended record will get.
    std::vector<RawRecord> records;
};

// HTTP client of the platform's log service. Each call makes one attempt and does not retry. Thread-safe.
class LogClient {
public:
    LogClient(Address, std::string_view log);

    // Unreachable means that nothing was sent; after Timeout or BrokenOff the record may be in the log.
    Result<Offset> append(std::string_view body, Milliseconds timeout) const;
    // Long poll: waits up to `wait` for a record at `from`. The timeout for the answer starts after that.
    Result<LogPage> read(Offset from, uint32_t limit, Milliseconds wait, Milliseconds timeout) const;

    const Address& address() const { return m_address; }

private:
    Address m_address;
    std::string m_path;
};

} // namespace Kumquatpick
