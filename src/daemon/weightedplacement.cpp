#include "daemon/weightedplacement.h"

#include "policy/placement.h"

#include <algorithm>
#include <map>

namespace Kumquatpick {

namespace {

    // Plain services use no hosts of the fault domains, so the policy reserves no block of free hosts for them.
    PlacementService placementService(const ServiceConfig& service)
    {
        uint32_t hosts = service.kind == ServiceKind::Model ? service.hostsPerReplica : 0;
        return { hosts, service.replicas, 0, service.groupDowntimeWeight, service.strandedWeight };
    }

    // Builds the policy's view, which refers to services, domains and zones by index, from the controller's input,
    // which refers to them by name.
    class ViewBuilder {
    public:
        explicit ViewBuilder(const PlacementRequest& question)
        {
            for (const auto& service : question.text.services)
                addService(service);
            for (const auto& [name, domain] : question.freeDomains)
                addDomain(name, domain);
            m_view.zones = static_cast<uint32_t>(m_zoneIndices.size());
        }

        void addEveryReplica(const PlacementRequest& question)
        {
            for (const auto& [offset, claim] : question.claims)
                addReplica(claim.proposal);
            for (const auto& proposal : question.proposed)
                addReplica(proposal);
        }

        void addReplica(const ClaimProposal& proposal)
        {
            auto service = m_serviceIndices.find(proposal.service);
            auto domain = m_domainIndices.find(proposal.domain);
            if (service == m_serviceIndices.end() || domain == m_domainIndices.end())
                return;
            ++m_view.services[service->second].placed;
            m_view.domains[domain->second].replicas.push_back({ service->second, proposal.replica });
        }

        const PlacementView& view() const { return m_view; }
        uint32_t serviceIndex(const std::string& name) const { return m_serviceIndices.at(name); }

    private:
        void addService(const ServiceConfig& service)
        {
            m_serviceIndices.emplace(service.name, static_cast<uint32_t>(m_view.services.size()));
            m_view.services.push_back(placementService(service));
        }

        void addDomain(const std::string& name, const FreeDomain& domain)
        {
            m_domainIndices.emplace(name, static_cast<uint32_t>(m_view.domains.size()));
            auto zone = m_zoneIndices.emplace(domain.zone, static_cast<uint32_t>(m_zoneIndices.size())).first->second;
            PlacementDomain added { name, zone, {}, {} };
            for (const auto& host : domain.hosts)
                added.freeHosts.push_back({ host, noService });
            m_view.domains.push_back(std::move(added));
        }

        PlacementView m_view;
        std::map<std::string, uint32_t> m_serviceIndices;
        std::map<std::string, uint32_t> m_domainIndices;
        std::map<std::string, uint32_t> m_zoneIndices;
    };

    std::optional<Placement> place(const PlacementRequest& question)
    {
        ViewBuilder builder(question);
        builder.addEveryReplica(question);
        auto choice = choosePlacement(builder.view(), builder.serviceIndex(question.service.name));
        if (!choice)
            return std::nullopt;
        return Placement { builder.view().domains[choice->domain].domain, std::move(choice->hosts) };
    }

    // The policy may choose any replica in its view, so the view contains only the movable ones. The spread over
    // domains and zones is therefore computed without the other replicas, which matters little for a replica that must
    // move.
    std::optional<ReplicaMove> move(const MoveRequest& question)
    {
        ViewBuilder builder(question.wanted);
        for (const Claim* claim : question.movable)
            builder.addReplica(claim->proposal);
        const PlacementView& view = builder.view();
        auto choice = chooseMove(view, builder.serviceIndex(question.wanted.service.name));
        if (!choice)
            return std::nullopt;
        const std::string& service = question.wanted.text.services[choice->service].name;
        auto moved = std::find_if(question.movable.begin(), question.movable.end(), [&](const Claim* claim) {
            return claim->proposal.service == service && claim->proposal.replica == choice->replica;
        });
        if (moved == question.movable.end())
            return std::nullopt;
        return ReplicaMove { (*moved)->offset,
            { view.domains[choice->to.domain].domain, std::move(choice->to.hosts) } };
    }

    size_t maxConcurrentMoves(const ServiceConfig& service, bool recoveriesWait)
    {
        return movesAtOnce(placementService(service), recoveriesWait);
    }

    bool prioritizesRecoveryLoads(const ServiceConfig& service)
    {
        return recoveryLoadsFirst(placementService(service));
    }

}

const PlacementRules weightedPlacement { place, move, maxConcurrentMoves, prioritizesRecoveryLoads };

} // namespace Kumquatpick
