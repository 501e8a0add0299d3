#include "gateway/stopsignals.h"

#include <atomic>
#include <csignal>

namespace Kumquatpick {

namespace {

    using Ticks = MonotonicTime::rep;

    // Of the first signal, as a time since the clock's epoch; 0 before it.
    std::atomic<Ticks> receivedTicks { 0 };
    static_assert(std::atomic<Ticks>::is_always_lock_free, "a signal handler may use it");

    // The clock is read by clock_gettime(), which a signal handler may call.
    void noteSignal(int)
    {
        Ticks none = 0;
        receivedTicks.compare_exchange_strong(none, monotonicNow().time_since_epoch().count());
    }

}

void StopSignals::install()
{
    struct sigaction action { };
    action.sa_handler = noteSignal;
    action.sa_flags = SA_RESTART;
    sigemptyset(&action.sa_mask);
    sigaction(SIGTERM, &action, nullptr);
    sigaction(SIGINT, &action, nullptr);
}

std::optional<MonotonicTime> StopSignals::receivedAt()
{
    Ticks ticks = receivedTicks;
    return ticks == 0 ? std::nullopt : std::optional(MonotonicTime(MonotonicTime::duration(ticks)));
}

} // namespace Kumquatpick
