#pragma once

#include <boost/leaf.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace Kumquatpick {

// Kinds of errors that a calling function can handle differently.
enum class ErrorCode : uint8_t {
    InvalidArgument,
    Unreachable, // The connection was refused or could not be made: nothing was sent.
    Timeout, // Something may have been sent; no answer came in time.
    BrokenOff, // The connection ended after something was sent.
    Refused, // The peer answered with a refusal.
    Stale, // The peer has a newer epoch, version or fencing number.
    Malformed, // The peer's answer could not be read.
    Overloaded,
    NotFound,
    ShuttingDown,
    CallerGone, // The caller no longer waits for the answer.
    Internal,
};

// The step in handling a request, claim, publish or stop in which an error occurred.
enum class Step : uint8_t {
    Settings,
    Accept,
    Parse,
    Admit,
    Permit,
    Record,
    Seal,
    Copy,
    Route,
    Dispatch,
    Stream,
    Answer,
    Probe,
    Order,
    Claim,
    LogAppend,
    LogRead,
    MembershipRead,
    WeightRead,
    Gossip,
    Publish,
    Stop,
};

// An error with the step and the peer at which it occurred; peer is an address or a name, empty if local.
struct Error {
    ErrorCode code = ErrorCode::Internal;
    Step step = Step::Settings;
    std::string peer;
    std::string detail;
};

std::string_view name(ErrorCode);
std::string_view name(Step);
// One line for logs and refusals: "permit at 127.0.0.1:7101: timeout: no answer in 200 ms".
std::string describe(const Error&);

namespace leaf = boost::leaf;

template <typename T> using Result = leaf::result<T>;

// A value or the error that occurred; unlike Result, it may cross a suspension point.
template <typename T> using Settled = std::variant<T, Error>;

inline leaf::error_id fail(Error error) { return leaf::new_error(std::move(error)); }

// Runs an operation that returns Result<T> and returns its value or its Error in a variant,
// for code that handles errors as data (a queue, a test, an answer) instead of propagating them.
template <typename Operation> auto settle(Operation&& operation)
{
    using Value = std::decay_t<decltype(operation().value())>;
    using Plain = std::conditional_t<std::is_void_v<Value>, std::monostate, Value>;
    using Outcome = Settled<Plain>;
    return leaf::try_handle_all(
        [&]() -> Result<Outcome> {
            if constexpr (std::is_void_v<Value>) {
                BOOST_LEAF_CHECK(operation());
                return Outcome(std::in_place_index<0>);
            } else {
                BOOST_LEAF_AUTO(value, operation());
                return Outcome(std::in_place_index<0>, std::move(value));
            }
        },
        [](const Error& error) { return Outcome(std::in_place_index<1>, error); },
        [] { return Outcome(std::in_place_index<1>, Error {}); });
}

} // namespace Kumquatpick
