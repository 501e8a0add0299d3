#pragma once

#include "base/clock.h"
#include "suspicion/suspect.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Kumquatpick {

// What showed that a server has ended.
enum class ServerEndSign : uint8_t {
    ClosedConnection, // It closed connections within answers, and accepts none.
    Replaced, // A new process is listed under its name or at its address.
    Unreachable, // It is no longer listed, and accepts no connection.
};

// One run of a request on a server.
struct ServerRun {
    // A request that ends its server does so as soon as its answer begins. One whose answer went on for this long does
    // not, however it ends.
    static constexpr Milliseconds soundAfter { 1000 };

    RunSuspects suspects;
    MonotonicTime startedAt {};
    MonotonicTime writingAt {}; // First part of the answer; unset before.
    MonotonicTime wroteAt {}; // Latest part of the answer.
    MonotonicTime abandonedAt {}; // Of runs that were given up.

    bool isSound() const { return wroteAt - writingAt >= soundAfter; }
    // From when on it is known that the server was writing the answer.
    MonotonicTime begunAt() const { return writingAt == MonotonicTime {} ? startedAt : writingAt; }
};

// The requests that one node runs on each server, and those that it gave up there without an answer: when the server
// turns out to have ended, these may have been running, too. Not thread-safe.
class ServerRuns {
public:
    // An end that shows itself later than this is not blamed on a run that was given up.
    static constexpr std::chrono::seconds abandonedRetention { 10 };
    static constexpr size_t maxAbandonedPerServer = 64;

    void started(const RunSuspects&, std::string_view server, MonotonicTime now);
    // A part of the answer arrived. Returns the run if this shows for the first time that it is sound.
    const ServerRun* wrote(uint64_t fingerprint, std::string_view server, MonotonicTime now);
    // The run ended with an answer, or did not begin. Returns it.
    std::optional<ServerRun> ended(uint64_t fingerprint, std::string_view server);
    // The connection broke, or this node no longer waits.
    void abandoned(uint64_t fingerprint, std::string_view server, MonotonicTime now);
    // A part of any answer arrived.
    void heardFrom(std::string_view server, MonotonicTime now);
    // Whether any run would be blamed for an end of the server.
    bool hasUnanswered(std::string_view server) const;
    // The runs that may have been in progress when the server ended, one of each request. Forgets all runs there.
    std::vector<ServerRun> takeBlamed(std::string_view server, ServerEndSign, MonotonicTime now);
    void forget(std::string_view server);

    bool isRunning(const Suspect& suspect) const { return m_running.contains(suspect); }
    // Servers with a running request for which the predicate holds.
    template <typename Predicate> std::vector<std::string> serversRunning(Predicate predicate) const
    {
        std::vector<std::string> result;
        for (const auto& [name, server] : m_servers) {
            bool isAny = std::any_of(server.running.begin(), server.running.end(),
                [&](const ServerRun& run) { return predicate(run.suspects); });
            if (isAny)
                result.push_back(name);
        }
        return result;
    }

private:
    struct Server {
        std::vector<ServerRun> running;
        std::vector<ServerRun> abandoned; // Oldest first.
        MonotonicTime heardAt {};
    };

    std::optional<ServerRun> takeRunning(Server&, uint64_t fingerprint);
    void countRunning(const RunSuspects&, int change);
    void eraseIfIdle(std::string_view server);

    std::map<std::string, Server, std::less<>> m_servers;
    std::unordered_map<Suspect, int, SuspectHash> m_running; // Number of runs, on all servers.
};

} // namespace Kumquatpick
