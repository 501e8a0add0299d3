#include "daemon/weighedplacer.h"

#include "policy/placement.h"

#include <algorithm>
#include <map>

namespace Kumquatpick {

namespace {

    // Plain services take no hosts from the domains, so no block of free hosts is kept for them.
    PlacementService placementService(const ServiceConfig& service)
    {
        uint32_t hosts = service.kind == ServiceKind::Model ? service.hostsPerReplica : 0;
        return { hosts, service.replicas, 0, service.groupDowntimeWeight, service.strandedWeight };
    }

    // Names on the controller's side, positions on the policy's.
    class ViewBuilder {
    public:
        explicit ViewBuilder(const PlacementQuestion& question)
        {
            for (const auto& service : question.text.services)
                addService(service);
            for (const auto& [name, domain] : question.freeDomains)
                addDomain(name, domain);
            m_view.zones = static_cast<uint32_t>(m_zones.size());
        }

        void addEveryReplica(const PlacementQuestion& question)
        {
            for (const auto& [offset, claim] : question.claims)
                addReplica(claim.proposal);
            for (const auto& proposal : question.proposed)
                addReplica(proposal);
        }

        void addReplica(const ClaimProposal& proposal)
        {
            auto service = m_services.find(proposal.service);
            auto domain = m_domains.find(proposal.domain);
            if (service == m_services.end() || domain == m_domains.end())
                return;
            ++m_view.services[service->second].placed;
            m_view.domains[domain->second].replicas.push_back({ service->second, proposal.replica });
        }

        const PlacementView& view() const { return m_view; }
        uint32_t service(const std::string& name) const { return m_services.at(name); }

    private:
        void addService(const ServiceConfig& service)
        {
            m_services.emplace(service.name, static_cast<uint32_t>(m_view.services.size()));
            m_view.services.push_back(placementService(service));
        }

        void addDomain(const std::string& name, const FreeDomain& domain)
        {
            m_domains.emplace(name, static_cast<uint32_t>(m_view.domains.size()));
            auto zone = m_zones.emplace(domain.zone, static_cast<uint32_t>(m_zones.size())).first->second;
            PlacementDomain added { name, zone, {}, {} };
            for (const auto& host : domain.hosts)
                added.freeHosts.push_back({ host, noService });
            m_view.domains.push_back(std::move(added));
        }

        PlacementView m_view;
        std::map<std::string, uint32_t> m_services;
        std::map<std::string, uint32_t> m_domains;
        std::map<std::string, uint32_t> m_zones;
    };

    std::optional<Placement> place(const PlacementQuestion& question)
    {
        ViewBuilder builder(question);
        builder.addEveryReplica(question);
        auto choice = choosePlacement(builder.view(), builder.service(question.service.name));
        if (!choice)
            return std::nullopt;
        return Placement { builder.view().domains[choice->domain].domain, std::move(choice->hosts) };
    }

    // The policy may pick any replica it sees, so it sees those that can be moved and no others. The spread over
    // domains and zones is weighed without the rest, which matters little for a replica that has to move.
    std::optional<ReplicaMove> move(const MoveQuestion& question)
    {
        ViewBuilder builder(question.wanted);
        for (const Claim* claim : question.movable)
            builder.addReplica(claim->proposal);
        const PlacementView& view = builder.view();
        auto choice = chooseMove(view, builder.service(question.wanted.service.name));
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

    size_t movesBound(const ServiceConfig& service, bool recoveriesWait)
    {
        return movesAtOnce(placementService(service), recoveriesWait);
    }

    bool loadsFirst(const ServiceConfig& service) { return recoveryLoadsFirst(placementService(service)); }

}

const PlacementRules placeWeighed { place, move, movesBound, loadsFirst };

} // namespace Kumquatpick
