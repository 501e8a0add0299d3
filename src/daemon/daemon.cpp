#include "daemon/daemon.h"

#include "base/logline.h"
#include "daemon/parts.h"

#include <condition_variable>

namespace Kumquatpick {

namespace {

    // Callers keep an address for the time to live of /v1/entries; until then they may still come.
    constexpr Milliseconds entriesTimeToLive { 5'000 };
    constexpr Milliseconds handOverLimit { 10'000 };
    constexpr Milliseconds handOverCheck { 50 };
    constexpr std::chrono::hours unlimited { 24 };

    // Peers take the larger one for the later life, so it grows with the time of start; the low bits keep apart
    // two processes that start in the same millisecond.
    uint64_t freshIncarnation()
    {
        constexpr unsigned randomBits = 20;
        auto random = seededFromSystem();
        auto startedAt = static_cast<uint64_t>(wallNow().time_since_epoch().count());
        return startedAt << randomBits | random() >> (64 - randomBits);
    }

    NodeInfo nodeInfo(const DaemonSettings& settings)
    {
        NodeInfo info;
        info.id = { settings.name, freshIncarnation() };
        info.zone = settings.zone;
        info.peerAddress = settings.peerAdvertised;
        info.callerAddress = settings.callerAdvertised;
        return info;
    }

    // Waits for a condition that nobody announces, checking it now and then.
    template <typename Condition> bool waitFor(Condition&& condition, MonotonicTime deadline)
    {
        std::mutex mutex;
        std::condition_variable never;
        std::unique_lock lock(mutex);
        while (!condition()) {
            if (monotonicNow() >= deadline)
                return false;
            never.wait_for(lock, handOverCheck);
        }
        return true;
    }

}

Daemon::Daemon(std::unique_ptr<Parts> parts)
    : m_parts(std::move(parts))
{
}

Daemon::~Daemon() = default;

Result<std::unique_ptr<Daemon>> Daemon::start(const DaemonSettings& settings)
{
    auto parts = std::make_unique<Parts>(settings, nodeInfo(settings));
    BOOST_LEAF_CHECK(parts->start());
    logLine(LogLevel::Info, "node started",
        { { "name", settings.name }, { "zone", settings.zone }, { "incarnation", parts->self.id.incarnation } });
    return std::unique_ptr<Daemon>(new Daemon(std::move(parts)));
}

const Address& Daemon::callerAddress() const { return m_parts->self.callerAddress; }

const Address& Daemon::peerAddress() const { return m_parts->self.peerAddress; }

// A node that is the last one of its deployment can hand its slots to nobody, so that is waited for only so long.
bool Daemon::stop()
{
    Parts& parts = *m_parts;
    logLine(LogLevel::Info, "stop begins", { { "step", name(Step::Stop) } });
    parts.stopping = true;
    parts.cluster.requestGossipRound();
    waitFor([] { return false; }, monotonicNow() + entriesTimeToLive);
    parts.callers->beginDrain();
    auto limit
        = parts.settings.stopTimeout.count() > 0 ? std::chrono::nanoseconds(parts.settings.stopTimeout) : unlimited;
    bool isWhole = parts.callers->drain(monotonicNow() + limit);
    parts.controller.stop();
    bool handedOver
        = waitFor([&] { return parts.slots.handOver(parts.cluster.liveNodes()); }, monotonicNow() + handOverLimit);
    logLine(LogLevel::Info, "stop ends",
        { { "step", name(Step::Stop) }, { "cut_off", !isWhole }, { "slots_handed_over", handedOver } });
    return isWhole;
}

} // namespace Kumquatpick
