#include "policy/bench_placement.h"

#include "base/random.h"
#include "policy/placement.h"

#include <algorithm>
#include <array>
#include <map>
#include <span>
#include <utility>

namespace Kumquatpick {

namespace {

    // The wanted replicas need 276 of the 288 hosts, so one host in 24 is spare.
    constexpr uint32_t zoneCount = 3;
    constexpr uint32_t domainCount = 24;
    constexpr uint32_t hostsPerDomain = 12;
    constexpr uint32_t hostCount = domainCount * hostsPerDomain;

    struct ServiceSize {
        uint32_t hostsPerReplica;
        uint32_t wanted;
    };

    // In dependency order: replicas of earlier services are built first.
    constexpr ServiceSize serviceSizes[] = { { 4, 36 }, { 3, 24 }, { 2, 30 } };

    // All times are in hours.
    constexpr double meanTimeToFailure = 240;
    constexpr double meanTimeToRepair = 4;
    constexpr double meanTimeToFlap = 600;
    constexpr double flapLength = 0.05;
    constexpr double meanTimeToDomainOutage = 24 * 45;
    constexpr double domainOutageLength = 1;
    constexpr double never = 1e9;
    constexpr double warmLoad = 0.002; // Time to load weights that are still in the hosts' memory.

    struct Fault {
        double at = 0;
        uint32_t host = 0;
        bool up = false;
    };

    double exponential(Random& random, double mean) { return std::exponential_distribution<double>(1 / mean)(random); }

    void addOutages(std::vector<Fault>& faults, Random& random, std::span<const uint32_t> hosts, double every,
        double length, double end)
    {
        for (double at = exponential(random, every); at < end; at += exponential(random, every)) {
            double recovered = at + exponential(random, length);
            for (uint32_t host : hosts) {
                faults.push_back({ at, host, false });
                faults.push_back({ recovered, host, true });
            }
            at = recovered;
        }
    }

    std::vector<Fault> faultSequence(uint64_t seed, double hours)
    {
        Random random(seed);
        std::vector<Fault> faults;
        for (uint32_t host = 0; host < hostCount; ++host) {
            const std::array single { host };
            addOutages(faults, random, single, meanTimeToFailure, meanTimeToRepair, hours);
            addOutages(faults, random, single, meanTimeToFlap, flapLength, hours);
        }
        for (uint32_t domain = 0; domain < domainCount; ++domain) {
            std::vector<uint32_t> hosts;
            for (uint32_t i = 0; i < hostsPerDomain; ++i)
                hosts.push_back(domain * hostsPerDomain + i);
            addOutages(faults, random, hosts, meanTimeToDomainOutage, domainOutageLength, hours);
        }
        std::stable_sort(faults.begin(), faults.end(), [](auto& a, auto& b) { return a.at < b.at; });
        return faults;
    }

    struct Replica {
        uint32_t service = 0;
        uint32_t domain = 0;
        std::vector<uint32_t> hosts;
        uint32_t coldHosts = 0;
        double servesAt = 0;
        uint64_t replaces = 0; // The replica that is removed once this one serves; 0 if none.
        bool replaced = false;
    };

    class Fleet {
    public:
        explicit Fleet(const PlacementRun& run)
            : m_run(run)
            , m_faultCounts(hostCount, 0)
            , m_warmFor(hostCount, noService)
            , m_usedBy(hostCount, 0)
        {
            reconcile();
        }

        PlacementMetrics run()
        {
            double end = m_run.days * 24;
            for (const Fault& fault : faultSequence(m_run.seed, end)) {
                if (fault.at > end)
                    break;
                advanceTo(fault.at);
                apply(fault);
                reconcile();
            }
            advanceTo(end);
            return m_figures;
        }

    private:
        // Completes the loads that end before then; each may end the replica that it replaces.
        void advanceTo(double at)
        {
            while (auto next = nextServing(at)) {
                account(m_replicas[*next].servesAt);
                if (m_loading == *next)
                    m_loading = 0;
                finishMove(*next);
                startNextLoad();
                reconcile();
            }
            account(at);
        }

        std::optional<uint64_t> nextServing(double before) const
        {
            std::optional<uint64_t> next;
            for (const auto& [id, replica] : m_replicas) {
                if (replica.servesAt <= m_now || replica.servesAt > before)
                    continue;
                if (!next || replica.servesAt < m_replicas.at(*next).servesAt)
                    next = id;
            }
            return next;
        }

        void account(double at)
        {
            double passed = at - m_now;
            m_figures.downReplicaHours += passed * missingReplicas();
            m_figures.loadingHours += passed * loading();
            m_figures.strandedHostHours += passed * strandedHosts();
            m_figures.downBound += passed * unavoidableMissing();
            m_figures.strandedBound += passed * unavoidableStranded();
            m_now = at;
        }

        double missingReplicas() const
        {
            double missing = 0;
            for (uint32_t service = 0; service < std::size(serviceSizes); ++service) {
                uint32_t serving = 0;
                for (const auto& [id, replica] : m_replicas)
                    serving += replica.service == service && replica.servesAt <= m_now;
                missing += serving < serviceSizes[service].wanted ? serviceSizes[service].wanted - serving : 0;
            }
            return missing;
        }

        double loading() const
        {
            double n = 0;
            for (auto& [id, r] : m_replicas)
                n += r.servesAt > m_now && r.replaces == 0;
            return n;
        }

        double strandedHosts() const { return m_unplaced ? freeHosts() : 0; }

        double freeHosts() const
        {
            double free = 0;
            for (uint32_t host = 0; host < hostCount; ++host)
                free += isFree(host);
            return free;
        }

        uint32_t upHosts(uint32_t domain) const
        {
            auto first = m_faultCounts.begin() + domain * hostsPerDomain;
            return static_cast<uint32_t>(std::count(first, first + hostsPerDomain, 0));
        }

        // Hosts that the wanted replicas need in excess of those that the best packing of the domains can use.
        double hostsShort() const
        {
            double needed = 0;
            for (const auto& size : serviceSizes)
                needed += size.hostsPerReplica * size.wanted;
            for (uint32_t domain = 0; domain < domainCount; ++domain)
                needed -= upHosts(domain) - unusableHosts(m_services, upHosts(domain));
            return std::max(0.0, needed);
        }

        double unavoidableMissing() const
        {
            uint32_t largest = 1;
            for (const auto& size : serviceSizes)
                largest = std::max(largest, size.hostsPerReplica);
            return hostsShort() / largest;
        }

        double unavoidableStranded() const
        {
            if (hostsShort() == 0)
                return 0;
            double unusable = 0;
            for (uint32_t domain = 0; domain < domainCount; ++domain)
                unusable += unusableHosts(m_services, upHosts(domain));
            return unusable;
        }

        bool isFree(uint32_t host) const { return m_faultCounts[host] == 0 && m_usedBy[host] == 0; }

        // A host with overlapping faults (its own and its domain's) is up again when the last one ends.
        void apply(const Fault& fault)
        {
            if (fault.up) {
                --m_faultCounts[fault.host];
                return;
            }
            ++m_faultCounts[fault.host];
            m_warmFor[fault.host] = noService;
            if (m_usedBy[fault.host] != 0)
                removeReplica(m_usedBy[fault.host]);
        }

        void removeReplica(uint64_t id)
        {
            Replica replica = m_replicas.at(id);
            m_replicas.erase(id);
            if (m_loading == id) {
                m_loading = 0;
                startNextLoad();
            }
            for (uint32_t host : replica.hosts) {
                m_usedBy[host] = 0;
                if (replica.servesAt > m_now)
                    m_warmFor[host] = noService; // Incomplete weights cannot be reused.
            }
            if (replica.replaces != 0 && m_replicas.contains(replica.replaces))
                m_replicas.at(replica.replaces).replaced = false;
        }

        void finishMove(uint64_t id)
        {
            uint64_t old = std::exchange(m_replicas.at(id).replaces, 0);
            if (old != 0 && m_replicas.contains(old))
                removeReplica(old);
        }

        void reconcile()
        {
            m_unplaced = false;
            for (uint32_t service = 0; service < std::size(serviceSizes); ++service) {
                while (placeOne(service)) { }
            }
        }

        bool placeOne(uint32_t service)
        {
            PlacementView view = placementView();
            if (view.services[service].placed >= view.services[service].wanted)
                return false;
            auto choice
                = m_run.policy == PlacementPolicy::FirstFit ? firstFit(view, service) : choosePlacement(view, service);
            if (choice) {
                build(service, *choice, 0);
                return true;
            }
            m_unplaced = true;
            if (m_run.policy == PlacementPolicy::Weighed
                && movesRunning() < movesAtOnce(m_services[service], recoveriesWait()))
                startMove(view, service);
            return false;
        }

        long movesRunning() const
        {
            return std::count_if(
                m_replicas.begin(), m_replicas.end(), [](auto& entry) { return entry.second.replaces != 0; });
        }

        bool recoveriesWait() const
        {
            auto waits = [](const auto& entry) { return entry.second.servesAt == never && entry.second.replaces == 0; };
            return std::any_of(m_replicas.begin(), m_replicas.end(), waits);
        }

        void startMove(const PlacementView& view, uint32_t service)
        {
            auto move = chooseMove(view, service);
            if (!move)
                return;
            uint64_t old = std::stoull(move->replica);
            m_replicas.at(old).replaced = true;
            build(move->service, move->to, old);
            ++m_figures.moves;
        }

        PlacementView placementView()
        {
            PlacementView view;
            view.zones = zoneCount;
            view.services = m_services;
            for (uint32_t domain = 0; domain < domainCount; ++domain)
                view.domains.push_back({ std::to_string(domain), domain % zoneCount, {}, {} });
            for (const auto& [id, replica] : m_replicas) {
                view.services[replica.service].placed += replica.replaces == 0;
                if (!replica.replaced && replica.replaces == 0)
                    view.domains[replica.domain].replicas.push_back({ replica.service, std::to_string(id) });
            }
            for (uint32_t host = 0; host < hostCount; ++host) {
                if (isFree(host))
                    view.domains[host / hostsPerDomain].freeHosts.push_back({ std::to_string(host), m_warmFor[host] });
            }
            return view;
        }

        void build(uint32_t service, const PlacementChoice& choice, uint64_t replaces)
        {
            Replica replica { service, choice.domain, {}, 0, m_now + warmLoad, replaces, false };
            uint64_t id = ++m_lastId;
            for (const auto& name : choice.hosts) {
                auto host = static_cast<uint32_t>(std::stoul(name));
                replica.hosts.push_back(host);
                m_usedBy[host] = id;
                replica.coldHosts += m_warmFor[host] != service;
                m_warmFor[host] = service;
            }
            m_figures.loadedHosts += replica.coldHosts;
            if (replica.coldHosts > 0)
                replica.servesAt = never;
            m_replicas[id] = std::move(replica);
            startNextLoad();
        }

        // The store serves one replica at a time, so that the first ones serve as early as possible.
        void startNextLoad()
        {
            if (m_loading != 0)
                return;
            bool movesYield = m_run.policy == PlacementPolicy::Weighed && recoveryLoadsFirst(m_services.front());
            auto next = m_replicas.end();
            for (auto entry = m_replicas.begin(); entry != m_replicas.end(); ++entry) {
                if (entry->second.servesAt != never)
                    continue;
                bool isRecovery = entry->second.replaces == 0;
                if (next == m_replicas.end() || (movesYield && isRecovery && next->second.replaces != 0))
                    next = entry;
            }
            if (next == m_replicas.end())
                return;
            m_loading = next->first;
            next->second.servesAt = m_now + m_run.hoursPerLoad * next->second.coldHosts;
        }

        std::vector<PlacementService> services() const
        {
            std::vector<PlacementService> services;
            for (const auto& size : serviceSizes)
                services.push_back(
                    { size.hostsPerReplica, size.wanted, 0, m_run.groupDowntimeWeight, m_run.strandedWeight });
            return services;
        }

        PlacementRun m_run;
        std::vector<PlacementService> m_services = services();
        std::vector<uint32_t> m_faultCounts; // Number of current faults of each host.
        std::vector<uint32_t> m_warmFor;
        std::vector<uint64_t> m_usedBy; // Replica id; 0 if free.
        std::map<uint64_t, Replica> m_replicas;
        uint64_t m_lastId = 0;
        double m_now = 0;
        uint64_t m_loading = 0; // The replica that is loading from the store; 0 if none.
        bool m_unplaced = false;
        PlacementMetrics m_figures;
    };

}

PlacementMetrics runPlacement(const PlacementRun& run) { return Fleet(run).run(); }

} // namespace Kumquatpick
