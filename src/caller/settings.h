#pragma once

#include "base/clock.h"
#include "fleet/clientbudget.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace Kumquatpick {

// Limits of the caller-facing server.
struct CallerSettings {
    std::string ip = "127.0.0.1"; // A numeric IP address, never a host name.
    uint16_t port = 0; // 0 selects a free port.
    // Each serves one request or stream at a time. Requests that arrive while all are busy are refused at once.
    size_t threads = 256;
    size_t headerLimitBytes = 32 * 1024;
    size_t bodyLimitBytes = 8 * 1024 * 1024;
    Milliseconds requestReadTimeout { 10'000 }; // Limit for receiving a whole request, head and body.
    Milliseconds stallTimeout { 10'000 }; // Limit for a caller that accepts no bytes of its answer.
    // What all connections may hold together.
    ClientBudget::Limits clients { 256 * 1024 * 1024, 8192 };
    Milliseconds keepAlive { 5'000 }; // How long an idle connection is kept open.

    Milliseconds defaultDeadline { 60'000 };
    Milliseconds maxDeadline { 600'000 };
    // How long a request waits for its permit before the caller is told to retry.
    Milliseconds permitTimeout { 2'000 };
    // How long a refusal waits for the attempt to be void at owner and witness; after that the outcome is "undecided".
    Milliseconds voidTimeout { 500 };
    Milliseconds retryAfter { 1'000 }; // Sent to callers if no better estimate exists.

    // An answer that is not an event stream is read up to this size before its head is sent to the caller.
    size_t bufferedAnswerBytes = 1024 * 1024;
    // Limits of the answers to non-repeatable requests that are stored for resends.
    Milliseconds answerLifetime { 600'000 };
    size_t answerStoreBytes = 256 * 1024 * 1024;
    size_t maxStoredBodyBytes = 4 * 1024 * 1024; // Limit for one answer. A larger one is not stored.
    // Whether a non-repeatable request runs to its end after its caller disconnected, so that a resend gets its answer.
    // If not, it is cancelled and every resend gets "may have run".
    bool finishForResend = true;

    size_t recentRequestLimit = 4096; // Number of latest requests available in /v1/explain.
    Milliseconds entriesTimeToLive { 5'000 };
};

} // namespace Kumquatpick
