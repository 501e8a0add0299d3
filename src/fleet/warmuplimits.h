#pragma once

#include "base/clock.h"
#include "fleet/ratelimits.h"
#include "fleet/rendezvous.h"

#include <map>
#include <span>
#include <string>
#include <string_view>

namespace Kumquatpick {

// What a cold server takes in any second: its announced rate times overrun, plus allowance.
struct WarmupBound {
    double overrun = 1.5;
    double allowance = 5;
};

// Keeps the requests that all nodes together send to a cold backend server within what it takes. A server is cold for
// some time after it starts, or at any later moment, and says for how long; it ends under a higher rate.
//
// The rate is divided among a few nodes (see RateLimits), so few that each of them may have a request at hand in the
// same second. Nodes that were lost lately keep their shares: on both sides of a partition the same nodes have them,
// so the total holds while nodes cannot reach each other. What they leave unused is little. Not thread-safe. The caller
// passes the time in.
class WarmupLimits {
public:
    explicit WarmupLimits(WarmupBound = {});

    // Requests per second that a cold server of the service takes from all nodes together; 0 if there is no limit.
    void setRate(const std::string& service, double perSecond, MonotonicTime now);
    // The server reported how long it stays cold; 0 if it is not. Returns whether it turned cold or warm.
    bool reportCold(std::string_view hostId, std::string_view service, Milliseconds left, MonotonicTime now);
    // The server is probably cold, whatever an earlier report says.
    void assumeCold(std::string_view hostId, std::string_view service, Milliseconds left, MonotonicTime now);

    // Whether this node may send the server a request now.
    bool admits(std::string_view hostId, MonotonicTime now) const;
    // Counts a request of any kind that is sent to the server.
    void recordSend(std::string_view hostId, MonotonicTime now);
    // Reassigns the shares among the nodes and drops servers that are warm. self: empty for a node that must take no
    // share. Call about once a second.
    void assignShares(std::span<const CandidateNode> liveNodes, std::string_view self, MonotonicTime now);

    bool isCold(std::string_view hostId, MonotonicTime now) const;
    // Cold servers with a limit.
    size_t size() const { return m_limits.size(); }

private:
    struct ColdServer {
        std::string service;
        MonotonicTime reportedUntil {};
        MonotonicTime assumedUntil {};

        bool isCold(MonotonicTime now) const { return now < reportedUntil || now < assumedUntil; }
    };

    ColdServer& coldServer(std::string_view hostId, std::string_view service);
    void limit(const std::string& hostId, const ColdServer&, MonotonicTime now);

    RateLimits m_limits;
    std::map<std::string, double, std::less<>> m_rates; // By service.
    std::map<std::string, ColdServer, std::less<>> m_servers; // By host.
    std::map<std::string, MonotonicTime, std::less<>> m_nodes; // By address: when last alive, of those lost lately too.
};

} // namespace Kumquatpick
