#include "suspicion/serverruns.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Kumquatpick {

namespace {

    // The requests that a silent server still got after its end ran nowhere. The one that ended it was sent no later
    // than this after the server's last sign of life, or after the first request without an answer.
    constexpr Milliseconds silentEndWindow { 250 };
    // What a server sent before it ended may be read this long after its connections were found closed.
    constexpr Milliseconds lastBytesDelay { 200 };

    uint64_t fingerprintOf(const ServerRun& run) { return run.suspects.fingerprint; }

    // Of several runs of one request, one that is not known to be sound.
    std::vector<ServerRun> oneOfEachRequest(std::vector<ServerRun> runs)
    {
        auto rank = [](const ServerRun& run) { return std::pair(run.suspects.fingerprint, run.isSound()); };
        std::ranges::stable_sort(runs, {}, rank);
        auto isRepeated
            = [](const ServerRun& one, const ServerRun& other) { return fingerprintOf(one) == fingerprintOf(other); };
        runs.erase(std::unique(runs.begin(), runs.end(), isRepeated), runs.end());
        return runs;
    }

}

void ServerRuns::started(const RunSuspects& suspects, std::string_view server, MonotonicTime now)
{
    m_servers[std::string(server)].running.push_back({ .suspects = suspects, .startedAt = now });
    countRunning(suspects, 1);
}

void ServerRuns::countRunning(const RunSuspects& suspects, int change)
{
    auto count = [&](const Suspect& suspect) {
        auto total = m_running.try_emplace(suspect).first;
        total->second += change;
        if (total->second == 0)
            m_running.erase(total);
    };
    count({ SuspectKind::Request, suspects.fingerprint });
    for (uint64_t part : suspects.promptParts)
        count({ SuspectKind::PromptPart, part });
}

std::optional<ServerRun> ServerRuns::takeRunning(Server& server, uint64_t fingerprint)
{
    auto found = std::ranges::find(server.running, fingerprint, &fingerprintOf);
    if (found == server.running.end())
        return std::nullopt;
    ServerRun run = std::move(*found);
    server.running.erase(found);
    countRunning(run.suspects, -1);
    return run;
}

const ServerRun* ServerRuns::wrote(uint64_t fingerprint, std::string_view server, MonotonicTime now)
{
    auto known = m_servers.find(server);
    if (known == m_servers.end())
        return nullptr;
    auto run = std::ranges::find(known->second.running, fingerprint, &fingerprintOf);
    if (run == known->second.running.end())
        return nullptr;
    bool wasSound = run->isSound();
    if (run->writingAt == MonotonicTime {})
        run->writingAt = now;
    run->wroteAt = now;
    return run->isSound() && !wasSound ? &*run : nullptr;
}

std::optional<ServerRun> ServerRuns::ended(uint64_t fingerprint, std::string_view server)
{
    auto found = m_servers.find(server);
    if (found == m_servers.end())
        return std::nullopt;
    auto run = takeRunning(found->second, fingerprint);
    eraseIfIdle(server);
    return run;
}

void ServerRuns::abandoned(uint64_t fingerprint, std::string_view server, MonotonicTime now)
{
    auto found = m_servers.find(server);
    if (found == m_servers.end())
        return;
    auto run = takeRunning(found->second, fingerprint);
    if (!run)
        return;
    auto& abandoned = found->second.abandoned;
    std::erase_if(abandoned, [&](const ServerRun& known) { return now - known.abandonedAt > abandonedRetention; });
    if (abandoned.size() == maxAbandonedPerServer)
        abandoned.erase(abandoned.begin());
    run->abandonedAt = now;
    abandoned.push_back(std::move(*run));
}

// A server that answers anything has survived what was given up before.
void ServerRuns::heardFrom(std::string_view server, MonotonicTime now)
{
    auto found = m_servers.find(server);
    if (found == m_servers.end())
        return;
    found->second.heardAt = now;
    std::erase_if(
        found->second.abandoned, [&](const ServerRun& run) { return now - run.abandonedAt > lastBytesDelay; });
}

bool ServerRuns::hasUnanswered(std::string_view server) const { return m_servers.contains(server); }

std::vector<ServerRun> ServerRuns::takeBlamed(std::string_view name, ServerEndSign sign, MonotonicTime now)
{
    auto found = m_servers.find(name);
    if (found == m_servers.end())
        return {};
    const Server& server = found->second;
    std::vector<ServerRun> candidates;
    std::ranges::copy_if(server.abandoned, std::back_inserter(candidates),
        [&](const ServerRun& run) { return now - run.abandonedAt <= abandonedRetention; });
    // A closed connection shows that the run was in progress.
    bool wereInProgress = sign == ServerEndSign::ClosedConnection;
    if (!wereInProgress)
        std::ranges::copy(server.running, std::back_inserter(candidates));
    MonotonicTime silentSince = MonotonicTime::max();
    for (const ServerRun& run : candidates)
        silentSince = std::min(silentSince, run.startedAt);
    silentSince = std::max(silentSince, server.heardAt);
    std::erase_if(candidates, [&](const ServerRun& run) { return run.startedAt > silentSince + silentEndWindow; });
    if (wereInProgress)
        std::ranges::copy(server.running, std::back_inserter(candidates));
    forget(name);
    return oneOfEachRequest(std::move(candidates));
}

void ServerRuns::forget(std::string_view name)
{
    auto found = m_servers.find(name);
    if (found == m_servers.end())
        return;
    for (const ServerRun& run : found->second.running)
        countRunning(run.suspects, -1);
    m_servers.erase(found);
}

void ServerRuns::eraseIfIdle(std::string_view server)
{
    auto found = m_servers.find(server);
    if (found->second.running.empty() && found->second.abandoned.empty())
        m_servers.erase(found);
}

} // namespace Kumquatpick
