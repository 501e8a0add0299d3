#include "policy/fairqueue.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace Kumquatpick {

namespace {

    constexpr double runSmoothing = 0.05;
    // If the capacity falls below this share of its last value, all waiting requests are checked again. Smaller changes
    // are treated as temporary.
    constexpr double capacityDropShare = 0.75;
    constexpr Milliseconds noCapacityGracePeriod { 5000 };
    constexpr double startSmoothing = 0.03;
    constexpr double initialMeanRun = 1; // Seconds, used until a run has ended.
    constexpr double minRetrySeconds = 0.2;
    constexpr double maxRetrySeconds = 30;
    constexpr double retryJitter = 0.25;
    // Share of its time to the deadline that the oldest request may use before the newest goes first.
    constexpr double adaptiveLifoShare = 0.3;

    std::chrono::nanoseconds fromSeconds(double seconds)
    {
        return std::chrono::nanoseconds(static_cast<int64_t>(seconds * 1e9));
    }

    double uniformBetween(Random& random, double low, double high)
    {
        return low + (high - low) * (static_cast<double>(random() >> 11) * 0x1p-53);
    }

} // namespace

FairQueue::FairQueue(FairQueueSettings settings)
    : m_settings(settings)
{
}

// Estimates the streams that other nodes have started since their usage was sent: gossip is late by about two
// updates, and the other nodes are assumed to grow in proportion to this one. Without the estimate, a team that
// begins a burst would get the rest of its limit from every node at once.
double FairQueue::Team::remoteGrowth() const
{
    uint32_t previousRunning = std::min(runningAtUpdate, runningAtPreviousUpdate);
    if (running <= previousRunning)
        return 0;
    return double(running - previousRunning) * remoteRunning / std::max(1U, previousRunning);
}

// The part of the team's limit that other nodes do not use. If the demand of all nodes exceeds the limit, the part is
// also limited in proportion to this node's demand, so that the first node to fill up does not keep all streams.
uint32_t FairQueue::Team::allowance() const
{
    if (!limit)
        return std::numeric_limits<uint32_t>::max();
    double left = std::max(0.0, double(limit) - remoteRunning - remoteGrowth());
    double localDemand = double(running) + double(waiting.size());
    double remoteDemand = double(remoteRunning) + remoteWaiting;
    if (remoteWaiting && localDemand + remoteDemand > limit)
        left = std::min(left, std::ceil(limit * localDemand / (localDemand + remoteDemand)));
    return static_cast<uint32_t>(left);
}

FairQueue::Team& FairQueue::findOrAddTeam(std::string_view name)
{
    if (!m_settings.fairBetweenTeams)
        return m_teams["all"];
    auto found = m_teams.find(name);
    return found != m_teams.end() ? found->second : m_teams[std::string(name)];
}

void FairQueue::configure(uint32_t queueLimit, std::span<const TeamConfig> teams)
{
    m_queueLimit = queueLimit;
    std::erase_if(m_teams, [](const auto& entry) { return !entry.second.running && entry.second.waiting.empty(); });
    for (auto& [name, team] : m_teams) {
        team.weight = 1;
        team.limit = 0;
    }
    for (const TeamConfig& text : teams) {
        Team& team = findOrAddTeam(text.name);
        team.weight = std::max(1e-6, text.share);
        team.limit = text.streamLimit;
    }
}

void FairQueue::setCapacity(uint32_t streams, MonotonicTime now, Random& random)
{
    bool capacityDropped = streams < capacityDropShare * m_capacity;
    m_capacity = streams;
    trackNoCapacity(now);
    startWaiting(now);
    if (capacityDropped || !m_capacity)
        refuseLateRequests(now, random);
}

void FairQueue::trackNoCapacity(MonotonicTime now)
{
    if (m_capacity)
        m_noCapacitySince.reset();
    else if (!m_noCapacitySince)
        m_noCapacitySince = now;
}

void FairQueue::setRemoteUsage(std::span<const TeamUsage> usage, MonotonicTime now)
{
    for (auto& [name, team] : m_teams) {
        team.remoteRunning = team.remoteWaiting = 0;
        team.runningAtPreviousUpdate = std::exchange(team.runningAtUpdate, team.running);
    }
    for (const TeamUsage& used : usage) {
        Team& team = findOrAddTeam(used.team);
        team.remoteRunning += used.running;
        team.remoteWaiting += used.waiting;
    }
    startWaiting(now);
}

FairQueue::WaitingIterator FairQueue::insert(Team& team, const QueueRequest& request, MonotonicTime now)
{
    auto run = fromSeconds(m_settings.requiredRunShare * m_meanRun);
    auto expiresAt = m_settings.shedsEarly ? request.deadline - run : request.deadline;
    Waiting waiting { request.ticket, request.priority, now, request.deadline, expiresAt };
    auto goesAfter = [&](const Waiting& other) {
        if (other.priority != waiting.priority)
            return other.priority < waiting.priority;
        return m_settings.order == QueueOrder::Deadline && other.deadline > waiting.deadline;
    };
    // A team without waiting requests earns no credit for the time in which it was idle.
    if (team.waiting.empty()) {
        team.startTag = std::max(team.startTag, m_virtualTime);
        team.secondsPerStart = 1 / streamsPerSecond(team);
        team.lastStart = now;
    }
    ++m_waiting;
    return team.waiting.insert(std::find_if(team.waiting.begin(), team.waiting.end(), goesAfter), waiting);
}

std::optional<AdmissionOutcome> FairQueue::arrive(const QueueRequest& request, MonotonicTime now, Random& random)
{
    Team& team = findOrAddTeam(request.team);
    if (request.deadline <= now)
        return AdmissionOutcome { AdmissionVerdict::WouldMissDeadline, retryAfter(team, now, random) };
    trackNoCapacity(now);
    expire(now, random);
    auto position = insert(team, request, now);
    // A request that can start at once is admitted whatever the mean run: it may be a short one.
    startWaiting(now);
    if (auto outcome = takeDecisionOn(request.ticket))
        return outcome;
    if (willMissDeadline(team, position, now))
        refuse(team, position, lateVerdict(team), now, random);
    else if (m_waiting > m_queueLimit)
        refuseFromLongestQueue(now, random);
    return takeDecisionOn(request.ticket);
}

std::optional<AdmissionOutcome> FairQueue::takeDecisionOn(Ticket ticket)
{
    auto matchesTicket = [&](const QueueDecision& decision) { return decision.ticket == ticket; };
    auto found = std::find_if(m_decisions.begin(), m_decisions.end(), matchesTicket);
    if (found == m_decisions.end())
        return {};
    AdmissionOutcome outcome = found->outcome;
    m_decisions.erase(found);
    return outcome;
}

// Refuses the last request of the team with the longest queue for its weight, so that a team that floods the service
// displaces only its own requests.
void FairQueue::refuseFromLongestQueue(MonotonicTime now, Random& random)
{
    Team* longest = nullptr;
    double longestLength = 0;
    for (auto& [name, team] : m_teams) {
        double length = double(team.waiting.size()) / team.weight;
        if (length <= longestLength)
            continue;
        longestLength = length;
        longest = &team;
    }
    if (longest)
        refuse(*longest, std::prev(longest->waiting.end()), AdmissionVerdict::QueueFull, now, random);
}

void FairQueue::release(std::string_view name, std::chrono::nanoseconds ran, MonotonicTime now, Random& random)
{
    Team& team = findOrAddTeam(name);
    if (!team.running)
        return;
    --team.running;
    --m_running;
    double seconds = std::max(0.0, toSeconds(ran));
    // The start was charged with the mean run; this corrects the charge to the actual run.
    team.startTag += (seconds - meanRun()) / team.weight;
    m_meanRun = m_meanRun ? m_meanRun + runSmoothing * (seconds - m_meanRun) : seconds;
    expire(now, random);
    startWaiting(now);
}

double FairQueue::meanRun() const { return m_meanRun ? m_meanRun : initialMeanRun; }

FairQueue::WaitingIterator FairQueue::nextRequest(Team& team, MonotonicTime now)
{
    auto first = team.waiting.begin();
    if (m_settings.order != QueueOrder::AdaptiveLifo)
        return first;
    if (toSeconds(now - first->arrived) < adaptiveLifoShare * toSeconds(first->deadline - first->arrived))
        return first;
    auto lower = [&](const Waiting& waiting) { return waiting.priority != first->priority; };
    return std::prev(std::find_if(first, team.waiting.end(), lower));
}

FairQueue::Team* FairQueue::nextTeam()
{
    Team* next = nullptr;
    for (auto& [name, team] : m_teams) {
        if (team.mayStart() && (!next || team.startTag < next->startTag))
            next = &team;
        else if (!team.waiting.empty() && !team.mayStart())
            // A team at its limit earns no credit for the time that other teams use.
            team.startTag = std::max(team.startTag, m_virtualTime);
    }
    return next;
}

void FairQueue::startWaiting(MonotonicTime now)
{
    while (m_running < m_capacity && m_waiting) {
        Team* team = nextTeam();
        if (!team)
            return;
        start(*team, nextRequest(*team, now), now);
    }
}

void FairQueue::start(Team& team, WaitingIterator position, MonotonicTime now)
{
    double sinceLast = toSeconds(now - team.lastStart);
    team.secondsPerStart += startSmoothing * (sinceLast - team.secondsPerStart);
    team.lastStart = now;
    m_decisions.push_back({ position->ticket, {} });
    team.waiting.erase(position);
    --m_waiting;
    ++team.running;
    ++m_running;
    m_virtualTime = std::max(m_virtualTime, team.startTag);
    team.startTag += meanRun() / team.weight;
}

void FairQueue::refuse(
    Team& team, WaitingIterator position, AdmissionVerdict verdict, MonotonicTime now, Random& random)
{
    m_decisions.push_back({ position->ticket, { verdict, retryAfter(team, now, random) } });
    team.waiting.erase(position);
    --m_waiting;
}

// Returns whether the request will start too late, given the requests of its team ahead of it. With newest-first
// order the number of requests ahead is not bounded, so only the latest useful start time is checked.
bool FairQueue::willMissDeadline(const Team& team, std::list<Waiting>::const_iterator position, MonotonicTime now) const
{
    if (!m_settings.shedsEarly)
        return false;
    // Without capacity the wait cannot be estimated. It may be short, but after a few seconds it counts as an outage.
    if (!m_capacity)
        return m_noCapacitySince && now - *m_noCapacitySince >= noCapacityGracePeriod;
    if (!m_meanRun)
        return false;
    if (m_settings.order == QueueOrder::AdaptiveLifo)
        return now >= position->expiresAt;
    auto ahead = std::distance(team.waiting.begin(), position);
    auto wait = fromSeconds(std::min(secondsToStart(team, static_cast<size_t>(ahead), now), 1e6));
    return now + wait > position->expiresAt;
}

void FairQueue::refuseLateRequests(MonotonicTime now, Random& random)
{
    for (auto& [name, team] : m_teams) {
        for (auto next = team.waiting.begin(); next != team.waiting.end();) {
            auto current = next++;
            if (willMissDeadline(team, current, now))
                refuse(team, current, lateVerdict(team), now, random);
        }
    }
}

void FairQueue::expire(MonotonicTime now, Random& random)
{
    if (!m_waiting)
        return;
    for (auto& [name, team] : m_teams) {
        for (auto next = team.waiting.begin(); next != team.waiting.end();) {
            auto current = next++;
            if (current->expiresAt <= now)
                refuse(team, current, lateVerdict(team), now, random);
        }
    }
}

bool FairQueue::withdraw(Ticket ticket)
{
    for (auto& [name, team] : m_teams) {
        auto taken = std::erase_if(team.waiting, [&](const Waiting& waiting) { return waiting.ticket == ticket; });
        m_waiting -= static_cast<uint32_t>(taken);
        if (taken)
            return true;
    }
    return false;
}

void FairQueue::refuseAll(AdmissionVerdict verdict, Milliseconds retryAfter)
{
    for (auto& [name, team] : m_teams) {
        for (const Waiting& waiting : team.waiting)
            m_decisions.push_back({ waiting.ticket, { verdict, retryAfter } });
        team.waiting.clear();
    }
    m_waiting = 0;
}

// Returns whether the team's limit or the service's capacity delayed the request.
AdmissionVerdict FairQueue::lateVerdict(const Team& team) const
{
    bool limited = team.running >= team.allowance() && m_running < m_capacity;
    return limited ? AdmissionVerdict::TeamLimit : AdmissionVerdict::WouldMissDeadline;
}

// The team's start rate: its weighted share of the streams not used by teams without waiting requests, within its
// limit.
double FairQueue::streamsPerSecond(const Team& team) const
{
    double used = 0;
    double weights = team.waiting.empty() ? team.weight : 0;
    for (const auto& [name, other] : m_teams) {
        if (!other.waiting.empty())
            weights += other.weight;
        else if (&other != &team)
            used += other.running;
    }
    double streams = std::max(1.0, double(m_capacity) - used) * team.weight / weights;
    streams = std::min(streams, double(std::max(1U, team.allowance())));
    return streams / meanRun();
}

double FairQueue::secondsToStart(const Team& team, size_t ahead, MonotonicTime now) const
{
    double sinceLast = toSeconds(now - team.lastStart);
    return double(ahead) * team.secondsPerStart + std::max(0.0, team.secondsPerStart - sinceLast);
}

// Gives each refused request its own retry time, after the waiting requests and after the retry times given before, at
// the rate at which the team is served. Retries are thus spread out, and come later the more there are.
Milliseconds FairQueue::retryAfter(Team& team, MonotonicTime now, Random& random)
{
    double perSecond = streamsPerSecond(team);
    double secondsToDrain = double(team.waiting.size()) / perSecond;
    if (team.remoteRunning)
        secondsToDrain = std::min(secondsToDrain, (team.remoteWaiting + 1) * meanRun() / team.remoteRunning);
    team.latestRetryAt = std::max(team.latestRetryAt, now + fromSeconds(secondsToDrain)) + fromSeconds(1 / perSecond);
    double seconds = toSeconds(team.latestRetryAt - now);
    if (seconds > maxRetrySeconds) {
        team.latestRetryAt = now + fromSeconds(maxRetrySeconds);
        seconds = maxRetrySeconds * uniformBetween(random, 0.5, 1);
    }
    seconds *= uniformBetween(random, 1 - retryJitter, 1 + retryJitter);
    return std::chrono::ceil<Milliseconds>(fromSeconds(std::max(seconds, minRetrySeconds)));
}

std::vector<QueueDecision> FairQueue::takeDecisions() { return std::exchange(m_decisions, {}); }

std::optional<MonotonicTime> FairQueue::expiresAt(Ticket ticket) const
{
    for (const auto& [name, team] : m_teams) {
        for (const Waiting& waiting : team.waiting) {
            if (waiting.ticket == ticket)
                return waiting.expiresAt;
        }
    }
    return {};
}

std::optional<MonotonicTime> FairQueue::nextExpiry() const
{
    std::optional<MonotonicTime> next;
    for (const auto& [name, team] : m_teams) {
        for (const Waiting& waiting : team.waiting)
            next = next ? std::min(*next, waiting.expiresAt) : waiting.expiresAt;
    }
    return next;
}

std::vector<TeamUsage> FairQueue::usage(std::string_view service) const
{
    std::vector<TeamUsage> all;
    for (const auto& [name, team] : m_teams) {
        auto waiting = static_cast<uint32_t>(team.waiting.size());
        if (team.running || waiting)
            all.push_back({ std::string(service), name, team.running, waiting });
    }
    return all;
}

uint32_t FairQueue::teamAllowance(std::string_view name) const
{
    auto found = m_teams.find(name);
    return found == m_teams.end() ? std::numeric_limits<uint32_t>::max() : found->second.allowance();
}

} // namespace Kumquatpick
