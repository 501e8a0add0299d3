#pragma once

#include "base/clock.h"
#include "fleet/config.h"
#include "fleet/domainassignment.h"
#include "fleet/hostorder.h"
#include "fleet/modelstaging.h"
#include "fleet/ordercounts.h"
#include "fleet/plannerinput.h"
#include "fleet/replicashift.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Kumquatpick {

// Forms, opens, closes and takes apart the replicas of one service: facts and time in, orders out. What it keeps is
// only what it began itself; a successor rebuilds the rest from what the hosts report. Not thread-safe.
//
// A host joins another replica only once the head of its old one can't take requests any more, as a head does not
// notice that its members are gone: the head is told to leave first, and the others are free by its word or by the end
// of its life. Where no node reaches the head, dead or cut off, each of its members is told to leave instead.
//
// A replica that an earlier controller was forming is finished, once all its hosts say that they are members of it:
// joins go on by themselves, so only the open is missing. Taken apart instead, a change of control during the first
// plan of 760 hosts cost all of its loads again.
//
// Each join names the orders that the host has accepted (ordercounts.h): whatever reached it since, late or from
// another controller, makes it refuse. That a head left its replica is believed by its own report alone.
class ReplicaPlanner {
public:
    // fencing: of the controller's lease; later controllers have higher ones, so their epochs are higher too.
    explicit ReplicaPlanner(uint64_t fencing);

    std::vector<HostOrder> plan(const PlannerInput&);
    void orderEnded(const HostOrder&, OrderResult, MonotonicTime now);

    // For logs and metrics: what the last plan() saw.
    struct Summary {
        std::map<std::string, uint32_t> open; // Replicas by model.
        std::map<std::string, uint32_t> forming;
        size_t dissolving = 0;
        size_t freeHosts = 0;
        uint32_t loads = 0; // In progress.
        std::string shift; // The model that other replicas give way to, and where; empty if none do.
        // By domain: the model that it is home to, and the free hosts by what they have staged.
        std::map<std::string, std::map<std::string, uint32_t>> freeByDomain;
    };
    Summary summary(const PlannerInput&) const;

    // Hosts whose own reports the next decisions wait for.
    const std::set<std::string, std::less<>>& hostsToPoll() const { return m_hostsToPoll; }
    // Hosts that load for seconds, and idle ones: their reports are of use, but nobody is served later without them.
    const std::set<std::string, std::less<>>& hostsToPollLater() const { return m_hostsToPollLater; }

private:
    struct MemberJoin {
        std::optional<uint64_t> expectedOrderCount; // Nothing after a refusal, until the host reports.
        std::optional<MonotonicTime> sentAt; // The latest.
        int refusals = 0;
    };
    struct Formation {
        std::string replica;
        uint64_t epoch = 0;
        std::string model;
        std::vector<std::string> members;
        MonotonicTime startedAt;
        std::vector<std::string> coldMembers; // Those that load from the weight store.
        std::map<std::string, MemberJoin, std::less<>> joins;
        std::optional<MonotonicTime> openSentAt;
        bool failed = false;
    };
    // A replica as long as any host says that it is a member.
    struct TrackedReplica {
        MonotonicTime firstSeenAt {};
        bool isDissolving = false;
        std::optional<MonotonicTime> retiringSince; // Its hosts are to serve another model.
        std::string headId;
        std::optional<MonotonicTime> closeSentAt;
        std::optional<MonotonicTime> leaveSentAt;
        std::optional<MonotonicTime> headRefusedSince; // Nothing listens at the head's address.
        bool headIsLeaving = false; // By its own notice, or by living on without being listed.
        bool headHasLeft = false; // It said so itself, or its life is over.
        std::map<std::string, std::optional<MonotonicTime>, std::less<>> memberLeaveSentAt;
    };
    enum class HeadStatus : uint8_t {
        MayServe,
        Lost, // Or finished; its members may leave it.
        Left, // Its members are free.
    };
    using ReplicaKey = std::pair<std::string, uint64_t>;
    // A replica that others give way to; until it begins to form, free hosts of the domain are kept for it.
    struct Shift {
        std::string model;
        std::vector<ReplicaKey> replicas; // That give way.
        MonotonicTime startedAt;
    };
    struct Candidate {
        const ModelSpec* model = nullptr;
        std::vector<const Host*> members;
        double cost = 0; // What it lacks to serve at once.
    };
    // What a plan sees, made once for each: going through all hosts for each replica that is formed took the first
    // plan of 760 hosts over half a second of a core.
    struct PlanState {
        std::vector<ReplicaView> replicas;
        std::map<std::string, std::vector<const ReplicaView*>> serving; // By domain.
        HostsByDomain freeHosts;
        std::map<std::string, uint32_t> replicaCounts; // Replicas that serve or form, by model.
        // The best choices of each domain's free hosts, one a model that has any; made again when they change.
        std::map<std::string, std::vector<Candidate>> candidates;
    };

    void advanceFormation(const PlannerInput&, Formation&, std::vector<HostOrder>&);
    void orderJoins(const PlannerInput&, Formation&, std::vector<HostOrder>&);
    void abandon(const Formation&, std::vector<HostOrder>&);
    bool adopt(const PlannerInput&, const ReplicaView&);
    bool mayStillForm(const PlannerInput&, const ReplicaView&, const TrackedReplica&) const;
    void superviseReplica(const PlannerInput&, const ReplicaView&, std::vector<HostOrder>&);
    void dissolve(const PlannerInput&, const ReplicaView&, std::vector<HostOrder>&);
    HeadStatus updateHeadStatus(const PlannerInput&, const ReplicaView&, TrackedReplica&) const;
    bool hasHeadEnded(const PlannerInput&, TrackedReplica&, const Host* head) const;
    void orderHeadLeave(const PlannerInput&, const ReplicaView&, TrackedReplica&, std::vector<HostOrder>&);
    void orderMembersLeave(const PlannerInput&, const ReplicaView&, TrackedReplica&, std::vector<HostOrder>&);
    bool recordSendIfDue(std::optional<MonotonicTime>& sentAt, MonotonicTime now) const;
    void formReplicas(const PlannerInput&, PlanState&, std::vector<HostOrder>&);
    void formReplica(const PlannerInput&, PlanState&, const Candidate&, std::vector<HostOrder>&);
    ModelNeeds computeNeeds(const PlannerInput&, const PlanState&) const;
    const Candidate* bestCandidate(const PlannerInput&, const PlanState&) const;
    std::vector<Candidate> candidatesIn(const PlannerInput&, const std::vector<const Host*>& freeHosts) const;
    std::optional<Candidate> candidateIn(
        const PlannerInput&, const ModelSpec&, const std::vector<const Host*>& freeHosts) const;
    ModelStaging::ReplicasByDomain replicasByDomain(const PlannerInput&, const PlanState&) const;
    uint32_t loadsOfFormations(const PlannerInput&) const;
    void shiftReplicas(const PlannerInput&, const PlanState&);
    std::map<std::string, uint32_t> replicasAfterShifts(const PlanState&) const;
    std::vector<ShiftDomain> shiftDomains(const PlanState&) const;
    std::map<std::string, std::vector<const ReplicaView*>> servingByDomain(
        const PlannerInput&, const std::vector<ReplicaView>&) const;
    bool isReservedForOther(std::string_view domain, std::string_view model) const;
    bool isReservedForLarger(const PlannerInput&, const PlanState&, const std::string& domain, const ModelSpec&) const;
    bool isHostListStable(const PlannerInput&);
    HostsByDomain freeHostsByDomain(const PlannerInput&) const;
    bool isFree(const PlannerInput&, const Host&) const;
    bool isIdle(const PlannerInput&, const Host&) const;
    bool requireReports(const PlannerInput&, const std::vector<const Host*>&);
    void handleJoinRefusal(const HostOrder&);
    bool isForming(const ReplicaView&) const;
    bool isDissolving(const ReplicaView&) const;
    bool isServing(const PlannerInput&, const ReplicaView&) const;
    void indexFormations();
    std::map<std::string, uint32_t> replicasByModel(const PlannerInput&, const std::vector<ReplicaView>&) const;

    uint64_t m_firstEpoch; // Earlier ones are of earlier controllers.
    uint64_t m_nextEpoch;
    std::vector<Formation> m_formations;
    std::set<std::string, std::less<>> m_formingHosts; // Hosts of the formations.
    std::set<uint64_t> m_formingEpochs; // Of the formations.
    std::map<ReplicaKey, TrackedReplica> m_trackedReplicas;
    ModelStaging m_staging;
    OrderCounts m_orderCounts;
    DomainAssignment m_domainAssignment;
    std::map<std::string, Shift, std::less<>> m_shifts; // By domain.
    std::set<std::string, std::less<>> m_hostsToPoll;
    std::set<std::string, std::less<>> m_hostsToPollLater;
    std::optional<MonotonicTime> m_firstHostSeenAt; // Of any host; and since when their number stays the same.
    MonotonicTime m_hostCountSince {};
    size_t m_hostCount = 0;
};

} // namespace Kumquatpick
