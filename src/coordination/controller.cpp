#include "coordination/controller.h"

#include "coordination/claimhealth.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace Kumquatpick {

namespace {

    // The services with each one after those it depends on: what others need loads and recovers first.
    std::vector<const ServiceConfig*> dependenciesFirst(const OperatorConfig& text)
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

    // A replica that is being built a second time in another domain.
    struct Move {
        const Claim* old = nullptr;
        const Claim* successor = nullptr;
    };

    // The claims of one service that can be kept, ready ones first and older ones before newer.
    struct ServiceClaims {
        std::vector<const Claim*> current;
        std::vector<Move> moves; // Their old claims are current, their successors neither current nor missing.
        std::vector<const Claim*> outdated; // Of another model, version or size.
        size_t readyCurrent = 0;
        size_t ending = 0;
        size_t unplaced = 0; // Replicas that fit nowhere in this round.
    };

    // Follows from the old claim alone: of two controllers that move the same replica at once only one gets the name.
    std::string successorName(const Claim& old) { return fmt::format("m{}", old.offset); }

    bool contains(const std::vector<const Claim*>& claims, Offset offset)
    {
        return std::any_of(claims.begin(), claims.end(), [&](const Claim* claim) { return claim->offset == offset; });
    }

    // One round of the controller: gathers the claims, then takes the steps in order of urgency.
    class Round {
    public:
        Round(const ControllerInput& input, const ControllerSettings& settings, const PlacementRules& rules,
            LeaseTenure tenure, bool cutOff)
            : m_input(input)
            , m_settings(settings)
            , m_rules(rules)
            , m_tenure(tenure)
            , m_cutOff(cutOff)
            , m_health(input, settings)
            , m_services(dependenciesFirst(input.config->parsed))
        {
        }

        std::vector<ControllerAction> run()
        {
            gather();
            freeHosts();
            findFreeDomains();
            finishMoves();
            for (const ServiceConfig* service : m_services) {
                if (service->kind == ServiceKind::Model)
                    scale(*service, m_claims[service->name]);
            }
            beginMoves();
            unloadEnding();
            loadHeld();
            return std::move(m_actions);
        }

    private:
        void gather();
        void gatherHeld(const Claim&);
        void gatherOutdated(const Claim&, ServiceClaims&);
        void freeHosts();
        void freeHostsOf(const Claim&);
        void findFreeDomains();
        void scale(const ServiceConfig&, ServiceClaims&);
        void endSurplus(const ServiceConfig&, ServiceClaims&);
        void makeRoom(const ServiceConfig&, ServiceClaims&, size_t missing);
        bool claimOne(const ServiceConfig&);
        bool claim(const ServiceConfig&, const Placement&, std::string replica, Offset replaces);
        void finishMoves();
        void finish(const Move&, ServiceClaims&);
        void beginMoves();
        void countRoom();
        void reserveRoom(const ServiceConfig&, size_t& unplaced);
        std::vector<const Claim*> movable();
        std::map<std::string, FreeDomain> spareDomains() const;
        bool beginMove(const ServiceConfig&);
        bool makesRoom(const ServiceConfig&, const Claim& moved, const Placement& to) const;
        bool recovers(const Claim&) const;
        bool recoveriesWait() const;
        bool movesYield() const;
        bool usable(const ServiceConfig&, const Placement&) const;
        std::string freeReplicaName(const ServiceConfig&);
        void unloadEnding();
        void loadHeld();
        bool started(const Claim&) const;
        void load(const ServiceConfig&, const Claim&);
        bool takeLoads(size_t loads, bool started);
        bool mayOrder(const HostView&, Offset claim, FencingSupport) const;
        void order(HostOrder::Kind, const Claim&, size_t rank, const ServiceConfig*);
        void end(const Claim&, std::string_view reason);
        bool propose(ControllerAction);
        FencingSupport fencingOf(const Claim&) const;

        const ControllerInput& m_input;
        const ControllerSettings& m_settings;
        const PlacementRules& m_rules;
        LeaseTenure m_tenure;
        bool m_cutOff;
        ClaimHealth m_health;
        std::vector<const ServiceConfig*> m_services;
        std::map<std::string, ServiceClaims, std::less<>> m_claims;
        std::map<std::string, std::set<std::string>, std::less<>> m_replicaNames; // By service.
        std::set<std::string_view> m_heldHosts;
        std::map<std::string, FreeDomain> m_freeDomains;
        std::map<std::string, size_t, std::less<>> m_room; // Hosts of a domain that are free or will be, not promised.
        size_t m_moves = 0; // Running, and begun in this round.
        std::vector<ClaimProposal> m_proposed;
        std::vector<ControllerAction> m_actions;
        uint32_t m_proposals = 0;
        size_t m_loading = 0; // Hosts that load, or are told to in this round.
        bool m_loadsBlocked = false;
    };

    bool Round::propose(ControllerAction action)
    {
        if (m_proposals >= m_settings.proposalsPerRound)
            return false;
        ++m_proposals;
        m_actions.push_back(std::move(action));
        return true;
    }

    void Round::end(const Claim& claim, std::string_view reason)
    {
        propose(ClaimEndProposal { claim.offset, std::string(reason) });
    }

    void Round::gather()
    {
        for (const auto& [offset, claim] : m_input.claims) {
            m_heldHosts.insert(claim.hostsHeld.begin(), claim.hostsHeld.end());
            m_replicaNames[claim.proposal.service].insert(claim.proposal.replica);
            if (claim.phase == ClaimPhase::Held)
                gatherHeld(claim);
            else
                ++m_claims[claim.proposal.service].ending;
        }
        for (const auto& [name, host] : m_input.hosts)
            m_loading += host.answering && host.phase == EnginePhase::Loading;
    }

    void Round::gatherHeld(const Claim& claim)
    {
        const ServiceConfig* service = m_input.config->parsed.service(claim.proposal.service);
        if (!service || service->kind != ServiceKind::Model)
            return end(claim, "service_removed");
        if (auto reason = m_health.broken(claim); !reason.empty()) {
            if (!m_cutOff || reason != "host_missing")
                end(claim, reason);
            return;
        }
        ServiceClaims& claims = m_claims[service->name];
        if (!matches(claim.proposal, *service))
            return gatherOutdated(claim, claims);
        Offset replaces = claim.proposal.replaces;
        auto old = std::find_if(claims.current.begin(), claims.current.end(),
            [&](const Claim* other) { return replaces != 0 && other->offset == replaces; });
        if (old != claims.current.end()) {
            claims.moves.push_back({ *old, &claim });
            return;
        }
        claims.current.push_back(&claim);
        claims.readyCurrent += m_health.ready(claim);
    }

    // A move to a version that nobody wants any more is given up: its old claim is all that the replica needs until
    // its turn comes.
    void Round::gatherOutdated(const Claim& claim, ServiceClaims& claims)
    {
        Offset replaces = claim.proposal.replaces;
        if (replaces != 0 && (contains(claims.current, replaces) || contains(claims.outdated, replaces)))
            return end(claim, "move_outdated");
        claims.outdated.push_back(&claim);
    }

    // The engines of a service that the text no longer names are held to be of the unsafe kind.
    FencingSupport Round::fencingOf(const Claim& claim) const
    {
        const ServiceConfig* service = m_input.config->parsed.service(claim.proposal.service);
        return service ? service->fencing : FencingSupport::Ignored;
    }

    void Round::freeHosts()
    {
        for (const auto& [offset, claim] : m_input.claims) {
            if (claim.phase == ClaimPhase::Ending)
                freeHostsOf(claim);
        }
    }

    void Round::freeHostsOf(const Claim& claim)
    {
        auto ended = m_input.endedAt.find(claim.offset);
        HostsFreedProposal dead { claim.offset, {}, FreedBecause::HostDead };
        HostsFreedProposal confirmed { claim.offset, {}, FreedBecause::EngineConfirmed };
        for (size_t rank = 0; rank < claim.proposal.hosts.size(); ++rank) {
            const std::string& host = claim.proposal.hosts[rank];
            if (!claim.hostsHeld.contains(host))
                continue;
            HostHealth health = m_health.host(claim.proposal, rank);
            if (health == HostHealth::Gone)
                dead.hosts.push_back(host);
            if (health != HostHealth::Present && health != HostHealth::Leaving)
                continue;
            const HostView& view = *m_health.view(claim.proposal, rank);
            bool runsNothing = view.phase == EnginePhase::Idle || view.claim != claim.offset;
            bool askedSince = ended != m_input.endedAt.end() && view.statusAt >= ended->second;
            // 0 is no claim's offset: every order of this node may still arrive, those of this claim too.
            if (runsNothing && askedSince && m_health.settled(view, 0, fencingOf(claim), m_tenure))
                confirmed.hosts.push_back(host);
        }
        if (!dead.hosts.empty())
            propose(std::move(dead));
        if (!confirmed.hosts.empty())
            propose(std::move(confirmed));
    }

    void Round::findFreeDomains()
    {
        std::map<std::string, std::vector<std::string>> busy;
        for (const auto& [name, host] : m_input.hosts) {
            bool answers = host.answersNow(m_input.now, m_settings.statusLifetime);
            bool steady = answers && m_input.now - host.answeringSince >= m_settings.steadyFor;
            bool sameLife = host.listed && host.listedIncarnation == host.incarnation;
            bool ofModels = host.service.empty() && !host.domain.empty();
            if (!answers || !host.listed || !ofModels || host.isLeaving() || m_heldHosts.contains(name))
                continue;
            if (!steady || !sameLife) {
                ++m_room[host.domain];
                continue;
            }
            FreeDomain& domain = m_freeDomains[host.domain];
            domain.zone = host.zone;
            auto& hosts = host.phase == EnginePhase::Idle ? domain.hosts : busy[host.domain];
            hosts.push_back(name);
        }
        for (auto& [domain, hosts] : busy)
            std::move(hosts.begin(), hosts.end(), std::back_inserter(m_freeDomains[domain].hosts));
    }

    // New replicas go onto free hosts beside outdated ones, which end as their successors become ready. Only
    // when no host is free are outdated ones ended first, a few at a time.
    void Round::scale(const ServiceConfig& service, ServiceClaims& claims)
    {
        endSurplus(service, claims);
        size_t missing = service.replicas - std::min<size_t>(service.replicas, claims.current.size());
        while (missing > 0 && claimOne(service))
            --missing;
        if (missing == 0)
            return;
        makeRoom(service, claims, missing);
        if (claims.outdated.empty())
            claims.unplaced = missing;
    }

    void Round::endSurplus(const ServiceConfig& service, ServiceClaims& claims)
    {
        auto readyFirst = [&](const Claim* claim) { return m_health.ready(*claim); };
        std::stable_partition(claims.outdated.begin(), claims.outdated.end(), readyFirst);
        size_t keptOutdated = service.replicas - std::min<size_t>(service.replicas, claims.readyCurrent);
        for (size_t i = keptOutdated; i < claims.outdated.size(); ++i) {
            end(*claims.outdated[i], "replaced");
            ++claims.ending;
        }
        claims.outdated.resize(std::min(claims.outdated.size(), keptOutdated));
        if (claims.current.size() <= service.replicas)
            return;
        std::stable_partition(claims.current.begin(), claims.current.end(), readyFirst);
        for (size_t i = service.replicas; i < claims.current.size(); ++i)
            end(*claims.current[i], "scale_down");
        claims.current.resize(service.replicas);
        auto kept = std::stable_partition(claims.moves.begin(), claims.moves.end(),
            [&](const Move& move) { return contains(claims.current, move.old->offset); });
        for (auto move = kept; move != claims.moves.end(); ++move)
            end(*move->successor, "scale_down");
        claims.moves.erase(kept, claims.moves.end());
    }

    void Round::makeRoom(const ServiceConfig& service, ServiceClaims& claims, size_t missing)
    {
        auto atOnce = std::max<size_t>(1, static_cast<size_t>(service.replicas * m_settings.rollingShare));
        size_t underWay = claims.ending + claims.current.size() - claims.readyCurrent;
        size_t allowed = atOnce - std::min(atOnce, underWay);
        size_t ends = std::min({ allowed, missing, claims.outdated.size() });
        for (size_t i = 0; i < ends; ++i)
            end(*claims.outdated[claims.outdated.size() - 1 - i], "version_change");
    }

    // Whatever the placer's policy is, a replica's hosts are distinct, free, and in one domain.
    bool Round::usable(const ServiceConfig& service, const Placement& placement) const
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

    std::string Round::freeReplicaName(const ServiceConfig& service)
    {
        auto& names = m_replicaNames[service.name];
        for (size_t number = 0;; ++number) {
            auto inserted = names.insert(fmt::format("r{}", number));
            if (inserted.second)
                return *inserted.first;
        }
    }

    bool Round::claimOne(const ServiceConfig& service)
    {
        if (m_proposals >= m_settings.proposalsPerRound)
            return false;
        auto placement = m_rules.place({ service, m_input.config->parsed, m_input.claims, m_proposed, m_freeDomains });
        if (!placement || !usable(service, *placement))
            return false;
        return claim(service, *placement, freeReplicaName(service), 0);
    }

    bool Round::claim(const ServiceConfig& service, const Placement& placement, std::string replica, Offset replaces)
    {
        FreeDomain& domain = m_freeDomains[placement.domain];
        ClaimProposal claim { service.name, std::move(replica), domain.zone, placement.domain, placement.hosts, {},
            service.model, service.modelVersion, replaces };
        for (const std::string& host : claim.hosts) {
            claim.incarnations.push_back(m_input.hosts.find(host)->second.incarnation);
            std::erase(domain.hosts, host);
        }
        m_proposed.push_back(claim);
        return propose(std::move(claim));
    }

    // Make before break: the old claim ends, as every claim does, only once its successor serves.
    void Round::finishMoves()
    {
        for (auto& [name, claims] : m_claims) {
            auto done = std::stable_partition(claims.moves.begin(), claims.moves.end(),
                [&](const Move& move) { return !m_health.ready(*move.successor); });
            for (auto move = done; move != claims.moves.end(); ++move)
                finish(*move, claims);
            claims.moves.erase(done, claims.moves.end());
        }
    }

    void Round::finish(const Move& move, ServiceClaims& claims)
    {
        end(*move.old, "moved");
        ++claims.ending;
        std::replace(claims.current.begin(), claims.current.end(), move.old, move.successor);
    }

    // Last of all placing, when it is known which services are short and what the others left. A node that seems
    // cut off is in no place to judge.
    void Round::beginMoves()
    {
        if (m_cutOff)
            return;
        countRoom();
        for (const auto& [name, claims] : m_claims)
            m_moves += claims.moves.size();
        for (const ServiceConfig* service : m_services)
            reserveRoom(*service, m_claims[service->name].unplaced);
        bool waiting = recoveriesWait();
        for (const ServiceConfig* service : m_services) {
            size_t& unplaced = m_claims[service->name].unplaced;
            while (unplaced > 0 && m_moves < m_rules.movesAtOnce(*service, waiting) && beginMove(*service))
                --unplaced;
        }
    }

    // Hosts that drain, that came back just now, or that running moves will leave are as good as free: without them
    // a move would be begun again in every round until the first one's hosts are there.
    void Round::countRoom()
    {
        auto addHosts = [&](const Claim& claim) {
            for (size_t rank = 0; rank < claim.proposal.hosts.size(); ++rank)
                m_room[claim.proposal.domain] += claim.hostsHeld.contains(claim.proposal.hosts[rank])
                    && m_health.host(claim.proposal, rank) == HostHealth::Present;
        };
        for (const auto& [offset, claim] : m_input.claims) {
            if (claim.phase == ClaimPhase::Ending)
                addHosts(claim);
        }
        for (const auto& [name, claims] : m_claims) {
            for (const Move& move : claims.moves)
                addHosts(*move.old);
        }
        for (const auto& [name, domain] : m_freeDomains)
            m_room[name] += domain.hosts.size();
    }

    void Round::reserveRoom(const ServiceConfig& service, size_t& unplaced)
    {
        for (auto& [domain, hosts] : m_room) {
            for (; unplaced > 0 && hosts >= service.hostsPerReplica; --unplaced)
                hosts -= service.hostsPerReplica;
        }
    }

    // One that does not serve yet gains nothing by a second build. One whose move failed waits until that one's
    // hosts are free again.
    std::vector<const Claim*> Round::movable()
    {
        std::vector<const Claim*> found;
        for (const auto& [name, claims] : m_claims) {
            const auto& names = m_replicaNames[name];
            for (const Claim* claim : claims.current) {
                if (m_health.ready(*claim) && !names.contains(successorName(*claim)))
                    found.push_back(claim);
            }
        }
        return found;
    }

    std::map<std::string, FreeDomain> Round::spareDomains() const
    {
        auto domains = m_freeDomains;
        for (auto& [name, domain] : domains)
            domain.hosts.resize(std::min(domain.hosts.size(), m_room.find(name)->second));
        return domains;
    }

    bool Round::beginMove(const ServiceConfig& service)
    {
        if (m_proposals >= m_settings.proposalsPerRound)
            return false;
        auto candidates = movable();
        auto spare = spareDomains();
        auto move
            = m_rules.move({ { service, m_input.config->parsed, m_input.claims, m_proposed, spare }, candidates });
        if (!move || !contains(candidates, move->claim))
            return false;
        const Claim& old = m_input.claims.at(move->claim);
        const ServiceConfig& moved = *m_input.config->parsed.service(old.proposal.service);
        if (!usable(moved, move->to) || !makesRoom(service, old, move->to))
            return false;
        std::string name = successorName(old);
        m_replicaNames[moved.name].insert(name);
        m_room[move->to.domain] -= moved.hostsPerReplica;
        m_room[old.proposal.domain] += moved.hostsPerReplica;
        m_room[old.proposal.domain] -= service.hostsPerReplica;
        ++m_moves;
        return claim(moved, move->to, name, old.offset);
    }

    // Whatever the mover's policy is, it leaves the domain that it makes room in, and takes no hosts that others count
    // on. So only a smaller replica ever moves, and no two make room for each other in turn: had any domain room left
    // for one as large as the service wants, that room would have been reserved for the service itself.
    bool Round::makesRoom(const ServiceConfig& service, const Claim& moved, const Placement& to) const
    {
        size_t size = moved.proposal.hosts.size();
        auto from = m_room.find(moved.proposal.domain);
        size_t roomLeft = from == m_room.end() ? 0 : from->second;
        return to.domain != moved.proposal.domain && m_room.find(to.domain)->second >= size
            && roomLeft + size >= service.hostsPerReplica;
    }

    // Down, with loads to do or under way. Replicas that lack a host load nothing.
    bool Round::recovers(const Claim& claim) const { return m_health.whole(claim) && !m_health.ready(claim); }

    bool Round::recoveriesWait() const
    {
        return std::any_of(m_claims.begin(), m_claims.end(), [&](const auto& entry) {
            const auto& current = entry.second.current;
            return std::any_of(current.begin(), current.end(), [&](const Claim* claim) { return recovers(*claim); });
        });
    }

    // It is the replica that is down whose weights say whether others wait for it.
    bool Round::movesYield() const
    {
        return std::any_of(m_services.begin(), m_services.end(), [&](const ServiceConfig* service) {
            auto claims = m_claims.find(service->name);
            if (claims == m_claims.end() || !m_rules.recoveryLoadsFirst(*service))
                return false;
            const auto& current = claims->second.current;
            return std::any_of(current.begin(), current.end(), [&](const Claim* claim) { return recovers(*claim); });
        });
    }

    // Towards engines that obey anything, an order is given only while it must arrive within this node's tenure.
    bool Round::mayOrder(const HostView& host, Offset claim, FencingSupport fencing) const
    {
        if (fencing == FencingSupport::Checked)
            return true;
        return m_input.now + m_settings.orderFlight <= m_tenure.until
            && m_health.settled(host, claim, fencing, m_tenure);
    }

    void Round::order(HostOrder::Kind kind, const Claim& claim, size_t rank, const ServiceConfig* service)
    {
        const ClaimProposal& proposal = claim.proposal;
        m_actions.push_back(HostOrder { kind, proposal.hosts[rank], claim.offset, proposal.service, proposal.replica,
            proposal.model, proposal.modelVersion, static_cast<uint32_t>(rank), proposal.hosts,
            service ? service->weightsBytes : 0, m_tenure.until - m_settings.orderFlight });
    }

    void Round::unloadEnding()
    {
        for (const auto& [offset, claim] : m_input.claims) {
            if (claim.phase != ClaimPhase::Ending || !m_health.drained(claim))
                continue;
            for (size_t rank = 0; rank < claim.proposal.hosts.size(); ++rank) {
                HostHealth health = m_health.host(claim.proposal, rank);
                if (health != HostHealth::Present && health != HostHealth::Leaving)
                    continue;
                const HostView& view = *m_health.view(claim.proposal, rank);
                bool obeys = view.claim == offset && view.phase != EnginePhase::Idle;
                if (obeys && mayOrder(view, offset, fencingOf(claim)))
                    order(HostOrder::Kind::Unload, claim, rank, nullptr);
            }
        }
    }

    bool Round::started(const Claim& claim) const
    {
        for (size_t rank = 0; rank < claim.proposal.hosts.size(); ++rank) {
            const HostView* view = m_health.view(claim.proposal, rank);
            if (view && view->answering && view->claim == claim.offset && view->phase != EnginePhase::Idle)
                return true;
        }
        return false;
    }

    void Round::loadHeld()
    {
        for (const ServiceConfig* service : m_services) {
            for (const Claim* claim : m_claims[service->name].current)
                load(*service, *claim);
        }
        if (movesYield())
            return;
        for (const ServiceConfig* service : m_services) {
            for (const Move& move : m_claims[service->name].moves)
                load(*service, *move.successor);
        }
    }

    void Round::load(const ServiceConfig& service, const Claim& claim)
    {
        if (!m_health.whole(claim))
            return;
        std::vector<size_t> loads;
        for (size_t rank = 0; rank < claim.proposal.hosts.size(); ++rank) {
            const HostView& view = *m_health.view(claim.proposal, rank);
            if (view.claim > claim.offset)
                return; // This node's state is behind.
            if (view.claim == claim.offset && view.phase != EnginePhase::Idle)
                continue;
            if (!mayOrder(view, claim.offset, service.fencing))
                return;
            if (service.fencing == FencingSupport::Ignored && view.phase != EnginePhase::Idle)
                order(HostOrder::Kind::Unload, claim, rank, &service);
            else
                loads.push_back(rank);
        }
        if (loads.empty() || !takeLoads(loads.size(), started(claim)))
            return;
        for (size_t rank : loads)
            order(HostOrder::Kind::Load, claim, rank, &service);
    }

    // A started replica is finished whatever else loads: half a replica serves nobody. Of the others the first
    // that does not fit stops all after it, or small replicas would keep a large one that they depend on waiting.
    bool Round::takeLoads(size_t loads, bool started)
    {
        bool fits = m_loading == 0 || m_loading + loads <= m_settings.hostsLoadingAtOnce;
        m_loadsBlocked = m_loadsBlocked || (!started && !fits);
        if (m_loadsBlocked && !started)
            return false;
        m_loading += loads;
        return true;
    }

    // A node that most hosts do not answer is more likely cut off itself than right about all of them, and one
    // without a list knows nothing of any.
    bool seemsCutOff(const ControllerInput& input, const ControllerSettings& settings)
    {
        size_t listed = 0;
        size_t silent = 0;
        for (const auto& [name, host] : input.hosts) {
            listed += host.listed;
            silent += host.listed && !host.answersNow(input.now, settings.statusLifetime);
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
    bool cutOff = seemsCutOff(input, settings);
    // One that seems cut off lets its lease lapse, and takes a free one only when nobody else does.
    if (input.lease.proposalDue(cutOff ? input.now - settings.cutOffDelay : input.now))
        actions.emplace_back(input.lease.proposal());
    auto tenure = input.lease.held(input.now);
    // Without a text nothing is known to be unwanted, and without a list nothing to be dead.
    bool hasList
        = std::any_of(input.hosts.begin(), input.hosts.end(), [](const auto& entry) { return entry.second.listed; });
    if (!tenure || !input.config || !hasList)
        return actions;
    auto steps = Round(input, settings, rules, *tenure, cutOff).run();
    std::move(steps.begin(), steps.end(), std::back_inserter(actions));
    return actions;
}

} // namespace Kumquatpick
