#pragma once

#include "base/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

// How long ago something came from a host, by host.
using ArrivalAges = std::map<std::string, Milliseconds, std::less<>>;

// Tells a replica that hangs, or whose host went dark, from one where calls only wait their turn. Not thread-safe; no
// input or output of its own.
//
// Streams that stop are seen by what is due next (Balancer::standingStill()). A call that has had no first event tells
// nothing by its wait alone: where calls queue, a late one is usual, and sending it again doubles the load. But a queue
// moves: events of the calls before it arrive, here or at another node. So a replica is silent if nothing at all came
// from it, to any node that is heard, for longer than calls of a kind wait that one of them waits for. A caller that
// gave up before its first event leaves its wait behind as evidence.
class FirstEvents {
public:
    // kind: what its usual wait is learned by, as the model that it asks for.
    void sent(uint64_t call, std::string_view hostId, std::string_view kind, MonotonicTime now);
    // The first event, or the head of an answer.
    void began(uint64_t call, MonotonicTime now);
    // Before its first event, or after it; gaveUp: the caller did not wait for it.
    void ended(uint64_t call, bool gaveUp, MonotonicTime now);
    // Anything came from the host, to this node or to another one that told so.
    void arrived(std::string_view hostId, MonotonicTime at);
    void toldArrived(std::string_view hostId, MonotonicTime at);
    // This node's own loop stood for so long: what came meanwhile is still to be read.
    void excusePause(MonotonicTime::duration);

    struct Silence {
        std::string hostId;
        std::vector<uint64_t> calls; // That wait there for longer than calls of their kind do.
    };
    std::vector<Silence> silences(MonotonicTime now);
    // Hosts that something came from lately, by how long ago; for other nodes.
    ArrivalAges ownArrivals(MonotonicTime now) const { return recent(m_ownArrivals, now); }
    ArrivalAges allArrivals(MonotonicTime now) const { return recent(m_arrivals, now); }
    // How long calls of this kind may wait for their first event before it tells anything.
    Milliseconds longestUsual(std::string_view kind) const;

private:
    struct Waiting {
        std::string hostId;
        std::string kind;
        MonotonicTime since {};
        bool gaveUp = false;
    };
    // Of the waits that ended with a first event; smoothed.
    struct UsualWait {
        double meanMs = 0;
        double deviationMs = 0;
    };

    std::map<uint64_t, Waiting> m_waiting; // By call.
    using Arrivals = std::map<std::string, MonotonicTime, std::less<>>; // The latest, by host.

    static ArrivalAges recent(const Arrivals&, MonotonicTime now);

    Arrivals m_ownArrivals;
    Arrivals m_arrivals; // To any node.
    std::map<std::string, UsualWait, std::less<>> m_usual; // By kind.
};

} // namespace Kumquatpick
