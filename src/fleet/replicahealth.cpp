#include "fleet/replicahealth.h"

#include <algorithm>
#include <cstddef>

namespace Kumquatpick {

namespace {

    // Steps of an engine between two events: it produces several tokens in a pass, and a pass may be followed by the
    // reading of prompts.
    constexpr double stepsBetweenEvents = 20;
    // Progress at another node passes through two nodes that exchange loads every half second at the least.
    constexpr Milliseconds progressReportDelay { 1000 };
    // A list that was read for the first time lacks the hosts whose entries expired while the store was away. They are
    // back within this time.
    constexpr Milliseconds listRecovery { 2200 };
    // A replica that was never seen complete but makes progress is kept for the usual length of a partition.
    constexpr std::chrono::seconds maxIncompleteDoubt { 15 };

    bool isSuspect(const HostEvidence& host)
    {
        bool isRefused = host.contact == HostContact::Refused && host.isListed && !host.isDraining;
        bool isSilent = host.contact == HostContact::Unreachable || host.contact == HostContact::UnreachableByAll;
        return !host.isListed || isSilent || isRefused || host.contact == HostContact::Ended;
    }

    // Answers of the network that are missing prove nothing while this node is cut off.
    HostContact credibleContact(const ReplicaEvidence& evidence, HostContact contact)
    {
        bool isDefinite = contact == HostContact::Ended || contact == HostContact::Reachable;
        return evidence.isObserverCutOff && !isDefinite ? HostContact::Unknown : contact;
    }

    // A judgement of one host, or of what is missing.
    struct Finding {
        HealthState state = HealthState::Whole;
        HealthReason reason = HealthReason::AllListed;
    };

    // Judges the hosts of one replica.
    struct Assessment {
        const ReplicaEvidence& evidence;
        const ReplicaHealth& health; // With its suspects.

        // Its absence after a host became suspect proves nothing yet.
        bool mayProgress() const
        {
            return !evidence.isStalled && evidence.progressAt
                && evidence.now - *evidence.progressAt <= evidence.progressValidity;
        }

        bool hasProgressedSinceSuspicion(const HostEvidence& host) const
        {
            auto since = health.suspects.find(host.id);
            return mayProgress() && since != health.suspects.end() && *evidence.progressAt > since->second;
        }

        Finding silent(const HostEvidence& host) const
        {
            if (evidence.isStalled)
                return { HealthState::Broken, HealthReason::HostLost };
            if (hasProgressedSinceSuspicion(host))
                return { HealthState::Whole, HealthReason::Progress };
            if (mayProgress() || host.isListed)
                return { HealthState::InDoubt, HealthReason::HostSilent };
            // An unlisted head gets no new requests, so its streams end although it is whole.
            bool hasStopped = !host.isHead && evidence.inFlight > 0 && evidence.progressAt.has_value();
            if (hasStopped || host.contact == HostContact::UnreachableByAll)
                return { HealthState::Broken, HealthReason::HostLost };
            return { HealthState::InDoubt, HealthReason::HostSilent };
        }

        // A process that ended or is leaving refuses connections; so may a link that resets them.
        Finding refusing(const HostEvidence& host) const
        {
            if (evidence.isStalled)
                return { HealthState::Broken, HealthReason::HostLost };
            if (hasProgressedSinceSuspicion(host))
                return { HealthState::Whole, HealthReason::Progress };
            bool mayStayForRequests = !host.isListed; // Members do, until the head has no requests.
            if (!host.isHead && (mayStayForRequests || mayProgress()))
                return { HealthState::InDoubt, HealthReason::HostRefuses };
            return { HealthState::Broken, HealthReason::HostEnded };
        }

        Finding answering(const HostEvidence& host) const
        {
            if (host.isListed)
                return {};
            bool isAlive = host.contact == HostContact::Reachable || hasProgressedSinceSuspicion(host);
            return { isAlive ? HealthState::Whole : HealthState::InDoubt, HealthReason::HostUnlisted };
        }

        Finding byContact(const HostEvidence& host) const
        {
            switch (credibleContact(evidence, host.contact)) {
            case HostContact::Ended:
                return { HealthState::Broken, HealthReason::HostEnded };
            case HostContact::Refused:
                return host.isDraining ? Finding {} : refusing(host);
            case HostContact::Unreachable:
            case HostContact::UnreachableByAll:
                return silent(host);
            case HostContact::Unknown:
            case HostContact::Reachable:
                break;
            }
            return answering(host);
        }

        Finding unlistedHead() const
        {
            if (evidence.isHeadWithdrawn)
                return { HealthState::Broken, HealthReason::HeadWithdrawn };
            if (evidence.isStalled)
                return { HealthState::Broken, HealthReason::HeadStalled };
            return { HealthState::InDoubt, HealthReason::HeadUnlisted };
        }

        Finding ofHost(const HostEvidence& host) const
        {
            Finding finding = byContact(host);
            bool isUnlistedHead = host.isHead && !host.isListed;
            return isUnlistedHead && finding.state != HealthState::Broken ? unlistedHead() : finding;
        }

        Finding incomplete() const
        {
            if (!evidence.isIncomplete)
                return {};
            MonotonicTime::duration age = evidence.now - evidence.firstSeenAt;
            bool mayComplete = age < listRecovery || (mayProgress() && age < maxIncompleteDoubt);
            if (evidence.wasComplete || evidence.isStalled || !mayComplete)
                return { HealthState::Broken, HealthReason::HostsMissing };
            return { HealthState::InDoubt, HealthReason::HostsUnknown };
        }
    };

}

const char* name(HealthState state)
{
    constexpr const char* names[] = { "whole", "in_doubt", "broken" };
    return names[static_cast<size_t>(state)];
}

const char* name(HealthReason reason)
{
    constexpr const char* names[]
        = { "all_listed", "progress", "host_silent", "host_unlisted", "host_refuses", "head_unlisted", "hosts_unknown",
              "observer_cut_off", "host_ended", "host_lost", "hosts_missing", "head_stalled", "head_withdrawn" };
    return names[static_cast<size_t>(reason)];
}

std::optional<MonotonicTime> ReplicaHealth::suspectSince() const
{
    auto first = std::ranges::min_element(suspects, {}, [](const auto& entry) { return entry.second; });
    return first == suspects.end() ? std::nullopt : std::optional(first->second);
}

ReplicaHealth assessHealth(const ReplicaEvidence& evidence, const ReplicaHealth& previous)
{
    ReplicaHealth health;
    for (const HostEvidence& host : evidence.hosts) {
        auto known = previous.suspects.find(host.id);
        if (isSuspect(host))
            health.suspects.emplace(host.id, known == previous.suspects.end() ? evidence.now : known->second);
    }
    Assessment assessment { evidence, health };
    ReplicaHealth result = health;
    auto apply = [&result](Finding finding, const std::string& hostId) {
        bool isNews = finding.state == result.state && result.reason == HealthReason::AllListed
            && finding.reason != HealthReason::AllListed;
        if (finding.state <= result.state && !isNews)
            return;
        result.state = finding.state;
        result.reason = finding.reason;
        result.hostId = hostId;
    };
    for (const HostEvidence& host : evidence.hosts)
        apply(assessment.ofHost(host), host.id);
    apply(assessment.incomplete(), {});
    if (evidence.isObserverCutOff && result.state == HealthState::InDoubt)
        result.reason = HealthReason::ObserverCutOff;
    return result;
}

Milliseconds progressValidity(const ServiceSpec& service, const ModelSpec& model)
{
    const EngineTiming& timing = service.timing;
    double stepMs = timing.stepMs + timing.perSequenceMs * service.capacity;
    double readMs = timing.promptTokensPerSecond > 0
        ? 1000.0 * timing.usualPromptTokens / timing.promptTokensPerSecond * std::max(1u, service.capacity)
        : 0;
    double gapMs = std::max(0.0, model.pace) * (stepsBetweenEvents * stepMs + readMs);
    return Milliseconds(static_cast<int64_t>(gapMs)) + progressReportDelay;
}

ReplicaEvidence collectEvidence(const PlannerInput& input, const ReplicaView& replica)
{
    ReplicaEvidence evidence;
    evidence.now = input.now;
    evidence.isObserverCutOff = input.isObserverCutOff;
    for (const Host* member : replica.members)
        evidence.hosts.push_back(
            { member->id, input.contact(member->id), member == replica.head, true, member->draining });
    for (const Host* member : replica.recentlyUnlisted)
        evidence.hosts.push_back({ member->id, input.contact(member->id), false, false, member->draining });
    const Host* head = replica.head ? replica.head : replica.unlistedHead;
    if (head == replica.unlistedHead && head) {
        evidence.hosts.push_back({ head->id, input.contact(head->id), true, false, head->draining });
        evidence.isHeadWithdrawn = replica.isHeadWithdrawn;
    }
    if (head) {
        evidence.isStalled = input.isStalled(head->id);
        evidence.inFlight = input.inFlight(head->id);
        evidence.progressAt = input.progressAt(head->id);
    }
    if (const ModelSpec* model = input.service.model(replica.model)) {
        evidence.isIncomplete = !replica.isComplete(model->hostsPerReplica);
        evidence.progressValidity = progressValidity(input.service, *model);
    }
    return evidence;
}

} // namespace Kumquatpick
