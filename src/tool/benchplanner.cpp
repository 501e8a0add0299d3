#include "tool/benchplanner.h"

#include "fleet/replicaplanner.h"

#include <algorithm>
#include <chrono>
#include <fmt/format.h>

namespace Kumquatpick {

namespace {

    constexpr uint32_t hostsPerDomain = 19;
    constexpr uint32_t domainCounts[] = { 9, 40, 126 };
    constexpr Milliseconds tick { 100 };
    constexpr int firstPlanTicks = 100;
    constexpr int settledTicks = 50;

    // Hosts that carry out each order at once, and their planner.
    class PlannerBench {
    public:
        explicit PlannerBench(uint32_t domains)
            : m_term(1)
            , m_planner(m_term)
        {
            m_service.name = "writers";
            m_service.models = { { "large", 8, 0.5, 1, Milliseconds(16'000), Milliseconds(1600) },
                { "small", 4, 0.5, 0.6, Milliseconds(12'000), Milliseconds(1100) } };
            uint32_t hosts = domains * hostsPerDomain;
            m_service.timing.loadsPerSecond = hosts / 12.0;
            m_service.timing.concurrentLoads = hosts / 8;
            m_wanted = { { "large", hosts / 16.0 }, { "small", hosts / 8.0 } };
            for (uint32_t i = 0; i < hosts; ++i) {
                Host host;
                host.id = fmt::format("host-{:05}", i);
                host.service = m_service.name;
                host.address = { "10.0.0.1", static_cast<uint16_t>(i + 1) };
                host.status.domain = fmt::format("domain-{:03}", i / hostsPerDomain);
                m_hosts.applyListEntry(host, m_now);
            }
        }

        // Milliseconds that a plan took.
        double plan()
        {
            m_now += tick;
            PlannerInput input { m_now, m_hosts, m_service, m_wanted,
                [](std::string_view) { return HostContact::Reachable; }, [](std::string_view) { return false; },
                m_loadsAreFree };
            auto begun = std::chrono::steady_clock::now();
            auto orders = m_planner.plan(input);
            std::chrono::duration<double, std::milli> took = std::chrono::steady_clock::now() - begun;
            for (const HostOrder& order : orders)
                carryOut(order);
            return took.count();
        }

        void beginTraffic() { m_loadsAreFree = false; }

        // A member of some replica ends.
        void loseHost()
        {
            auto member = std::ranges::find_if(m_hosts.hosts(), [](const auto& entry) {
                return entry.second.status.membership && entry.second.status.membership->rank > 0;
            });
            if (member != m_hosts.hosts().end())
                m_hosts.removeListEntry(std::string(member->first));
        }

    private:
        void carryOut(const HostOrder& order)
        {
            const Host* host = m_hosts.find(order.hostId);
            if (!host)
                return;
            HostStatus status = host->status;
            status.ordersAccepted = ++m_orders[order.hostId];
            switch (order.kind) {
            case OrderKind::Join: {
                auto place = std::ranges::find(order.members, order.hostId) - order.members.begin();
                status.model = order.model;
                status.stagedModels = { order.model };
                status.membership
                    = Membership { order.replica, order.epoch, static_cast<uint32_t>(place), MemberState::Ready };
                break;
            }
            case OrderKind::Open:
            case OrderKind::Close:
                if (status.membership)
                    status.membership->state = order.kind == OrderKind::Open ? MemberState::Open : MemberState::Closing;
                break;
            case OrderKind::Leave:
                status.membership.reset();
                break;
            case OrderKind::Stage:
                status.stagedModels = { order.model };
                break;
            }
            m_hosts.applyReport(order.hostId, std::move(status), m_now);
            m_planner.orderEnded(order, OrderResult::Accepted, m_now);
        }

        ServiceSpec m_service;
        HostTable m_hosts;
        ControllerTerm m_term;
        ReplicaPlanner m_planner;
        std::map<std::string, double, std::less<>> m_wanted;
        std::map<std::string, uint64_t> m_orders;
        bool m_loadsAreFree = true;
        MonotonicTime m_now { std::chrono::hours(1) };
    };

    double median(std::vector<double> values)
    {
        std::ranges::sort(values);
        return values.empty() ? 0 : values[values.size() / 2];
    }

    std::vector<std::string> rowOf(uint32_t domains)
    {
        PlannerBench bench(domains);
        double longest = 0;
        for (int i = 0; i < firstPlanTicks; ++i)
            longest = std::max(longest, bench.plan());
        bench.beginTraffic();
        std::vector<double> settled;
        settled.reserve(settledTicks);
        std::vector<double> afterLoss;
        afterLoss.reserve(settledTicks);
        for (int i = 0; i < settledTicks; ++i)
            settled.push_back(bench.plan());
        for (int i = 0; i < settledTicks; ++i) {
            bench.loseHost();
            afterLoss.push_back(bench.plan());
        }
        return { std::to_string(domains * hostsPerDomain), std::to_string(domains), fmt::format("{:.2f}", longest),
            fmt::format("{:.2f}", median(std::move(settled))), fmt::format("{:.2f}", median(std::move(afterLoss))) };
    }

}

BenchTable benchPlanner()
{
    BenchTable table { "timings of this machine, one thread: a controller's plan",
        { "hosts", "domains", "first plan, longest ms", "nothing changed ms", "a host lost ms" }, {} };
    table.rows.reserve(std::size(domainCounts));
    for (uint32_t domains : domainCounts)
        table.rows.push_back(rowOf(domains));
    return table;
}

} // namespace Kumquatpick
