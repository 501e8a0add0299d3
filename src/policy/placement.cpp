#include "policy/placement.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace Kumquatpick {

namespace {

    // Costs used by the score. `kumquatpick bench` compares values; docs/PLACEMENT.md lists those tried.
    constexpr double domainLossCost = 1.0; // Losing the whole service with the domain.
    constexpr double zoneImbalanceCost = 0.5;
    constexpr double coldLoadCost = 0.6; // Loading every host from the weight store.
    constexpr double lastSpareCost = 0.2; // Leaving the domain without a spare host.
    constexpr double strandedHostCost = 1.0; // Each host that no replica can use any more.
    constexpr double leftoverHostCost = 0.02; // Each remaining free host, usable or not.

    uint32_t replicaCount(const PlacementDomain& domain, uint32_t service)
    {
        auto isOfService = [&](const PlacedReplica& replica) { return replica.service == service; };
        return static_cast<uint32_t>(std::count_if(domain.replicas.begin(), domain.replicas.end(), isOfService));
    }

    std::vector<uint32_t> replicasByZone(const PlacementView& view, uint32_t service)
    {
        std::vector<uint32_t> counts(view.zones, 0);
        for (const auto& domain : view.domains)
            counts[domain.zone] += replicaCount(domain, service);
        return counts;
    }

    uint32_t warmHosts(const PlacementDomain& domain, uint32_t service)
    {
        auto isWarm = [&](const FreeHost& host) { return host.warmFor == service; };
        return static_cast<uint32_t>(std::count_if(domain.freeHosts.begin(), domain.freeHosts.end(), isWarm));
    }

    // Prefers hosts with this service's weights in memory, then hosts with no weights in memory.
    std::vector<std::string> pickHosts(const PlacementDomain& domain, uint32_t service, uint32_t count)
    {
        std::vector<const FreeHost*> candidates;
        for (const auto& host : domain.freeHosts)
            candidates.push_back(&host);
        auto rank = [&](const FreeHost* host) {
            return host->warmFor == service ? 0 : host->warmFor == noService ? 1 : 2;
        };
        std::stable_sort(candidates.begin(), candidates.end(), [&](auto* a, auto* b) { return rank(a) < rank(b); });
        std::vector<std::string> hosts;
        for (uint32_t i = 0; i < count; ++i)
            hosts.push_back(candidates[i]->host);
        return hosts;
    }

    double downtimeCost(
        const PlacementView& view, const PlacementDomain& domain, uint32_t service, std::span<const uint32_t> byZone)
    {
        const auto& spec = view.services[service];
        double replicas = std::max(1U, spec.wanted);
        double lostWithDomain = (replicaCount(domain, service) + 1) / replicas;
        double lostWithZone = (byZone[domain.zone] + 1) / replicas;
        uint32_t warm = std::min(warmHosts(domain, service), spec.hostsPerReplica);
        double cold = 1.0 - static_cast<double>(warm) / spec.hostsPerReplica;
        bool takesLastSpare = domain.freeHosts.size() == spec.hostsPerReplica;
        return domainLossCost * lostWithDomain + zoneImbalanceCost * lostWithZone + coldLoadCost * cold
            + (takesLastSpare ? lastSpareCost : 0);
    }

    double strandedCost(const PlacementView& view, const PlacementDomain& domain, uint32_t service)
    {
        auto before = static_cast<uint32_t>(domain.freeHosts.size());
        uint32_t after = before - view.services[service].hostsPerReplica;
        double newlyUnusable = static_cast<double>(unusableHosts(view.services, after))
            - static_cast<double>(unusableHosts(view.services, before));
        return strandedHostCost * newlyUnusable + leftoverHostCost * after;
    }

    // The two cheapest domains. The second is needed because a move must go to another domain.
    struct CheapestDomains {
        std::optional<uint32_t> best;
        std::optional<uint32_t> second;

        std::optional<uint32_t> otherThan(uint32_t domain) const { return best == domain ? second : best; }
    };

    CheapestDomains cheapestDomains(const PlacementView& view, uint32_t service)
    {
        const auto& spec = view.services[service];
        auto byZone = replicasByZone(view, service);
        CheapestDomains found;
        double bestCost = std::numeric_limits<double>::infinity();
        double secondCost = bestCost;
        for (uint32_t index = 0; index < view.domains.size(); ++index) {
            const auto& domain = view.domains[index];
            if (domain.freeHosts.size() < spec.hostsPerReplica)
                continue;
            double cost = spec.groupDowntimeWeight * downtimeCost(view, domain, service, byZone)
                + spec.strandedWeight * strandedCost(view, domain, service);
            if (cost < bestCost) {
                secondCost = std::exchange(bestCost, cost);
                found.second = std::exchange(found.best, index);
            } else if (cost < secondCost) {
                secondCost = cost;
                found.second = index;
            }
        }
        return found;
    }

    PlacementChoice choiceIn(const PlacementView& view, uint32_t service, uint32_t domain)
    {
        return { domain, pickHosts(view.domains[domain], service, view.services[service].hostsPerReplica) };
    }

}

uint32_t movesAtOnce(const PlacementService& service, bool recoveriesWait)
{
    constexpr uint32_t maxMovesWhileLoadsWait = 1;
    constexpr uint32_t maxMoves = 4;
    return recoveriesWait && recoveryLoadsFirst(service) ? maxMovesWhileLoadsWait : maxMoves;
}

bool recoveryLoadsFirst(const PlacementService& service)
{
    return service.groupDowntimeWeight > service.strandedWeight;
}

uint32_t unusableHosts(std::span<const PlacementService> services, uint32_t hosts)
{
    std::vector<bool> reachable(hosts + 1, false);
    reachable[0] = true;
    for (uint32_t used = 1; used <= hosts; ++used) {
        for (const auto& service : services) {
            uint32_t size = service.hostsPerReplica;
            if (size > 0 && size <= used && reachable[used - size])
                reachable[used] = true;
        }
    }
    uint32_t best = hosts;
    while (!reachable[best])
        --best;
    return hosts - best;
}

std::optional<PlacementChoice> firstFit(const PlacementView& view, uint32_t service)
{
    uint32_t needed = view.services[service].hostsPerReplica;
    for (uint32_t index = 0; index < view.domains.size(); ++index) {
        const auto& domain = view.domains[index];
        if (domain.freeHosts.size() < needed)
            continue;
        PlacementChoice choice { index, {} };
        for (uint32_t i = 0; i < needed; ++i)
            choice.hosts.push_back(domain.freeHosts[i].host);
        return choice;
    }
    return std::nullopt;
}

std::optional<PlacementChoice> choosePlacement(const PlacementView& view, uint32_t service)
{
    auto ranked = cheapestDomains(view, service);
    if (!ranked.best)
        return std::nullopt;
    return choiceIn(view, service, *ranked.best);
}

// Only replicas smaller than the one that needs room are moved, and only one at a time: the hosts for a second move may
// be taken before the first one completes. The smallest replica is the cheapest to load again.
std::optional<PlacementMove> chooseMove(const PlacementView& view, uint32_t service)
{
    uint32_t needed = view.services[service].hostsPerReplica;
    std::vector<CheapestDomains> targets;
    for (uint32_t other = 0; other < view.services.size(); ++other)
        targets.push_back(
            view.services[other].hostsPerReplica < needed ? cheapestDomains(view, other) : CheapestDomains {});
    std::optional<PlacementMove> best;
    uint32_t bestSize = needed;
    for (uint32_t from = 0; from < view.domains.size(); ++from) {
        const auto& domain = view.domains[from];
        for (const auto& replica : domain.replicas) {
            uint32_t size = view.services[replica.service].hostsPerReplica;
            bool makesRoom = domain.freeHosts.size() < needed && domain.freeHosts.size() + size >= needed;
            auto target = targets[replica.service].otherThan(from);
            if (!makesRoom || size >= bestSize || !target)
                continue;
            best = PlacementMove { replica.service, replica.replica, from, choiceIn(view, replica.service, *target) };
            bestSize = size;
        }
    }
    return best;
}

} // namespace Kumquatpick
