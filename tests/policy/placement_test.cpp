#include "policy/placement.h"

#include "policy/bench_placement.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace Kumquatpick {

namespace {

    PlacementView drawView()
    {
        PlacementView view;
        view.zones = 3;
        uint32_t services = *rc::gen::inRange(1, 4);
        for (uint32_t i = 0; i < services; ++i) {
            double weight = *rc::gen::inRange(0, 11) / 10.0;
            view.services.push_back({ static_cast<uint32_t>(*rc::gen::inRange(1, 6)), 10, 0, weight, 1 - weight });
        }
        uint32_t domains = *rc::gen::inRange(0, 8);
        for (uint32_t d = 0; d < domains; ++d) {
            PlacementDomain domain { "d" + std::to_string(d), d % view.zones, {}, {} };
            uint32_t freeHosts = *rc::gen::inRange(0, 8);
            for (uint32_t h = 0; h < freeHosts; ++h)
                domain.freeHosts.push_back(
                    { domain.domain + "h" + std::to_string(h), *rc::gen::inRange(0U, services) });
            uint32_t replicas = *rc::gen::inRange(0, 4);
            for (uint32_t r = 0; r < replicas; ++r)
                domain.replicas.push_back({ *rc::gen::inRange(0U, services), domain.domain + "r" + std::to_string(r) });
            view.domains.push_back(std::move(domain));
        }
        return view;
    }

    void checkWhole(const PlacementView& view, uint32_t service, const PlacementChoice& choice)
    {
        std::set<std::string> freeHosts;
        for (const auto& host : view.domains[choice.domain].freeHosts)
            freeHosts.insert(host.host);
        std::set<std::string> chosen(choice.hosts.begin(), choice.hosts.end());
        RC_ASSERT(chosen.size() == view.services[service].hostsPerReplica);
        RC_ASSERT(std::includes(freeHosts.begin(), freeHosts.end(), chosen.begin(), chosen.end()));
    }

    PlacementMetrics meanOver(PlacementRun run, uint64_t seeds)
    {
        PlacementMetrics sum;
        for (run.seed = 1; run.seed <= seeds; ++run.seed) {
            auto figures = runPlacement(run);
            sum.downReplicaHours += figures.downReplicaHours / static_cast<double>(seeds);
            sum.strandedHostHours += figures.strandedHostHours / static_cast<double>(seeds);
        }
        return sum;
    }

}

RC_GTEST_PROP(Placement, ChoosesAWholeSetOfFreeHostsOfOneDomainOrNothing, ())
{
    auto view = drawView();
    auto service = *rc::gen::inRange<uint32_t>(0, static_cast<uint32_t>(view.services.size()));
    auto choice = choosePlacement(view, service);
    auto baseline = firstFit(view, service);
    RC_ASSERT(choice.has_value() == baseline.has_value());
    if (choice) {
        checkWhole(view, service, *choice);
        checkWhole(view, service, *baseline);
    }
}

RC_GTEST_PROP(Placement, AMoveMakesRoomAndLeavesTheDomain, ())
{
    auto view = drawView();
    auto service = *rc::gen::inRange<uint32_t>(0, static_cast<uint32_t>(view.services.size()));
    auto move = chooseMove(view, service);
    if (!move)
        return;
    RC_ASSERT(move->to.domain != move->fromDomain);
    checkWhole(view, move->service, move->to);
    auto roomAfter = view.domains[move->fromDomain].freeHosts.size() + view.services[move->service].hostsPerReplica;
    RC_ASSERT(roomAfter >= view.services[service].hostsPerReplica);
}

TEST(Placement, CountsHostsThatNoCombinationUses)
{
    std::vector<PlacementService> services { { 4, 1, 0, 0.5, 0.5 }, { 6, 1, 0, 0.5, 0.5 } };
    EXPECT_EQ(unusableHosts(services, 0), 0U);
    EXPECT_EQ(unusableHosts(services, 3), 3U);
    EXPECT_EQ(unusableHosts(services, 10), 0U);
    EXPECT_EQ(unusableHosts(services, 11), 1U);
}

TEST(Placement, SpreadsWhenDowntimeWeighsAndPacksWhenStrandingDoes)
{
    PlacementView view;
    view.domains = { { "partly", 0, { { "a", noService }, { "b", noService } }, { { 0, "r" } } },
        { "empty", 0, { { "c", noService }, { "d", noService }, { "e", noService } }, {} } };
    view.services = { { 2, 2, 1, 1.0, 0.0 } };
    EXPECT_EQ(choosePlacement(view, 0)->domain, 1U);
    view.services = { { 2, 2, 1, 0.0, 1.0 } };
    EXPECT_EQ(choosePlacement(view, 0)->domain, 0U);
}

TEST(Placement, TakesHostsThatStillHoldTheWeights)
{
    PlacementView view;
    view.domains = { { "d", 0, { { "a", 1 }, { "b", noService }, { "c", 0 } }, {} } };
    view.services = { { 2, 1, 0, 0.5, 0.5 }, { 2, 0, 0, 0.5, 0.5 } };
    EXPECT_EQ(choosePlacement(view, 0)->hosts, (std::vector<std::string> { "c", "b" }));
}

// Compares the policies on the same faults; the results depend only on the seeds.
TEST(Placement, TheWeightsTradeDowntimeForStrandedHosts)
{
    constexpr double slowStore = 0.08;
    constexpr uint64_t seeds = 5;
    auto baseline = meanOver({ PlacementPolicy::FirstFit, 0.5, 0.5, 1, 30, slowStore }, seeds);
    auto downtime = meanOver({ PlacementPolicy::Weighed, 0.8, 0.2, 1, 30, slowStore }, seeds);
    auto stranded = meanOver({ PlacementPolicy::Weighed, 0.2, 0.8, 1, 30, slowStore }, seeds);
    EXPECT_LT(downtime.downReplicaHours, stranded.downReplicaHours);
    EXPECT_LT(stranded.strandedHostHours, downtime.strandedHostHours);
    EXPECT_LT(stranded.downReplicaHours, baseline.downReplicaHours);
    EXPECT_LT(downtime.strandedHostHours, baseline.strandedHostHours);
}

} // namespace Kumquatpick
