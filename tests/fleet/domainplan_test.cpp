#include "fleet/domainplan.h"

#include "fleet/plannerworld.h"
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <memory>
#include <rapidcheck/gtest.h>
#include <set>

namespace Kumquatpick {

namespace {

    // Free hosts of one domain, added by each test.
    class DomainPlanTest : public testing::Test {
    protected:
        DomainPlanTest() { m_service.models = { makeModel("large", 12), makeModel("small", 6) }; }

        Host* addHost(std::string lastModel = {}, std::vector<std::string> staged = {})
        {
            auto host = std::make_unique<Host>();
            host->id = fmt::format("host-{:02}", m_hosts.size());
            host->status.lastModel = std::move(lastModel);
            host->status.stagedModels = std::move(staged);
            m_free.push_back(host.get());
            m_hosts.push_back(std::move(host));
            return m_hosts.back().get();
        }

        void addHosts(int count, const std::string& lastModel = {}, const std::vector<std::string>& staged = {})
        {
            for (int i = 0; i < count; ++i)
                addHost(lastModel, staged);
        }

        DomainPlanInput input() const
        {
            return { m_service, m_wantedReplicas, m_replicaCounts,
                [this](const Host& host, const ModelSpec& model) -> std::optional<Milliseconds> {
                    auto load = m_remainingLoads.find({ host.id, model.name });
                    return load == m_remainingLoads.end() ? std::nullopt : std::optional(load->second);
                },
                [this](const Host& host, const ModelSpec& model) {
                    bool isOnlyCopy = host.status.lastModel.empty() && !host.status.stagedModels.empty();
                    bool isLoading = std::ranges::any_of(
                        m_remainingLoads, [&](const auto& entry) { return entry.first.first == host.id; });
                    return !isOnlyCopy && !isLoading && !host.status.hasLocalCopy(model.name);
                },
                m_availableLoads };
        }

        DomainGrouping choose() const { return chooseGrouping(input(), m_free); }

        // Models of the planned replicas, in any order.
        std::multiset<std::string> models() const
        {
            std::multiset<std::string> result;
            for (const PlannedReplica& replica : choose())
                result.insert(replica.model->name);
            return result;
        }

        ServiceSpec m_service;
        std::map<std::string, double, std::less<>> m_wantedReplicas { { "large", 9 }, { "small", 20 } };
        std::map<std::string, uint32_t> m_replicaCounts { { "large", 4 }, { "small", 9 } };
        std::map<std::pair<std::string, std::string>, Milliseconds> m_remainingLoads; // By host and model.
        uint32_t m_availableLoads = 20;
        std::vector<const Host*> m_free;

    private:
        std::vector<std::unique_ptr<Host>> m_hosts;
    };

    using Names = std::multiset<std::string>;

    // What the planner does without this decision: the most needed model first, from hosts that hold it.
    double valueOfMostNeededFirst(const DomainPlanInput& input, std::vector<const Host*> hosts)
    {
        double value = 0;
        std::map<std::string, uint32_t> added;
        for (;;) {
            const ModelSpec* best = nullptr;
            for (const ModelSpec& model : input.service.models) {
                auto holders = std::ranges::count_if(
                    hosts, [&](const Host* host) { return host->status.hasLocalCopy(model.name); });
                double modelValue = valueOfNextReplica(input, model, added[model.name]);
                bool canForm = static_cast<uint32_t>(holders) >= model.hostsPerReplica && modelValue > 0;
                if (canForm && (!best || modelValue > valueOfNextReplica(input, *best, added[best->name])))
                    best = &model;
            }
            if (!best)
                return value;
            value += valueOfNextReplica(input, *best, added[best->name]++);
            uint32_t taken = 0;
            std::stable_partition(
                hosts.begin(), hosts.end(), [&](const Host* host) { return host->status.lastModel == best->name; });
            std::erase_if(hosts, [&](const Host* host) {
                return host->status.hasLocalCopy(best->name) && taken < best->hostsPerReplica && ++taken > 0;
            });
        }
    }

}

// Eight hosts waited for a replica of twelve that no load could complete, while the model with replicas of six was
// short.
TEST_F(DomainPlanTest, LoadsCompleteTheSmallerReplica)
{
    addHosts(3, "large");
    addHosts(3, "small");
    addHosts(2);
    DomainGrouping grouping = choose();
    ASSERT_EQ(grouping.size(), 1u);
    EXPECT_EQ(grouping[0].model->name, "small");
    EXPECT_EQ(grouping[0].hostsToLoad.size(), 3u);
    EXPECT_FALSE(grouping[0].canFormNow);
    for (const Host* host : { m_free[6], m_free[7] })
        EXPECT_TRUE(std::ranges::find(grouping[0].hostsToLoad, host) != grouping[0].hostsToLoad.end())
            << "hosts without a model load first, as the others keep theirs";
}

TEST_F(DomainPlanTest, FormsSmallerReplicaInsteadOfWaitingForLoadsOfLarger)
{
    addHosts(7, "large", { "small" });
    addHosts(5);
    DomainGrouping grouping = choose();
    ASSERT_GE(grouping.size(), 1u);
    EXPECT_EQ(grouping[0].model->name, "small");
    EXPECT_TRUE(grouping[0].canFormNow);
}

// The last host's load ends in a second: a large replica that then serves is worth more than a small one now.
TEST_F(DomainPlanTest, WaitsForLargerReplicaThatIsNear)
{
    addHosts(11, "large", { "small" });
    m_remainingLoads[{ addHost()->id, "large" }] = Milliseconds(1000);
    m_replicaCounts = { { "large", 1 }, { "small", 14 } };
    EXPECT_EQ(models(), Names { "large" });
    EXPECT_FALSE(choose()[0].canFormNow);
}

TEST_F(DomainPlanTest, ComparesAllGroupingsOfTheHosts)
{
    addHosts(13, "large", { "small" });
    EXPECT_EQ(models(), (Names { "small", "small" })) << "equal needs: two replicas serve more than one";
    m_replicaCounts = { { "large", 1 }, { "small", 15 } };
    EXPECT_EQ(models(), Names { "large" }) << "the large model is much shorter";
    addHosts(6, "large", { "small" });
    EXPECT_EQ(models(), (Names { "large", "small" }));
}

TEST_F(DomainPlanTest, PlansNothingWithoutShortageOrHosts)
{
    EXPECT_TRUE(choose().empty());
    addHosts(5, "small");
    EXPECT_TRUE(choose().empty()) << "fewer hosts than any replica needs";
    addHosts(15, "small", { "large" });
    EXPECT_FALSE(choose().empty());
    m_wantedReplicas = { { "large", 4.9 }, { "small", 9.9 } };
    EXPECT_TRUE(choose().empty()) << "no model would fill another replica";
    m_wantedReplicas = { { "large", 0 }, { "small", 0 } };
    EXPECT_TRUE(choose().empty());
    m_wantedReplicas = { { "large", std::numeric_limits<double>::quiet_NaN() }, { "small", -3 } };
    EXPECT_TRUE(choose().empty());
    m_wantedReplicas.clear();
    EXPECT_TRUE(choose().empty());
}

TEST_F(DomainPlanTest, IgnoresModelsThatCannotFit)
{
    addHosts(8, "small");
    m_service.models[0].hostsPerReplica = 40;
    EXPECT_EQ(models(), Names { "small" });
    m_service.models[0].hostsPerReplica = 0;
    EXPECT_EQ(models(), Names { "small" });
    m_service.models.erase(m_service.models.begin());
    EXPECT_EQ(models(), Names { "small" }) << "one model only";
}

TEST_F(DomainPlanTest, GroupsHostsOfThreeModels)
{
    m_service.models.push_back(makeModel("tiny", 2));
    m_wantedReplicas["tiny"] = 6;
    m_replicaCounts["tiny"] = 3;
    addHosts(6, "small");
    addHosts(2, "tiny", { "small" });
    EXPECT_EQ(models(), (Names { "small", "tiny" }));
}

// A load that has to wait for others delays the replica by a load time.
TEST_F(DomainPlanTest, PrefersReplicaWhoseLoadsCanBegin)
{
    addHosts(4, "small");
    addHosts(8);
    m_availableLoads = 2;
    DomainGrouping grouping = choose();
    ASSERT_FALSE(grouping.empty());
    EXPECT_EQ(grouping[0].model->name, "small");
    EXPECT_EQ(grouping[0].hostsToLoad.size(), 2u);
}

// A host list without domains is one domain with all hosts. Comparing all of its groupings would take seconds.
TEST_F(DomainPlanTest, BoundsTheComparisonOfManyHosts)
{
    m_service.models = { makeModel("a", 1), makeModel("b", 1), makeModel("c", 2) };
    m_wantedReplicas = { { "a", 300 }, { "b", 300 }, { "c", 300 } };
    m_replicaCounts.clear();
    addHosts(760, "a", { "b" });
    EXPECT_FALSE(choose().empty());
}

// All loads of the weight store were taken by spare hosts of replicas that were whole, while hosts that needed three
// loads to serve a model that was short stood idle.
TEST(DomainPlan, LoadsThatCompleteAReplicaBeginBeforeThoseOfSpareHosts)
{
    PlannerWorld world({ makeModel("large", 12), makeModel("small", 6) });
    world.isBeforeTraffic = false;
    world.wantedReplicas = { { "large", 9 }, { "small", 3 } };
    world.service.timing.concurrentLoads = 3;
    world.handleOrder = [](const HostOrder&) { return OrderResult::Accepted; }; // Loads take longer than the test.
    auto add = [&](const std::string& id, const std::string& domain, const std::string& lastModel,
                   std::optional<uint32_t> rank) {
        world.addHost(id, domain);
        HostStatus status = world.table.find(id)->status;
        status.ordersAccepted = 0;
        status.model = lastModel;
        uint32_t reportedRank = rank.value_or(1);
        if (!lastModel.empty())
            status.membership = Membership { rank ? "whole" : "earlier-" + id, 1, reportedRank,
                reportedRank == 0 ? MemberState::Open : MemberState::Ready };
        world.table.applyReport(id, status, world.now += Milliseconds(1));
        if (rank || lastModel.empty())
            return;
        status.membership.reset();
        status.model.clear();
        world.table.applyReport(id, status, world.now += Milliseconds(1));
    };
    for (uint32_t i = 0; i < 12; ++i)
        add(fmt::format("whole-{:02}", i), "domain-a", "large", i);
    for (int i = 0; i < 5; ++i)
        add(fmt::format("spare-{}", i), "domain-a", "", std::nullopt);
    for (const char* id : { "large-0", "large-1", "large-2" })
        add(id, "domain-b", "large", std::nullopt);
    for (const char* id : { "small-0", "small-1", "small-2" })
        add(id, "domain-b", "small", std::nullopt);
    for (const char* id : { "blank-0", "blank-1" })
        add(id, "domain-b", "", std::nullopt);
    world.run(Milliseconds(3500)); // Hosts that hold a model begin loads only after three seconds.
    std::vector<HostOrder> loads;
    std::ranges::copy_if(
        world.orders, std::back_inserter(loads), [](const HostOrder& order) { return order.kind == OrderKind::Stage; });
    ASSERT_EQ(loads.size(), 3u);
    for (const HostOrder& order : loads) {
        EXPECT_EQ(order.model, "small");
        EXPECT_EQ(world.table.find(order.hostId)->status.domain, "domain-b") << order.hostId;
    }
}

RC_GTEST_FIXTURE_PROP(DomainPlanTest, EachHostServesAtMostOnceAndNoLessThanMostNeededFirst, ())
{
    auto sizes = *rc::gen::element(std::pair(12u, 6u), std::pair(8u, 2u), std::pair(4u, 2u), std::pair(8u, 4u));
    m_service.models[0].hostsPerReplica = sizes.first;
    m_service.models[1].hostsPerReplica = sizes.second;
    int count = *rc::gen::inRange(0, 28);
    bool areAllWarm = *rc::gen::arbitrary<bool>();
    for (int i = 0; i < count; ++i) {
        switch (areAllWarm ? 0 : *rc::gen::inRange(0, 5)) {
        case 0: {
            bool isLarge = *rc::gen::arbitrary<bool>();
            addHost(isLarge ? "large" : "small", { isLarge ? "small" : "large" });
            break;
        }
        case 1:
            addHost("large");
            break;
        case 2:
            addHost("small");
            break;
        case 3:
            m_remainingLoads[{ addHost()->id, *rc::gen::element(std::string("large"), std::string("small")) }]
                = Milliseconds(*rc::gen::inRange(0, 16'000));
            break;
        default:
            addHost();
        }
    }
    m_wantedReplicas = { { "large", *rc::gen::inRange(0, 150) / 10.0 }, { "small", *rc::gen::inRange(0, 300) / 10.0 } };
    m_replicaCounts = { { "large", *rc::gen::inRange(0u, 10u) }, { "small", *rc::gen::inRange(0u, 20u) } };
    m_availableLoads = *rc::gen::inRange(0u, 21u);
    DomainGrouping grouping = choose();
    std::set<const Host*> used;
    double value = 0;
    for (const PlannedReplica& replica : grouping) {
        RC_ASSERT(replica.members.size() == replica.model->hostsPerReplica);
        bool allHold = std::ranges::all_of(
            replica.members, [&](const Host* host) { return host->status.hasLocalCopy(replica.model->name); });
        RC_ASSERT(replica.canFormNow == allHold);
        for (const Host* host : replica.members)
            RC_ASSERT(used.insert(host).second);
        value += replica.value;
    }
    // Replicas that form now serve for all of the horizon but the joins.
    constexpr double shareLostByJoins = 0.07;
    if (areAllWarm)
        RC_ASSERT(value >= (1 - shareLostByJoins) * valueOfMostNeededFirst(input(), m_free));
}

} // namespace Kumquatpick
