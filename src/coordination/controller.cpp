#include "coordination/controller.h"

#include "coordination/claimhealth.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace Kumquatpick {

namespace {

    // Returns the services in dependency order, so that a service loads and recovers before those that depend on it.
    std::vector<const ServiceConfig*> inDependencyOrder(const OperatorConfig& text)
    {
        std::vector<const ServiceConfig*> order;
        std::set<std::string_view> placed;
        auto place = [&](auto& self, const ServiceConfig& service) -> void {
            if (!placed.insert(service.name).second)
                return;
            for (const std::string& name : service.dependsOn) {
                if (const ServiceConfig* dependency = text.service(name))
                    self(self, *dependency);
            }
            order.push_back(&service);
        };
        for (const ServiceConfig& service : text.services)
            place(place, service);
        return order;
    }

    bool matches(const ClaimProposal& claim, const ServiceConfig& service)
    {
        return claim.model == service.model && claim.modelVersion == service.modelVersion
            && claim.hosts.size() == service.hostsPerReplica;
    }

    // A replica that is being rebuilt in another domain.
    struct RunningMove {
        const Claim* old = nullptr;
        const Claim* successor = nullptr;
    };

    // The claims of one service that can be kept, older ones first. endSurplusReplicas() moves ready ones to the front.
    struct ServiceClaims {
        std::vector<const Claim*> current;
        // The old claims are also in `current`; the successors are not, and do not count as missing replicas.
        std::vector<RunningMove> moves;
        std::vector<const Claim*> outdated; // Claims of another model, model version or number of hosts.
        size_t readyCurrentCount = 0;
        size_t endingCount = 0;
        size_t unplacedCount = 0; // Missing replicas for which this round found no hosts.
    };

    // Derived from the old claim alone: if two controllers move the same replica at the same time, only one claim is
    // accepted under the name.
    std::string successorName(const Claim& old) { return fmt::format("m{}", old.offset); }

    bool contains(const std::vector<const Claim*>& claims, Offset offset)
    {
        return std::any_of(claims.begin(), claims.end(), [&](const Claim* claim) { return claim->offset == offset; });
    }

    // One round of the controller: collects the claims, then decides on the steps in order of urgency.
    class ReconcileRound {
    public:
        ReconcileRound(const ControllerInput& input, const ControllerSettings& settings, const PlacementRules& rules,
            LeaseTenure tenure, bool isDisconnected)
            : m_input(input)
            , m_settings(settings)
            , m_rules(rules)
            , m_tenure(tenure)
            , m_isDisconnected(isDisconnected)
            , m_health(input, settings)
            , m_services(inDependencyOrder(input.config->parsed))
        {
        }

        std::vector<ControllerAction> run()
        {
            collectClaims();
            proposeFreedHosts();
            findFreeDomains();
            finishMoves();
            for (const ServiceConfig* service : m_services) {
                if (service->kind == ServiceKind::Model)
                    scale(*service, m_serviceClaims[service->name]);
            }
            beginMoves();
            orderUnloads();
            orderLoads();
            return std::move(m_actions);
        }

    private:
        void collectClaims();
        void collectHeldClaim(const Claim&);
        void collectOutdatedClaim(const Claim&, ServiceClaims&);
        void proposeFreedHosts();
        void proposeFreedHostsOf(const Claim&);
        void findFreeDomains();
        void scale(const ServiceConfig&, ServiceClaims&);
        void endSurplusReplicas(const ServiceConfig&, ServiceClaims&);
        void endForVersionChange(const ServiceConfig&, ServiceClaims&, size_t missing);
        bool claimReplica(const ServiceConfig&);
        bool proposeClaim(const ServiceConfig&, const Placement&, std::string replica, Offset replaces);
        void finishMoves();
        void finishMove(const RunningMove&, ServiceClaims&);
        void beginMoves();
        void countAvailableHosts();
        void reserveHosts(const ServiceConfig&, size_t& unplacedCount);
        std::vector<const Claim*> movableClaims();
        std::map<std::string, FreeDomain> unreservedDomains() const;
        bool beginMove(const ServiceConfig&);
        bool moveMakesRoom(const ServiceConfig&, const Claim& moved, const Placement& to) const;
        bool isRecovering(const Claim&) const;
        bool anyReplicaRecovering() const;
        bool movesMustWait() const;
        bool isUsable(const ServiceConfig&, const Placement&) const;
        std::string allocateReplicaName(const ServiceConfig&);
        void orderUnloads();
        void orderLoads();
        bool hasStartedLoading(const Claim&) const;
        void orderLoad(const ServiceConfig&, const Claim&);
        bool admitLoads(size_t loads, bool hasStartedLoading);
        bool canOrder(const HostView&, Offset claim, FencingSupport) const;
        void addOrder(HostOrder::Kind, const Claim&, size_t rank, const ServiceConfig*);
        void proposeEnd(const Claim&, std::string_view reason);
        bool propose(ControllerAction);
        FencingSupport fencingOf(const Claim&) const;

        const ControllerInput& m_input;
        const ControllerSettings& m_settings;
        const PlacementRules& m_rules;
        LeaseTenure m_tenure;
        bool m_isDisconnected;
        ClaimHealth m_health;
        std::vector<const ServiceConfig*> m_services;
        std::map<std::string, ServiceClaims, std::less<>> m_serviceClaims;
        // The replica names in use, by service.
        std::map<std::string, std::set<std::string>, std::less<>> m_replicaNames;
        std::set<std::string_view> m_heldHosts;
        std::map<std::string, FreeDomain> m_freeDomains;
        // Number of hosts of each domain that are free or about to become free, and are not reserved.
        std::map<std::string, size_t, std::less<>> m_availableHosts;
        size_t m_runningMoves = 0; // Moves that are running, including those begun in this round.
        std::vector<ClaimProposal> m_proposedClaims;
        std::vector<ControllerAction> m_actions;
        uint32_t m_proposalCount = 0;
        size_t m_loadingHosts = 0; // Hosts that are loading, including those ordered to load in this round.
        bool m_loadsBlocked = false;
    };

    bool ReconcileRound::propose(ControllerAction action)
    {
        if (m_proposalCount >= m_settings.maxProposalsPerRound)
            return false;
        ++m_proposalCount;
        m_actions.push_back(std::move(action));
        return true;
    }

    void ReconcileRound::proposeEnd(const Claim& claim, std::string_view reason)
    {
        propose(ClaimEndProposal { claim.offset, std::string(reason) });
    }

    void ReconcileRound::collectClaims()
    {
        for (const auto& [offset, claim] : m_input.claims) {
            m_heldHosts.insert(claim.hostsHeld.begin(), claim.hostsHeld.end());
            m_replicaNames[claim.proposal.service].insert(claim.proposal.replica);
            if (claim.phase == ClaimPhase::Held)
                collectHeldClaim(claim);
            else
                ++m_serviceClaims[claim.proposal.service].endingCount;
        }
        for (const auto& [name, host] : m_input.hosts)
            m_loadingHosts += host.answering && host.phase == EnginePhase::Loading;
    }

    void ReconcileRound::collectHeldClaim(const Claim& claim)
    {
        const ServiceConfig* service = m_input.config->parsed.service(claim.proposal.service);
        if (!service || service->kind != ServiceKind::Model)
            return proposeEnd(claim, "service_removed");
        if (auto reason = m_health.failureReason(claim); !reason.empty()) {
            if (!m_isDisconnected || reason != "host_missing")
                proposeEnd(claim, reason);
            return;
        }
        ServiceClaims& claims = m_serviceClaims[service->name];
        if (!matches(claim.proposal, *service))
            return collectOutdatedClaim(claim, claims);
        Offset replaces = claim.proposal.replaces;
        auto old = std::find_if(claims.current.begin(), claims.current.end(),
            [&](const Claim* other) { return replaces != 0 && other->offset == replaces; });
        if (old != claims.current.end()) {
            claims.moves.push_back({ *old, &claim });
            return;
        }
        claims.current.push_back(&claim);
        claims.readyCurrentCount += m_health.isReady(claim);
    }

    // A move whose target version is no longer wanted is cancelled. Its old claim keeps serving until the version
    // change replaces it.
    void ReconcileRound::collectOutdatedClaim(const Claim& claim, ServiceClaims& claims)
    {
        Offset replaces = claim.proposal.replaces;
        if (replaces != 0 && (contains(claims.current, replaces) || contains(claims.outdated, replaces)))
            return proposeEnd(claim, "move_outdated");
        claims.outdated.push_back(&claim);
    }

    // If the service is no longer configured, its engines are assumed to ignore fencing numbers, which is the safe
    // assumption.
    FencingSupport ReconcileRound::fencingOf(const Claim& claim) const
    {
        const ServiceConfig* service = m_input.config->parsed.service(claim.proposal.service);
        return service ? service->fencing : FencingSupport::Ignored;
    }

    void ReconcileRound::proposeFreedHosts()
    {
        for (const auto& [offset, claim] : m_input.claims) {
            if (claim.phase == ClaimPhase::Ending)
                proposeFreedHostsOf(claim);
        }
    }

    void ReconcileRound::proposeFreedHostsOf(const Claim& claim)
    {
        auto ended = m_input.endedAt.find(claim.offset);
        HostsFreedProposal dead { claim.offset, {}, FreedReason::HostDead };
        HostsFreedProposal confirmed { claim.offset, {}, FreedReason::EngineConfirmed };
        for (size_t rank = 0; rank < claim.proposal.hosts.size(); ++rank) {
            const std::string& host = claim.proposal.hosts[rank];
            if (!claim.hostsHeld.contains(host))
                continue;
            HostCondition condition = m_health.hostCondition(claim.proposal, rank);
            if (condition == HostCondition::Dead)
                dead.hosts.push_back(host);
            if (condition != HostCondition::Healthy && condition != HostCondition::Leaving)
                continue;
            const HostView& view = *m_health.hostView(claim.proposal, rank);
            bool runsNothing = view.phase == EnginePhase::Idle || view.claim != claim.offset;
            bool probedSinceEnd = ended != m_input.endedAt.end() && view.statusAt >= ended->second;
            // No claim has offset 0, so orders of any claim that this node sent, including this one, count as possibly
            // still in flight.
            if (runsNothing && probedSinceEnd && m_health.isStatusFinal(view, 0, fencingOf(claim), m_tenure))
                confirmed.hosts.push_back(host);
        }
        if (!dead.hosts.empty())
            propose(std::move(dead));
        if (!confirmed.hosts.empty())
            propose(std::move(confirmed));
    }

    void ReconcileRound::findFreeDomains()
    {
        std::map<std::string, std::vector<std::string>> busyHosts;
        for (const auto& [name, host] : m_input.hosts) {
            bool answers = host.hasRecentStatus(m_input.now, m_settings.statusLifetime);
            bool isSteady = answers && m_input.now - host.answeringSince >= m_settings.minAnsweringTime;
            bool listedIncarnationRuns = host.listed && host.listedIncarnation == host.incarnation;
            bool isModelHost = host.service.empty() && !host.domain.empty();
            if (!answers || !host.listed || !isModelHost || host.isLeaving() || m_heldHosts.contains(name))
                continue;
            if (!isSteady || !listedIncarnationRuns) {
                ++m_availableHosts[host.domain];
                continue;
            }
            FreeDomain& domain = m_freeDomains[host.domain];
            domain.zone = host.zone;
            auto& hosts = host.phase == EnginePhase::Idle ? domain.hosts : busyHosts[host.domain];
            hosts.push_back(name);
        }
        for (auto& [domain, hosts] : busyHosts)
            std::move(hosts.begin(), hosts.end(), std::back_inserter(m_freeDomains[domain].hosts));
    }

    // New replicas are placed on free hosts while outdated ones keep running; the outdated ones end as their successors
    // become ready. Only if no hosts are free are outdated replicas ended first, a few at a time.
    void ReconcileRound::scale(const ServiceConfig& service, ServiceClaims& claims)
    {
        endSurplusReplicas(service, claims);
        size_t missing = service.replicas - std::min<size_t>(service.replicas, claims.current.size());
        while (missing > 0 && claimReplica(service))
            --missing;
        if (missing == 0)
            return;
        endForVersionChange(service, claims, missing);
        if (claims.outdated.empty())
            claims.unplacedCount = missing;
    }

    void ReconcileRound::endSurplusReplicas(const ServiceConfig& service, ServiceClaims& claims)
    {
        auto readyFirst = [&](const Claim* claim) { return m_health.isReady(*claim); };
        std::stable_partition(claims.outdated.begin(), claims.outdated.end(), readyFirst);
        size_t keptOutdated = service.replicas - std::min<size_t>(service.replicas, claims.readyCurrentCount);
        for (size_t i = keptOutdated; i < claims.outdated.size(); ++i) {
            proposeEnd(*claims.outdated[i], "replaced");
            ++claims.endingCount;
        }
        claims.outdated.resize(std::min(claims.outdated.size(), keptOutdated));
        if (claims.current.size() <= service.replicas)
            return;
        std::stable_partition(claims.current.begin(), claims.current.end(), readyFirst);
        for (size_t i = service.replicas; i < claims.current.size(); ++i)
            proposeEnd(*claims.current[i], "scale_down");
        claims.current.resize(service.replicas);
        auto kept = std::stable_partition(claims.moves.begin(), claims.moves.end(),
            [&](const RunningMove& move) { return contains(claims.current, move.old->offset); });
        for (auto move = kept; move != claims.moves.end(); ++move)
            proposeEnd(*move->successor, "scale_down");
        claims.moves.erase(kept, claims.moves.end());
    }

    void ReconcileRound::endForVersionChange(const ServiceConfig& service, ServiceClaims& claims, size_t missing)
    {
        auto maxUnavailable
            = std::max<size_t>(1, static_cast<size_t>(service.replicas * m_settings.rollingUpdateShare));
        size_t unavailable = claims.endingCount + claims.current.size() - claims.readyCurrentCount;
        size_t allowedEnds = maxUnavailable - std::min(maxUnavailable, unavailable);
        size_t ends = std::min({ allowedEnds, missing, claims.outdated.size() });
        for (size_t i = 0; i < ends; ++i)
            proposeEnd(*claims.outdated[claims.outdated.size() - 1 - i], "version_change");
    }

    // Checks the result of the placer: the hosts of a replica must be distinct, free, and in one domain.
    bool ReconcileRound::isUsable(const ServiceConfig& service, const Placement& placement) const
    {
        auto domain = m_freeDomains.find(placement.domain);
        std::set<std::string_view> distinct(placement.hosts.begin(), placement.hosts.end());
        if (domain == m_freeDomains.end() || distinct.size() != service.hostsPerReplica
            || placement.hosts.size() != distinct.size())
            return false;
        const auto& freeHosts = domain->second.hosts;
        return std::all_of(placement.hosts.begin(), placement.hosts.end(), [&](const std::string& host) {
            return std::find(freeHosts.begin(), freeHosts.end(), host) != freeHosts.end();
        });
    }

    std::string ReconcileRound::allocateReplicaName(const ServiceConfig& service)
    {
        auto& names = m_replicaNames[service.name];
        for (size_t number = 0;; ++number) {
            auto inserted = names.insert(fmt::format("r{}", number));
            if (inserted.second)
                return *inserted.first;
        }
    }

    bool ReconcileRound::claimReplica(const ServiceConfig& service)
    {
        if (m_proposalCount >= m_settings.maxProposalsPerRound)
            return false;
        auto placement
            = m_rules.place({ service, m_input.config->parsed, m_input.claims, m_proposedClaims, m_freeDomains });
        if (!placement || !isUsable(service, *placement))
            return false;
        return proposeClaim(service, *placement, allocateReplicaName(service), 0);
    }

    bool ReconcileRound::proposeClaim(
        const ServiceConfig& service, const Placement& placement, std::string replica, Offset replaces)
    {
        FreeDomain& domain = m_freeDomains[placement.domain];
        ClaimProposal claim { service.name, std::move(replica), domain.zone, placement.domain, placement.hosts, {},
            service.model, service.modelVersion, replaces };
        for (const std::string& host : claim.hosts) {
            claim.incarnations.push_back(m_input.hosts.find(host)->second.incarnation);
            std::erase(domain.hosts, host);
        }
        m_proposedClaims.push_back(claim);
        return propose(std::move(claim));
    }

    // Ends the old claim of a move only after its successor is ready to serve.
    void ReconcileRound::finishMoves()
    {
        for (auto& [name, claims] : m_serviceClaims) {
            auto done = std::stable_partition(claims.moves.begin(), claims.moves.end(),
                [&](const RunningMove& move) { return !m_health.isReady(*move.successor); });
            for (auto move = done; move != claims.moves.end(); ++move)
                finishMove(*move, claims);
            claims.moves.erase(done, claims.moves.end());
        }
    }

    void ReconcileRound::finishMove(const RunningMove& move, ServiceClaims& claims)
    {
        proposeEnd(*move.old, "moved");
        ++claims.endingCount;
        std::replace(claims.current.begin(), claims.current.end(), move.old, move.successor);
    }

    // Runs after all other placement, when the services without room and the remaining free hosts are known. A node
    // that seems disconnected begins no moves, as its view of the hosts is unreliable.
    void ReconcileRound::beginMoves()
    {
        if (m_isDisconnected)
            return;
        countAvailableHosts();
        for (const auto& [name, claims] : m_serviceClaims)
            m_runningMoves += claims.moves.size();
        for (const ServiceConfig* service : m_services)
            reserveHosts(*service, m_serviceClaims[service->name].unplacedCount);
        bool waiting = anyReplicaRecovering();
        for (const ServiceConfig* service : m_services) {
            size_t& unplacedCount = m_serviceClaims[service->name].unplacedCount;
            while (unplacedCount > 0 && m_runningMoves < m_rules.movesAtOnce(*service, waiting) && beginMove(*service))
                --unplacedCount;
        }
    }

    // Hosts that are draining, that returned recently, or that running moves will release count as room. Otherwise each
    // round would begin another move until the hosts released by the first one are free.
    void ReconcileRound::countAvailableHosts()
    {
        auto addHosts = [&](const Claim& claim) {
            for (size_t rank = 0; rank < claim.proposal.hosts.size(); ++rank)
                m_availableHosts[claim.proposal.domain] += claim.hostsHeld.contains(claim.proposal.hosts[rank])
                    && m_health.hostCondition(claim.proposal, rank) == HostCondition::Healthy;
        };
        for (const auto& [offset, claim] : m_input.claims) {
            if (claim.phase == ClaimPhase::Ending)
                addHosts(claim);
        }
        for (const auto& [name, claims] : m_serviceClaims) {
            for (const RunningMove& move : claims.moves)
                addHosts(*move.old);
        }
        for (const auto& [name, domain] : m_freeDomains)
            m_availableHosts[name] += domain.hosts.size();
    }

    void ReconcileRound::reserveHosts(const ServiceConfig& service, size_t& unplacedCount)
    {
        for (auto& [domain, hosts] : m_availableHosts) {
            for (; unplacedCount > 0 && hosts >= service.hostsPerReplica; --unplacedCount)
                hosts -= service.hostsPerReplica;
        }
    }

    // Returns the claims that may be moved. A replica that is not ready would not benefit from a move. A replica whose
    // last move failed must wait until the hosts of that move are free again.
    std::vector<const Claim*> ReconcileRound::movableClaims()
    {
        std::vector<const Claim*> found;
        for (const auto& [name, claims] : m_serviceClaims) {
            const auto& names = m_replicaNames[name];
            for (const Claim* claim : claims.current) {
                if (m_health.isReady(*claim) && !names.contains(successorName(*claim)))
                    found.push_back(claim);
            }
        }
        return found;
    }

    std::map<std::string, FreeDomain> ReconcileRound::unreservedDomains() const
    {
        auto domains = m_freeDomains;
        for (auto& [name, domain] : domains)
            domain.hosts.resize(std::min(domain.hosts.size(), m_availableHosts.find(name)->second));
        return domains;
    }

    bool ReconcileRound::beginMove(const ServiceConfig& service)
    {
        if (m_proposalCount >= m_settings.maxProposalsPerRound)
            return false;
        auto candidates = movableClaims();
        auto spare = unreservedDomains();
        auto move = m_rules.move(
            { { service, m_input.config->parsed, m_input.claims, m_proposedClaims, spare }, candidates });
        if (!move || !contains(candidates, move->claim))
            return false;
        const Claim& old = m_input.claims.at(move->claim);
        const ServiceConfig& moved = *m_input.config->parsed.service(old.proposal.service);
        if (!isUsable(moved, move->to) || !moveMakesRoom(service, old, move->to))
            return false;
        std::string name = successorName(old);
        m_replicaNames[moved.name].insert(name);
        m_availableHosts[move->to.domain] -= moved.hostsPerReplica;
        m_availableHosts[old.proposal.domain] += moved.hostsPerReplica;
        m_availableHosts[old.proposal.domain] -= service.hostsPerReplica;
        ++m_runningMoves;
        return proposeClaim(moved, move->to, name, old.offset);
    }

    // Checks the result of the mover: the replica must leave the domain that needs room, and must not take reserved
    // hosts. Therefore only a replica smaller than the one to be placed can move, and two replicas can't displace each
    // other in turn: if any domain had room for a replica of the wanted size, that room would have been reserved for
    // the service itself.
    bool ReconcileRound::moveMakesRoom(const ServiceConfig& service, const Claim& moved, const Placement& to) const
    {
        size_t size = moved.proposal.hosts.size();
        auto from = m_availableHosts.find(moved.proposal.domain);
        size_t availableHosts = from == m_availableHosts.end() ? 0 : from->second;
        return to.domain != moved.proposal.domain && m_availableHosts.find(to.domain)->second >= size
            && availableHosts + size >= service.hostsPerReplica;
    }

    // True if the replica is down and its hosts are loading or about to load. A replica that lacks a host loads
    // nothing.
    bool ReconcileRound::isRecovering(const Claim& claim) const
    {
        return m_health.allHostsHealthy(claim) && !m_health.isReady(claim);
    }

    bool ReconcileRound::anyReplicaRecovering() const
    {
        return std::any_of(m_serviceClaims.begin(), m_serviceClaims.end(), [&](const auto& entry) {
            const auto& current = entry.second.current;
            return std::any_of(
                current.begin(), current.end(), [&](const Claim* claim) { return isRecovering(*claim); });
        });
    }

    // Whether moves wait is decided by the service of the replica that is down.
    bool ReconcileRound::movesMustWait() const
    {
        return std::any_of(m_services.begin(), m_services.end(), [&](const ServiceConfig* service) {
            auto claims = m_serviceClaims.find(service->name);
            if (claims == m_serviceClaims.end() || !m_rules.recoveryLoadsFirst(*service))
                return false;
            const auto& current = claims->second.current;
            return std::any_of(
                current.begin(), current.end(), [&](const Claim* claim) { return isRecovering(*claim); });
        });
    }

    // An engine that ignores fencing numbers gets an order only if the order must arrive within the lease tenure of
    // this node.
    bool ReconcileRound::canOrder(const HostView& host, Offset claim, FencingSupport fencing) const
    {
        if (fencing == FencingSupport::Checked)
            return true;
        return m_input.now + m_settings.maxOrderDelay <= m_tenure.until
            && m_health.isStatusFinal(host, claim, fencing, m_tenure);
    }

    void ReconcileRound::addOrder(HostOrder::Kind kind, const Claim& claim, size_t rank, const ServiceConfig* service)
    {
        const ClaimProposal& proposal = claim.proposal;
        m_actions.push_back(HostOrder { kind, proposal.hosts[rank], claim.offset, proposal.service, proposal.replica,
            proposal.model, proposal.modelVersion, static_cast<uint32_t>(rank), proposal.hosts,
            service ? service->weightsBytes : 0, m_tenure.until - m_settings.maxOrderDelay });
    }

    void ReconcileRound::orderUnloads()
    {
        for (const auto& [offset, claim] : m_input.claims) {
            if (claim.phase != ClaimPhase::Ending || !m_health.isDrained(claim))
                continue;
            for (size_t rank = 0; rank < claim.proposal.hosts.size(); ++rank) {
                HostCondition condition = m_health.hostCondition(claim.proposal, rank);
                if (condition != HostCondition::Healthy && condition != HostCondition::Leaving)
                    continue;
                const HostView& view = *m_health.hostView(claim.proposal, rank);
                bool runsClaim = view.claim == offset && view.phase != EnginePhase::Idle;
                if (runsClaim && canOrder(view, offset, fencingOf(claim)))
                    addOrder(HostOrder::Kind::Unload, claim, rank, nullptr);
            }
        }
    }

    bool ReconcileRound::hasStartedLoading(const Claim& claim) const
    {
        for (size_t rank = 0; rank < claim.proposal.hosts.size(); ++rank) {
            const HostView* view = m_health.hostView(claim.proposal, rank);
            if (view && view->answering && view->claim == claim.offset && view->phase != EnginePhase::Idle)
                return true;
        }
        return false;
    }

    void ReconcileRound::orderLoads()
    {
        for (const ServiceConfig* service : m_services) {
            for (const Claim* claim : m_serviceClaims[service->name].current)
                orderLoad(*service, *claim);
        }
        if (movesMustWait())
            return;
        for (const ServiceConfig* service : m_services) {
            for (const RunningMove& move : m_serviceClaims[service->name].moves)
                orderLoad(*service, *move.successor);
        }
    }

    void ReconcileRound::orderLoad(const ServiceConfig& service, const Claim& claim)
    {
        if (!m_health.allHostsHealthy(claim))
            return;
        std::vector<size_t> loads;
        for (size_t rank = 0; rank < claim.proposal.hosts.size(); ++rank) {
            const HostView& view = *m_health.hostView(claim.proposal, rank);
            if (view.claim > claim.offset)
                return; // This node has not yet read the newer claim.
            if (view.claim == claim.offset && view.phase != EnginePhase::Idle)
                continue;
            if (!canOrder(view, claim.offset, service.fencing))
                return;
            if (service.fencing == FencingSupport::Ignored && view.phase != EnginePhase::Idle)
                addOrder(HostOrder::Kind::Unload, claim, rank, &service);
            else
                loads.push_back(rank);
        }
        if (loads.empty() || !admitLoads(loads.size(), hasStartedLoading(claim)))
            return;
        for (size_t rank : loads)
            addOrder(HostOrder::Kind::Load, claim, rank, &service);
    }

    // A replica whose load has started is completed regardless of the limit, as a partly loaded replica can't serve.
    // The first replica that exceeds the limit blocks all after it; otherwise small replicas could delay a large one
    // that they depend on indefinitely.
    bool ReconcileRound::admitLoads(size_t loads, bool hasStartedLoading)
    {
        bool fits = m_loadingHosts == 0 || m_loadingHosts + loads <= m_settings.maxLoadingHosts;
        m_loadsBlocked = m_loadsBlocked || (!hasStartedLoading && !fits);
        if (m_loadsBlocked && !hasStartedLoading)
            return false;
        m_loadingHosts += loads;
        return true;
    }

    // If most hosts do not answer this node, it is more likely that the node is disconnected than that all of them
    // failed. A node without a list can't judge any host.
    bool seemsDisconnected(const ControllerInput& input, const ControllerSettings& settings)
    {
        size_t listed = 0;
        size_t silent = 0;
        for (const auto& [name, host] : input.hosts) {
            listed += host.listed;
            silent += host.listed && !host.hasRecentStatus(input.now, settings.statusLifetime);
        }
        return listed == 0 || silent * 2 > listed;
    }

}

std::vector<ControllerAction> reconcile(
    const ControllerInput& input, const ControllerSettings& settings, const Placer& placer)
{
    return reconcile(input, settings, PlacementRules { placer });
}

std::vector<ControllerAction> reconcile(
    const ControllerInput& input, const ControllerSettings& settings, const PlacementRules& rules)
{
    std::vector<ControllerAction> actions;
    bool isDisconnected = seemsDisconnected(input, settings);
    // A node that seems disconnected lets its lease expire, and takes a free lease only after other nodes had time to
    // do so.
    if (input.lease.isProposalDue(isDisconnected ? input.now - settings.disconnectedLeaseDelay : input.now))
        actions.emplace_back(input.lease.proposal());
    auto tenure = input.lease.currentTenure(input.now);
    // Without a configuration no claim can be judged unwanted, and without a list no host can be judged dead.
    bool hasList
        = std::any_of(input.hosts.begin(), input.hosts.end(), [](const auto& entry) { return entry.second.listed; });
    if (!tenure || !input.config || !hasList)
        return actions;
    auto steps = ReconcileRound(input, settings, rules, *tenure, isDisconnected).run();
    std::move(steps.begin(), steps.end(), std::back_inserter(actions));
    return actions;
}

} // namespace Kumquatpick
