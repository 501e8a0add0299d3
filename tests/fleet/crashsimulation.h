#pragma once

#include "nodesimulation.h"

#include <fmt/format.h>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Kumquatpick {

// How servers end in a simulation.
enum class SimulatedEnd : uint8_t {
    Closed, // Connections are closed, and new ones refused.
    Silent, // Nothing is said; the server goes on being chosen until it is no longer listed.
    BackAtOnce, // Connections are closed, and the next process accepts new ones at once; the list shows it later.
};

// Callers, and backend servers that some requests end, around a simulated fleet of nodes. A crashing request ends its
// server a moment after its answer began; all other calls there break with it, and their nodes send them once more.
// Callers send a failed request again under the same fingerprint.
class CrashSimulation {
public:
    // The bound on requests after some deaths, and the time until it holds.
    static constexpr int deathsUntilStop = 3; // Of a whole request.
    static constexpr int deathsUntilPartStop = 5;
    static constexpr Milliseconds contactTime { 3000 };
    static constexpr Milliseconds serverStartTime { 3000 };
    static constexpr uint64_t crashingRequest = 7;

    CrashSimulation(int nodes, int servers, uint64_t seed = 1)
        : fleet(nodes, seed)
    {
        for (int i = 0; i < servers; ++i)
            m_servers.push_back({});
    }

    NodeSimulation fleet;

    struct Totals {
        int sent = 0;
        int served = 0;
        int stopped = 0; // Refused as if they ended servers.
        int held = 0; // Refused while another copy was running.
        int failed = 0; // Broke at each server.
    };
    const Totals& harmless() const { return m_harmless; }
    int deaths() const { return m_deaths; }

    // The caller sends the crashing request again at once after each answer, to any node, this often a second.
    void sendCrashing(double perSecond, Milliseconds duration)
    {
        repeat(perSecond, duration,
            [this] { arrive({ .suspects = crashingRequest, .crashes = true, .begin = drawBegin() }); });
    }
    // From now on each answer that begins on this part ends its server.
    void makeCrashing(uint64_t promptPart) { m_crashingPart = promptPart; }
    // Requests with a crashing part, no two alike, at any node. The prompt's shared parts are in its order.
    void sendCrashingPart(const std::vector<uint64_t>& promptParts, double perSecond, Milliseconds duration)
    {
        repeat(perSecond, duration, [this, promptParts] {
            arrive({ .suspects = { ++m_lastRequest, promptParts }, .begin = drawBegin(), .duration = writePeriod });
        });
    }
    // Sound requests with prompts that share a first part, of which some are frequent, and often a second one.
    void sendPrompts(double perSecond, Milliseconds duration)
    {
        repeat(perSecond, duration, [this] {
            std::vector<uint64_t> parts { firstPart(drawRank(firstParts)) };
            if (fleet.random()() % 2)
                parts.push_back(secondPart(drawRank(secondParts)));
            sendPrompt(std::move(parts));
        });
    }
    void sendPromptsWith(const std::vector<uint64_t>& promptParts, double perSecond, Milliseconds duration)
    {
        repeat(perSecond, duration, [this, promptParts] { sendPrompt(promptParts); });
    }
    static constexpr uint64_t firstPart(uint64_t rank) { return 10'000 + rank; }
    static constexpr uint64_t secondPart(uint64_t rank) { return 20'000 + rank; }

    // Sound requests with prompts at their first attempts.
    struct FirstAttempts {
        int sent = 0;
        int begun = 0;
        double share() const { return sent ? static_cast<double>(begun) / sent : 1; }
    };
    // Between two moments, of all or of those with the first part.
    FirstAttempts firstAttempts(MonotonicTime from, MonotonicTime until, uint64_t part = 0) const
    {
        FirstAttempts result;
        for (const PromptAttempt& attempt : m_promptAttempts) {
            if (attempt.at < from || attempt.at >= until || (part && attempt.firstPart != part)
                || isExcused(attempt.at, attempt.node))
                continue;
            ++result.sent;
            result.begun += attempt.isBegun ? 1 : 0;
        }
        return result;
    }
    // Of the crash after which the bounds count, or the last one.
    MonotonicTime crashAt(int number) const
    {
        return m_crashes.at(std::min(m_crashes.size(), static_cast<size_t>(number)) - 1);
    }
    int crashes() const { return static_cast<int>(m_crashes.size()); }
    // Sound requests that were refused as if they ended servers.
    int promptsStopped() const { return m_prompts.stopped; }
    int promptsHeld() const { return m_prompts.held; }

    // Every other caller's request has its own content, but for a share that many callers send alike.
    void sendHarmless(double perSecond, Milliseconds duration, double hotShare = 0)
    {
        repeat(perSecond, duration, [this, hotShare] {
            ++m_harmless.sent;
            bool isHot = static_cast<double>(fleet.random()() % 1000) < 1000 * hotShare;
            arrive({ .suspects = isHot ? hotRequest : ++m_lastRequest,
                .duration = Milliseconds(100 + fleet.random()() % 1400) });
        });
    }
    // Ends servers for reasons that have nothing to do with requests.
    void endServers(int first, int count)
    {
        for (int i = first; i < first + count; ++i)
            endServer(i);
    }
    // From now on servers end in this way. Of silent ones, nodes wait for each answer until they give up.
    void setEnd(SimulatedEnd end) { m_end = end; }
    void endSilently() { setEnd(SimulatedEnd::Silent); }
    // Requests that one server runs at once.
    void setSlots(size_t slots) { m_slots = slots; }
    // The node's share of the count is excused until it has been in contact for some time.
    void excuse(int node) { m_disturbedAt[node] = fleet.now; }

    // Requests to servers by nodes in contact, sent later than the contact time after so many deaths. At most three are
    // allowed.
    int arrivalsAfterStop(int deaths = deathsUntilStop) const
    {
        if (m_crashes.size() < static_cast<size_t>(deaths))
            return 0;
        MonotonicTime stopDue = m_crashes[static_cast<size_t>(deaths) - 1] + contactTime;
        return static_cast<int>(std::ranges::count_if(m_arrivals,
            [&](const Arrival& arrival) { return arrival.at > stopDue && !isExcused(arrival.at, arrival.node); }));
    }

private:
    static constexpr uint64_t hotRequest = 8;
    static constexpr int maxAttempts = 2; // Of one call, by its node.
    static constexpr int maxCallerAttempts = 2;
    static constexpr Milliseconds callerPause { 200 };
    static constexpr Milliseconds answerTimeout { 1000 }; // Of a call at a silent server.
    static constexpr Milliseconds listExpiry { 2500 };
    static constexpr Milliseconds listDelay { 1500 }; // Until the list shows a server that is back at once.
    static constexpr Milliseconds writePeriod { 300 }; // Between two parts of an answer.
    static constexpr uint64_t firstParts = 60;
    static constexpr uint64_t secondParts = 200;

    struct Request {
        RunSuspects suspects;
        bool crashes = false;
        Milliseconds begin {}; // Until the answer begins, or the server ends.
        Milliseconds duration {}; // From the beginning on.
        int callerAttempts = 0;
        int attempt = -1; // Index of a sound prompt's first attempt.
    };
    struct PromptAttempt {
        MonotonicTime at;
        uint64_t firstPart;
        int node;
        bool isBegun;
    };
    struct Run {
        Request request;
        int node = 0;
        int nodeLife = 0;
        int attempts = 0;
        MonotonicTime wroteAt {};
    };
    struct Server {
        bool isUp = true;
        bool isSilent = false; // Has ended, and is still listed.
        int life = 0;
        std::map<uint64_t, Run> runs; // By id.
    };
    struct Arrival {
        MonotonicTime at;
        int node;
    };

    std::string nameOf(int server) const
    {
        return fmt::format("s{}@{}", server, m_servers[static_cast<size_t>(server)].life);
    }

    bool isExcused(MonotonicTime at, int node) const
    {
        auto disturbed = m_disturbedAt.find(node);
        return disturbed != m_disturbedAt.end() && at < disturbed->second + contactTime;
    }

    Milliseconds drawBegin() { return Milliseconds(100 + fleet.random()() % 300); }
    // Low ranks are drawn more often, in proportion to one over the root of the rank.
    uint64_t drawRank(uint64_t count)
    {
        double draw = static_cast<double>(fleet.random()() % 10'000) / 10'000;
        return static_cast<uint64_t>(draw * draw * static_cast<double>(count));
    }

    void sendPrompt(std::vector<uint64_t> parts)
    {
        ++m_prompts.sent;
        uint64_t first = parts.front();
        m_promptAttempts.push_back({ fleet.now, first, -1, false });
        arrive({ .suspects = { ++m_lastRequest, std::move(parts) },
            .begin = drawBegin(),
            .duration = Milliseconds(150 + fleet.random()() % 2400),
            .attempt = static_cast<int>(m_promptAttempts.size()) - 1 });
    }

    Totals& totalsOf(const Request& request) { return request.suspects.promptParts.empty() ? m_harmless : m_prompts; }

    template <typename Act> void repeat(double perSecond, Milliseconds duration, Act act)
    {
        auto period
            = std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::duration<double>(1 / perSecond));
        for (auto at = std::chrono::microseconds(0); at < duration; at += period)
            fleet.after(at, act);
    }

    void arrive(Request request)
    {
        for (int tries = 0; tries < 100; ++tries) {
            int node = static_cast<int>(fleet.random()() % static_cast<uint64_t>(fleet.count()));
            if (fleet.isDead(node) || fleet.isFrozen(node))
                continue;
            if (++request.callerAttempts == 1 && request.attempt >= 0)
                m_promptAttempts[static_cast<size_t>(request.attempt)].node = node;
            return dispatch({ request, node, fleet.life(node), 0 });
        }
    }

    void dispatch(Run run)
    {
        SuspicionState& guard = fleet.guard(run.node);
        auto verdict = guard.verdict(run.request.suspects, fleet.now);
        if (verdict != SuspicionVerdict::Clear)
            return refuse(run, verdict);
        int server = chooseServer(guard, run.request.suspects);
        if (server < 0)
            return fail(run);
        bool reachesServer = !m_servers[static_cast<size_t>(server)].isSilent;
        if (isCrashing(run.request) && reachesServer)
            m_arrivals.push_back({ fleet.now, run.node });
        ++run.attempts;
        run.wroteAt = {};
        uint64_t id = ++m_lastRun;
        m_servers[static_cast<size_t>(server)].runs.emplace(id, run);
        guard.dispatched(run.request.suspects, nameOf(server), fleet.now);
        int life = m_servers[static_cast<size_t>(server)].life;
        fleet.after(run.request.begin + run.request.duration, [this, server, life, id] { end(server, life, id); });
        if (!run.request.suspects.promptParts.empty())
            fleet.after(run.request.begin, [this, server, life, id] { write(server, life, id); });
        if (m_end == SimulatedEnd::Silent)
            fleet.after(answerTimeout, [this, server, life, id] { giveUp(server, life, id); });
    }

    // A part of the answer arrives, and others follow.
    void write(int index, int life, uint64_t id)
    {
        Server& server = m_servers[static_cast<size_t>(index)];
        auto found = server.runs.find(id);
        if (server.life != life || server.isSilent || found == server.runs.end())
            return;
        Run& run = found->second;
        bool begins = run.wroteAt == MonotonicTime {};
        if (begins && isCrashing(run.request))
            return crash(index);
        if (run.request.attempt >= 0 && run.request.callerAttempts == 1)
            m_promptAttempts[static_cast<size_t>(run.request.attempt)].isBegun = true;
        run.wroteAt = fleet.now;
        if (isAt(run)) {
            fleet.guard(run.node).heardFrom(nameOf(index), fleet.now);
            fleet.guard(run.node).wrote(run.request.suspects, nameOf(index), fleet.now);
        }
        fleet.after(writePeriod, [this, index, life, id] { write(index, life, id); });
    }

    void giveUp(int index, int life, uint64_t id)
    {
        Server& server = m_servers[static_cast<size_t>(index)];
        auto found = server.runs.find(id);
        if (server.life != life || !server.isSilent || found == server.runs.end())
            return;
        Run run = found->second;
        server.runs.erase(found);
        abandon(run, nameOf(index));
    }

    void abandon(const Run& run, const std::string& server)
    {
        if (isAt(run))
            fleet.guard(run.node).abandoned(run.request.suspects, server, fleet.now);
        failOrSendAgain(run);
    }

    void failOrSendAgain(const Run& run)
    {
        if (!isAt(run) || run.attempts >= maxAttempts)
            fail(run);
        else
            fleet.after(Milliseconds(2), [this, run] { dispatch(run); });
    }

    int chooseServer(const SuspicionState& guard, const RunSuspects& suspects)
    {
        auto avoided = guard.replicasToAvoid(suspects, fleet.now);
        std::vector<int> up;
        std::vector<int> apart;
        for (int i = 0; i < static_cast<int>(m_servers.size()); ++i) {
            const Server& server = m_servers[static_cast<size_t>(i)];
            if (!server.isUp || server.runs.size() >= m_slots)
                continue;
            up.push_back(i);
            if (std::ranges::find(avoided, nameOf(i)) == avoided.end())
                apart.push_back(i);
        }
        auto& choices = apart.empty() ? up : apart;
        return choices.empty() ? -1 : choices[fleet.random()() % choices.size()];
    }

    void refuse(const Run& run, SuspicionVerdict verdict)
    {
        if (isCrashing(run.request))
            return;
        if (run.request.callerAttempts >= maxCallerAttempts || verdict == SuspicionVerdict::Stopped) {
            Totals& totals = totalsOf(run.request);
            ++(verdict == SuspicionVerdict::Stopped ? totals.stopped : totals.held);
            return;
        }
        fleet.after(
            fleet.guard(run.node).retryAfter(run.request.suspects, fleet.now), [this, run] { arrive(run.request); });
    }

    void fail(const Run& run)
    {
        if (isCrashing(run.request))
            return;
        if (run.request.callerAttempts >= maxCallerAttempts)
            ++totalsOf(run.request).failed;
        else
            fleet.after(callerPause, [this, run] { arrive(run.request); });
    }

    void end(int index, int life, uint64_t id)
    {
        Server& server = m_servers[static_cast<size_t>(index)];
        auto found = server.runs.find(id);
        if (server.life != life || server.isSilent || found == server.runs.end())
            return;
        Run run = found->second;
        if (run.request.crashes)
            return crash(index);
        server.runs.erase(found);
        ++totalsOf(run.request).served;
        if (isAt(run))
            fleet.guard(run.node).finished(run.request.suspects, nameOf(index), fleet.now);
    }

    bool isCrashing(const Request& request) const
    {
        const auto& parts = request.suspects.promptParts;
        return request.crashes || std::ranges::find(parts, m_crashingPart) != parts.end();
    }

    void crash(int index)
    {
        m_crashes.push_back(fleet.now);
        endServer(index);
    }

    bool isAt(const Run& run) const { return !fleet.isDead(run.node) && fleet.life(run.node) == run.nodeLife; }

    void endServer(int index)
    {
        Server& server = m_servers[static_cast<size_t>(index)];
        if (!server.isUp || server.isSilent)
            return;
        ++m_deaths;
        switch (m_end) {
        case SimulatedEnd::Closed:
            return noticeEnd(index, ServerEndSign::ClosedConnection);
        case SimulatedEnd::Silent:
            server.isSilent = true;
            fleet.after(listExpiry, [this, index] { noticeEnd(index, ServerEndSign::Unreachable); });
            return;
        case SimulatedEnd::BackAtOnce:
            return replace(index);
        }
    }

    void replace(int index)
    {
        Server& server = m_servers[static_cast<size_t>(index)];
        std::string name = nameOf(index);
        auto runs = std::exchange(server.runs, {});
        ++server.life;
        fleet.after(listDelay, [this, name] { tellNodes(name, ServerEndSign::Replaced); });
        for (const auto& [id, run] : runs)
            abandon(run, name);
    }

    void noticeEnd(int index, ServerEndSign sign)
    {
        Server& server = m_servers[static_cast<size_t>(index)];
        std::string name = nameOf(index);
        auto runs = std::exchange(server.runs, {});
        server.isUp = false;
        server.isSilent = false;
        ++server.life;
        fleet.after(serverStartTime, [this, index] { m_servers[static_cast<size_t>(index)].isUp = true; });
        tellNodes(name, sign);
        for (const auto& [id, run] : runs)
            failOrSendAgain(run);
    }

    void tellNodes(const std::string& name, ServerEndSign sign)
    {
        for (int node = 0; node < fleet.count(); ++node) {
            if (fleet.isDead(node) || !fleet.guard(node).hasUnanswered(name))
                continue;
            fleet.guard(node).replicaDied(name, fleet.now, sign);
            if (fleet.guard(node).hasUrgentChanges())
                fleet.after(Milliseconds(fleet.random()() % 50), [this, node] { fleet.exchangeNow(node); });
        }
    }

    std::vector<Server> m_servers;
    std::vector<Arrival> m_arrivals; // Of crashing requests.
    std::vector<MonotonicTime> m_crashes;
    std::map<int, MonotonicTime> m_disturbedAt;
    Totals m_harmless;
    Totals m_prompts; // Of sound requests with prompts.
    std::vector<PromptAttempt> m_promptAttempts;
    size_t m_slots = SIZE_MAX;
    uint64_t m_crashingPart = 0; // 0: none.
    uint64_t m_lastRun = 0;
    uint64_t m_lastRequest = 1000;
    int m_deaths = 0;
    SimulatedEnd m_end = SimulatedEnd::Closed;
};

} // namespace Kumquatpick
