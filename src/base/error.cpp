#include "base/error.h"

#include <fmt/format.h>

namespace Kumquatpick {

std::string_view name(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidArgument:
        return "invalid_argument";
    case ErrorCode::Unreachable:
        return "unreachable";
    case ErrorCode::Timeout:
        return "timeout";
    case ErrorCode::BrokenOff:
        return "broken_off";
    case ErrorCode::Refused:
        return "refused";
    case ErrorCode::Stale:
        return "stale";
    case ErrorCode::Malformed:
        return "malformed";
    case ErrorCode::Overloaded:
        return "overloaded";
    case ErrorCode::NotFound:
        return "not_found";
    case ErrorCode::ShuttingDown:
        return "shutting_down";
    case ErrorCode::CallerGone:
        return "caller_gone";
    case ErrorCode::Internal:
        return "internal";
    }
    return "unknown";
}

std::string_view name(Step step)
{
    constexpr std::string_view names[] = { "settings", "accept", "parse", "admit", "permit", "record", "seal", "copy",
        "route", "dispatch", "stream", "answer", "probe", "order", "claim", "log_append", "log_read", "membership_read",
        "weight_read", "gossip", "publish", "stop" };
    auto index = static_cast<size_t>(step);
    return index < std::size(names) ? names[index] : "unknown";
}

std::string describe(const Error& error)
{
    std::string where(name(error.step));
    if (!error.peer.empty())
        where += " at " + error.peer;
    return fmt::format("{}: {}{}{}", where, name(error.code), error.detail.empty() ? "" : ": ", error.detail);
}

} // namespace Kumquatpick
