#pragma once

#include <chrono>

namespace Kumquatpick {

using Milliseconds = std::chrono::milliseconds;

// Decision code takes the time as a parameter; only the daemon reads a clock.
// Monotonic time measures leases, timeouts and ages; wall-clock time is used only in records and keys.
using MonotonicTime = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::time_point<std::chrono::system_clock, Milliseconds>;

inline MonotonicTime monotonicNow() { return std::chrono::steady_clock::now(); }

inline WallTime wallNow() { return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now()); }

inline double toSeconds(std::chrono::nanoseconds duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace Kumquatpick
