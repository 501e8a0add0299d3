#pragma once

#include "base/clock.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

// Decides whether this node is cut off from all backend servers of a service. A server that fails alone has failed; a
// node for which several fail at once, and none of a few others accepts a connection, may have lost its own links. What
// other nodes reach tells the two apart. Not thread-safe; does no I/O.
class ServerReach {
public:
    // Servers of a service that fail without one success in between cast doubt on this node's own links.
    static constexpr size_t failuresInDoubt = 2;
    // A node that uses a service hears from some server of it more often.
    static constexpr Milliseconds silenceInDoubt { 400 };
    // Between two checks while in doubt, and while cut off.
    static constexpr Milliseconds doubtPeriod { 500 };
    static constexpr Milliseconds returnPeriod { 250 };

    // A server accepted a new connection. What open connections carry proves nothing about new ones.
    void connected(std::string_view service, MonotonicTime now);
    // A server did not accept a connection.
    void connectFailed(std::string_view service, std::string_view server);
    // Data of any server of the service arrived.
    void heardFrom(std::string_view service, MonotonicTime now);
    // Servers that have calls of this node and have been silent for too long. They cast doubt only while no server of
    // the service is heard from.
    void setSilentServers(std::string_view service, size_t count);

    // Something else casts doubt on the links to the service.
    void suspect(std::string_view service);

    // Whether it should be checked now if servers accept connections.
    bool needsCheck(std::string_view service, MonotonicTime now) const;
    void checkStarted(std::string_view service, MonotonicTime now);
    // Returns whether this changed whether the node is cut off.
    bool checkEnded(std::string_view service, bool isAnyReached, MonotonicTime now);

    bool isCutOff(std::string_view service) const;
    // Whether a server of the service was heard from, or accepted a connection, after this time: what failed since then
    // is not the links.
    bool isReachedSince(std::string_view service, MonotonicTime) const;
    // Names, ordered.
    std::vector<std::string> cutOffServices() const;
    // Services of which any state is kept.
    std::vector<std::string> services() const;

private:
    struct Reach {
        std::set<std::string, std::less<>> failedServers; // Since the last success.
        size_t silentServers = 0;
        bool isSuspected = false;
        MonotonicTime heardAt {};
        MonotonicTime checkedAt {};
        MonotonicTime reachedAt {}; // A connection was accepted.
        bool isChecking = false;
        bool isCutOff = false;
    };

    static void recordSuccess(Reach&, MonotonicTime now);
    const Reach* find(std::string_view service) const;
    static bool isDoubtful(const Reach&, MonotonicTime now);
    static bool isSilent(const Reach&, MonotonicTime now);

    std::map<std::string, Reach, std::less<>> m_services;
};

} // namespace Kumquatpick
