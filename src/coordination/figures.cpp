#include "coordination/figures.h"

#include "coordination/controller.h"
#include "coordination/snapshot.h"

#include <fmt/format.h>
#include <memory>
#include <utility>

namespace Kumquatpick {

namespace {

    constexpr uint32_t replicasPerDomain = 10;
    // Number of domain names; larger deployments reuse them, with more replicas in each domain.
    constexpr uint32_t domainCount = 100;

    double elapsedSeconds(const auto& work)
    {
        auto started = monotonicNow();
        work();
        return toSeconds(monotonicNow() - started);
    }

    // A deployment without changes to make: its log, the state after it, and host views of which all are healthy.
    class Deployment {
    public:
        explicit Deployment(const CoordinationSize&);

        const std::vector<std::string>& log() const { return m_log; }
        const State& state() const { return m_state; }
        double reconcileSeconds(const std::map<Offset, Claim>&) const;
        void failDomain(const std::string& domain);

    private:
        void append(RecordBody);
        void addReplica(uint32_t number);
        void addSlots();

        CoordinationSize m_size;
        std::vector<std::string> m_log;
        State m_state;
        LeaseTracker m_lease { "controller", NodeId { "node-1", 1 }, Milliseconds(60'000), Milliseconds(1'000) };
        std::map<std::string, HostView, std::less<>> m_hosts;
        MonotonicTime m_now = MonotonicTime() + std::chrono::hours(24);
    };

    std::string configText(const CoordinationSize& size)
    {
        return fmt::format("[deployment]\nname = \"bench\"\nzones = [\"z1\", \"z2\", \"z3\"]\n\n[[service]]\nname = "
                           "\"writers\"\nkind = \"model\"\nmodel = \"kumquat\"\nmodel_version = \"1\"\n"
                           "hosts_per_replica = {}\nreplicas = {}\n\n[[team]]\nname = \"all\"\nshare = 1\n",
            size.hostsPerReplica, size.replicas);
    }

    Deployment::Deployment(const CoordinationSize& size)
        : m_size(size)
    {
        append(ConfigProposal { 0, configText(size), "bench" });
        LeaseProposal lease = m_lease.proposal();
        append(lease);
        m_lease.recordSend("lease", m_now);
        m_lease.folded({ m_state.offset(), { "lease", lease } }, Verdict::Accepted, m_now);
        for (uint32_t number = 0; number < size.replicas; ++number)
            addReplica(number);
        addSlots();
    }

    void Deployment::append(RecordBody body)
    {
        Offset offset = m_state.offset() + 1;
        Record record { fmt::format("{:032x}", offset), std::move(body) };
        m_log.push_back(encode(record));
        m_state.apply({ offset, std::move(record) });
    }

    void Deployment::addReplica(uint32_t number)
    {
        ClaimProposal claim { "writers", fmt::format("r{}", number), fmt::format("z{}", number % 3 + 1),
            fmt::format("domain-{}", number / replicasPerDomain % domainCount), {}, {}, "kumquat", "1" };
        for (uint32_t rank = 0; rank < m_size.hostsPerReplica; ++rank) {
            claim.hosts.push_back(fmt::format("host-{:05}-{}", number, rank));
            claim.incarnations.push_back(0x9e3779b97f4a7c15 * (uint64_t(number) * m_size.hostsPerReplica + rank + 1));
        }
        append(claim);
        for (uint32_t rank = 0; rank < m_size.hostsPerReplica; ++rank) {
            HostView& host = m_hosts[claim.hosts[rank]];
            host.zone = claim.zone;
            host.domain = claim.domain;
            host.listed = host.answering = true;
            host.listedIncarnation = host.incarnation = claim.incarnations[rank];
            host.phase = EnginePhase::Ready;
            host.claim = m_state.offset();
            host.statusAt = m_now;
        }
    }

    void Deployment::addSlots()
    {
        NodeInfo owner { { "node-1", 1 }, "z1", { "10.0.0.1", 7100 }, { "10.0.0.1", 7200 } };
        NodeInfo witness { { "node-2", 2 }, "z2", { "10.0.0.2", 7100 }, { "10.0.0.2", 7200 } };
        SlotsProposal slots { owner.id, {} };
        for (uint32_t slot = 0; slot < m_size.slots; ++slot)
            slots.changes.push_back({ slot, 0, owner, witness, false, {} });
        append(std::move(slots));
    }

    void Deployment::failDomain(const std::string& domain)
    {
        for (auto& [name, host] : m_hosts) {
            if (host.domain != domain)
                continue;
            host.answering = host.listed = false;
            host.answeringSince = host.listedSince = {};
        }
    }

    double Deployment::reconcileSeconds(const std::map<Offset, Claim>& claims) const
    {
        return elapsedSeconds([&] {
            reconcile({ m_state.config(), claims, m_hosts, {}, m_lease, {}, m_now }, {}, placeFirstFit);
        });
    }

    Record decodedRecord(const std::string& body)
    {
        auto decoded = settle([&] { return decodeRecord(body); });
        return std::get<Record>(std::move(decoded));
    }

}

CoordinationFigures measureCoordination(const CoordinationSize& size)
{
    Deployment deployment(size);
    const State& state = deployment.state();
    CoordinationFigures figures;
    auto records = static_cast<double>(deployment.log().size());

    std::vector<LoggedRecord> logged;
    double decodeSeconds = elapsedSeconds([&] {
        for (const std::string& body : deployment.log())
            logged.push_back({ logged.size() + 1, decodedRecord(body) });
    });
    State folded;
    double applySeconds = elapsedSeconds([&] {
        for (const LoggedRecord& record : logged)
            folded.apply(record);
    });
    figures.recordsPerSecond = records / (decodeSeconds + applySeconds);
    figures.appliesPerSecond = records / applySeconds;
    figures.claimRecordBytes = deployment.log()[2].size(); // The first two records are the configuration and the lease.

    SnapshotProposal snapshot { state.offset(), "bench", 0, 1, {} };
    figures.snapshotSeconds = elapsedSeconds([&] { snapshot.state = state.snapshot(); });
    figures.snapshotBytes = snapshot.state.size();
    figures.snapshotRecords = snapshotParts(state, "bench").size();
    figures.restoreSeconds = elapsedSeconds([&] { settle([&] { return State::restore(snapshot); }); });
    figures.copySeconds = elapsedSeconds([&] { auto copy = std::make_unique<const State>(state); });

    figures.reconcileUnchangedSeconds = deployment.reconcileSeconds(state.claims());
    figures.reconcileAllMissingSeconds = deployment.reconcileSeconds({});
    deployment.failDomain("domain-7");
    figures.reconcileFailedDomainSeconds = deployment.reconcileSeconds(state.claims());
    return figures;
}

} // namespace Kumquatpick
