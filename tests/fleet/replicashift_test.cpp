#include "fleet/replicashift.h"

#include "fleet/plannerworld.h"
#include <gtest/gtest.h>

namespace Kumquatpick {

namespace {

    // Hosts of two domains, added by each test. Every host holds both models unless it is in m_coldHosts.
    class ReplicaShiftTest : public testing::Test {
    protected:
        ReplicaShiftTest() { m_service.models = { makeModel("large", 4), makeModel("small", 2) }; }

        void addReplica(const std::string& domain, const std::string& model)
        {
            ReplicaView& replica = m_replicas[domain].emplace_back();
            replica.epoch = ++m_epoch;
            replica.name = domain + "-" + std::to_string(m_epoch);
            replica.model = model;
            for (uint32_t i = 0; i < m_service.model(model)->hostsPerReplica; ++i)
                replica.members.push_back(addHost());
            replica.head = replica.members.front();
            ++m_replicaCounts[model];
        }

        const Host* addHost()
        {
            auto host = std::make_unique<Host>();
            host->id = std::to_string(m_hosts.size());
            m_hosts.push_back(std::move(host));
            return m_hosts.back().get();
        }

        std::optional<ReplicaShift> choose()
        {
            std::vector<ShiftDomain> domains;
            for (const char* name : { "d1", "d2" }) {
                ShiftDomain& domain = domains.emplace_back();
                domain.name = name;
                domain.freeHosts = m_freeHosts[name];
                for (const ReplicaView& replica : m_replicas[name])
                    domain.replicas.push_back(&replica);
            }
            return chooseShift({ m_service, m_wantedReplicas, m_replicaCounts, domains, holds() });
        }

        // Whether the free hosts of d1 are reserved when a replica of this model could be formed.
        bool areReserved(const std::string& model) const
        {
            ShiftDomain domain;
            domain.freeHosts = m_freeHosts.at("d1");
            for (const ReplicaView& replica : m_replicas.at("d1"))
                domain.replicas.push_back(&replica);
            return areReservedForLarger(
                { m_service, m_wantedReplicas, m_replicaCounts, {}, holds() }, domain, *m_service.model(model));
        }

        std::function<bool(const Host&, std::string_view)> holds() const
        {
            return [this](const Host& host, std::string_view) { return !m_coldHosts.contains(host.id); };
        }

        ServiceSpec m_service;
        std::map<std::string, double, std::less<>> m_wantedReplicas { { "large", 2 }, { "small", 3 } };
        std::map<std::string, std::vector<ReplicaView>> m_replicas;
        std::map<std::string, std::vector<const Host*>> m_freeHosts;
        std::map<std::string, uint32_t> m_replicaCounts;
        std::set<std::string> m_coldHosts;

    private:
        std::vector<std::unique_ptr<Host>> m_hosts;
        uint64_t m_epoch = 0;
    };

}

// A large replica lost one of its four hosts. Dissolving one small replica lets the other three serve again.
TEST_F(ReplicaShiftTest, ChoosesFewestSufficientReplicas)
{
    for (const char* domain : { "d1", "d1", "d1", "d2", "d2", "d2" })
        addReplica(domain, "small");
    m_freeHosts["d2"] = { addHost(), addHost(), addHost() };
    auto shift = choose();
    ASSERT_TRUE(shift);
    EXPECT_EQ(shift->domain, "d2");
    EXPECT_EQ(shift->model, "large");
    EXPECT_EQ(shift->replicas.size(), 1u);
}

TEST_F(ReplicaShiftTest, DoesNotShiftFromModelWithEqualNeed)
{
    for (const char* domain : { "d1", "d1", "d2", "d2" })
        addReplica(domain, "small");
    m_wantedReplicas = { { "large", 2 }, { "small", 9 } };
    EXPECT_FALSE(choose()) << "with two fewer replicas, the small model would have an equal need";
    m_wantedReplicas = { { "large", 0.9 }, { "small", 0.1 } };
    EXPECT_FALSE(choose()) << "the traffic would not fill a replica";
}

// A load from the weight store takes ten times as long, and the hosts would serve neither model during it.
TEST_F(ReplicaShiftTest, CountsOnlyHostsThatHoldTheModel)
{
    for (const char* domain : { "d1", "d1", "d1" })
        addReplica(domain, "small");
    m_wantedReplicas["small"] = 1;
    m_coldHosts = { "0", "2" };
    EXPECT_FALSE(choose());
    m_coldHosts = { "0" };
    auto shift = choose();
    ASSERT_TRUE(shift);
    EXPECT_EQ(shift->replicas.size(), 2u);
}

TEST_F(ReplicaShiftTest, DoesNotShiftWhenFreeHostsSuffice)
{
    addReplica("d1", "small");
    m_freeHosts["d2"] = { addHost(), addHost(), addHost(), addHost() };
    EXPECT_FALSE(choose());
}

// A large replica lost one of its four hosts while the small model has more replicas than its calls fill.
TEST_F(ReplicaShiftTest, ReservesFreeHostsForLargerModelCompletedByAPair)
{
    m_freeHosts["d1"] = { addHost(), addHost(), addHost() };
    for (int i = 0; i < 4; ++i)
        addReplica("d1", "small");
    EXPECT_TRUE(areReserved("small"));
    EXPECT_FALSE(areReserved("large"));
    m_wantedReplicas["small"] = 9;
    EXPECT_FALSE(areReserved("small")) << "the small model itself needs replicas";
    m_wantedReplicas = { { "large", 0.9 }, { "small", 3 } };
    EXPECT_FALSE(areReserved("small")) << "the larger model needs no replica";
}

TEST_F(ReplicaShiftTest, ReservesNothingIfDomainCannotCompleteLargerReplica)
{
    m_freeHosts["d1"] = { addHost(), addHost() };
    addReplica("d1", "small");
    m_wantedReplicas = { { "large", 2 }, { "small", 0.5 } };
    EXPECT_TRUE(areReserved("small")) << "with the small replica, the large model has its four hosts";
    m_coldHosts = { "2" };
    EXPECT_FALSE(areReserved("small")) << "a host of the small replica would have to load";
}

// Dissolving four replicas of two stops no more hosts from serving than dissolving two of four.
TEST_F(ReplicaShiftTest, RequiresSameMarginForPairsAsForOneReplicaOfEqualSize)
{
    m_service.models = { makeModel("large", 8), makeModel("small", 2) };
    for (int i = 0; i < 4; ++i)
        addReplica("d1", "small");
    m_wantedReplicas = { { "large", 4 }, { "small", 1.9 } };
    auto shift = choose();
    ASSERT_TRUE(shift) << "twice the need suffices, also for four replicas of two";
    EXPECT_EQ(shift->replicas.size(), 4u);
    m_wantedReplicas["large"] = 3;
    EXPECT_FALSE(choose());
}

} // namespace Kumquatpick
