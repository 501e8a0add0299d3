#include "fleet/domainplan.h"

#include <algorithm>
#include <cmath>

namespace Kumquatpick {

namespace {

    // Joining the model that a host ran last, including the order and the report of its end.
    constexpr Milliseconds joinDuration { 300 };
    // The horizon in load times: one in which a load begun now runs, and one in which its replica serves.
    constexpr int horizonLoads = 2;
    // Comparing more combinations would delay a plan. Only domains with an unusual number of hosts or models reach it.
    constexpr size_t maxCombinations = 2000;

    // The places that a replica adds count equally for all models, whatever its number of hosts. With urgency alone,
    // the model with fewer hosts a replica would get nearly all of them. Its third power leaves the larger model about
    // the share that it has if the most needed replica is always formed first, and serves more in total.
    constexpr double urgencyExponent = 3;

    struct MemberCost {
        Milliseconds readyIn {};
        bool mustLoad = false;
        bool holds = false;
    };

    class GroupingSearch {
    public:
        GroupingSearch(const DomainPlanInput& input, std::span<const Host* const> hosts)
            : m_input(input)
            , m_hosts(hosts.begin(), hosts.end())
        {
            for (const ModelSpec& model : input.service.models) {
                m_horizon = std::max(m_horizon, model.load * horizonLoads);
                bool isPossible = model.hostsPerReplica > 0 && model.hostsPerReplica <= hosts.size();
                if (isPossible && valueOfNextReplica(input, model, 0) > 0)
                    m_models.push_back(&model);
            }
        }

        DomainGrouping run()
        {
            if (m_models.empty() || m_horizon <= Milliseconds(0))
                return {};
            do {
                m_counts.assign(m_models.size(), 0);
                tryCounts(0, m_hosts.size());
            } while (m_combinations < maxCombinations && std::ranges::next_permutation(m_models).found);
            return std::move(m_best);
        }

    private:
        // The order of m_models decides which model chooses its hosts first.
        void tryCounts(size_t index, size_t hostsLeft)
        {
            if (m_combinations >= maxCombinations)
                return;
            if (index == m_models.size()) {
                ++m_combinations;
                return evaluate();
            }
            const ModelSpec& model = *m_models[index];
            for (uint32_t count = 0; count * model.hostsPerReplica <= hostsLeft; ++count) {
                if (count > 0 && valueOfNextReplica(m_input, model, count - 1) <= 0)
                    break;
                m_counts[index] = count;
                tryCounts(index + 1, hostsLeft - count * model.hostsPerReplica);
            }
            m_counts[index] = 0;
        }

        void evaluate()
        {
            DomainGrouping grouping;
            std::vector<const Host*> hosts = m_hosts;
            uint32_t loads = 0;
            double value = 0;
            for (size_t i = 0; i < m_models.size(); ++i) {
                for (uint32_t n = 0; n < m_counts[i]; ++n) {
                    auto replica = takeReplica(*m_models[i], n, hosts, loads);
                    if (!replica || replica->value <= 0)
                        return;
                    value += replica->value;
                    grouping.push_back(std::move(*replica));
                }
            }
            if (value <= m_bestValue)
                return;
            m_bestValue = value;
            m_best = std::move(grouping);
        }

        std::optional<PlannedReplica> takeReplica(
            const ModelSpec& model, uint32_t additional, std::vector<const Host*>& hosts, uint32_t& loads)
        {
            std::vector<std::pair<MemberCost, const Host*>> choices;
            for (const Host* host : hosts) {
                if (auto cost = costOf(*host, model))
                    choices.emplace_back(*cost, host);
            }
            if (choices.size() < model.hostsPerReplica)
                return std::nullopt;
            // Hosts that hold another model keep it if others are as soon ready.
            std::ranges::stable_sort(choices, {}, [&](const auto& choice) {
                return std::pair(choice.first.readyIn, copiesOfOthers(*choice.second, model));
            });
            choices.resize(model.hostsPerReplica);
            PlannedReplica replica;
            replica.model = &model;
            replica.canFormNow = true;
            for (const auto& [cost, host] : choices) {
                replica.members.push_back(host);
                replica.readyIn = std::max(replica.readyIn, cost.readyIn);
                replica.canFormNow = replica.canFormNow && cost.holds;
                if (cost.mustLoad)
                    replica.hostsToLoad.push_back(host);
            }
            loads += static_cast<uint32_t>(replica.hostsToLoad.size());
            // Loads that cannot begin now wait for others to end.
            if (!replica.hostsToLoad.empty() && loads > m_input.availableLoads)
                replica.readyIn += model.load;
            auto serving = std::max(0.0, 1 - toSeconds(replica.readyIn) / toSeconds(m_horizon));
            replica.value = valueOfNextReplica(m_input, model, additional) * serving;
            std::erase_if(hosts,
                [&](const Host* host) { return std::ranges::find(replica.members, host) != replica.members.end(); });
            return replica;
        }

        // The number of models, beside this one, that the host could serve without a load.
        size_t copiesOfOthers(const Host& host, const ModelSpec& model) const
        {
            return static_cast<size_t>(std::ranges::count_if(m_input.service.models,
                [&](const ModelSpec& other) { return &other != &model && host.status.hasLocalCopy(other.name); }));
        }

        std::optional<MemberCost> costOf(const Host& host, const ModelSpec& model) const
        {
            if (host.status.lastModel == model.name)
                return MemberCost { joinDuration, false, true };
            Milliseconds warmJoin = joinDuration + model.warmLoad;
            if (host.status.isStaged(model.name))
                return MemberCost { warmJoin, false, true };
            if (auto remaining = m_input.remainingLoad(host, model))
                return MemberCost { *remaining + warmJoin, false, false };
            if (m_input.mayLoad(host, model))
                return MemberCost { model.load + warmJoin, true, false };
            return std::nullopt;
        }

        const DomainPlanInput& m_input;
        std::vector<const Host*> m_hosts;
        std::vector<const ModelSpec*> m_models; // Those that are short and fit.
        std::vector<uint32_t> m_counts; // By index in m_models.
        Milliseconds m_horizon {};
        size_t m_combinations = 0;
        double m_bestValue = 0;
        DomainGrouping m_best;
    };

}

double valueOfNextReplica(const DomainPlanInput& input, const ModelSpec& model, uint32_t additional)
{
    auto wanted = input.wantedReplicas.find(model.name);
    if (wanted == input.wantedReplicas.end() || !std::isfinite(wanted->second))
        return 0;
    auto found = input.replicaCounts.find(model.name);
    double count = (found == input.replicaCounts.end() ? 0 : found->second) + additional;
    double urgency = wanted->second / (1 + count);
    // A part of a replica's demand is no shortage: the others take it.
    bool isShort = urgency >= 1;
    return isShort ? std::pow(urgency, urgencyExponent) : 0;
}

DomainGrouping chooseGrouping(const DomainPlanInput& input, std::span<const Host* const> freeHosts)
{
    return GroupingSearch(input, freeHosts).run();
}

} // namespace Kumquatpick
