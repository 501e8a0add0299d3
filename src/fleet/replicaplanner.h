#pragma once

#include "base/clock.h"
#include "fleet/config.h"
#include "fleet/controllerterm.h"
#include "fleet/domainassignment.h"
#include "fleet/domainplan.h"
#include "fleet/hostorder.h"
#include "fleet/modelstaging.h"
#include "fleet/ordercounts.h"
#include "fleet/plannerinput.h"
#include "fleet/replicahealth.h"
#include "fleet/replicashift.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Kumquatpick {

// Forms, opens, closes and dissolves the replicas of one service. plan() maps the observed state to orders for hosts.
// The planner stores only the operations that it started; a new controller derives the rest from the hosts' reports.
// Not thread-safe.
//
// A head does not detect that its members have left. A host therefore joins another replica only once the head of its
// old one can no longer take requests: the head is ordered to leave first, and the members are free once it confirms
// or its process has ended. If no node reaches the head, each member is ordered to leave instead.
//
// A replica that an earlier controller was forming is completed once all of its hosts report that they are members:
// joins continue without the controller, so only the open is missing. When such replicas were dissolved instead, a
// change of controller during the first plan of 760 hosts repeated all of its loads.
//
// Each join names the number of orders that the host has accepted (ordercounts.h). The host refuses it if it has
// accepted any other order since, late or from another controller. Only a head's own report shows that it left.
class ReplicaPlanner {
public:
    // The planners of all services of the term share it; it must outlive them.
    explicit ReplicaPlanner(ControllerTerm&);

    std::vector<HostOrder> plan(const PlannerInput&);
    void orderEnded(const HostOrder&, OrderResult, MonotonicTime now);

    // The state at the last plan(), for logs and metrics.
    struct Summary {
        std::map<std::string, uint32_t> open; // Replicas by model.
        std::map<std::string, uint32_t> forming;
        size_t dissolving = 0;
        size_t freeHosts = 0;
        uint32_t loads = 0; // In progress.
        std::map<HealthState, uint32_t> health; // Replicas that have served, by their health.
        std::string shift; // Models whose replicas replace those of other models, with the domain; empty if none.
        // By domain and its assigned model: the number of free hosts by staged model.
        std::map<std::string, std::map<std::string, uint32_t>> freeByDomain;
        // By domain: the replicas planned from its free hosts that cannot form yet, and what they wait for.
        std::map<std::string, std::string> plannedByDomain;
        // Free hosts by the reason why they serve no model.
        std::map<std::string, uint32_t> freeByReason;
    };
    Summary summary(const PlannerInput&) const;

    // A replica whose health changed, or that is in doubt for another reason, with the evidence.
    struct HealthChange {
        std::string replica;
        uint64_t epoch = 0;
        std::string model;
        HealthState before = HealthState::Whole;
        ReplicaHealth health;
        ReplicaEvidence evidence;
    };
    // Since the last call.
    std::vector<HealthChange> takeHealthChanges() { return std::exchange(m_healthChanges, {}); }

    // Hosts whose reports the next decisions depend on.
    const std::set<std::string, std::less<>>& hostsToPoll() const { return m_hostsToPoll; }
    // Loading and idle hosts: their reports are useful, but a delay of them does not delay any request.
    const std::set<std::string, std::less<>>& hostsToPollLater() const { return m_hostsToPollLater; }

private:
    struct MemberJoin {
        std::optional<uint64_t> expectedOrderCount; // Empty after a refusal until the host reports.
        std::optional<MonotonicTime> sentAt; // Last attempt.
        int refusals = 0;
    };
    struct Formation {
        std::string replica;
        uint64_t epoch = 0;
        std::string model;
        std::vector<std::string> members;
        MonotonicTime startedAt;
        std::vector<std::string> coldMembers; // Members that load from the weight store.
        std::map<std::string, MemberJoin, std::less<>> joins;
        std::optional<MonotonicTime> openSentAt;
        bool failed = false;
    };
    // Kept for each replica while any host reports to be a member of it.
    struct TrackedReplica {
        MonotonicTime firstSeenAt {};
        std::optional<ReplicaHealth> health; // Empty until its head was seen open.
        bool wasComplete = false; // All of its hosts were listed at once.
        bool isDissolving = false;
        std::optional<MonotonicTime> retiringSince; // Set once its hosts are chosen to serve another model.
        std::string headId;
        std::optional<MonotonicTime> closeSentAt;
        std::optional<MonotonicTime> closedSince; // When the first order to close was sent.
        std::optional<MonotonicTime> leaveSentAt;
        std::optional<MonotonicTime> headRefusedSince; // Since when the head's address refuses connections.
        bool hasLostMember = false; // Its requests can't go on.
        bool headIsLeaving = false; // It announced this, or it still answers but is not listed.
        bool headHasLeft = false; // It reported or confirmed this, or its process has ended.
        std::map<std::string, std::optional<MonotonicTime>, std::less<>> memberLeaveSentAt;
    };
    enum class HeadStatus : uint8_t {
        MayServe,
        Lost, // Unreachable or ended; its members may be ordered to leave.
        Left, // Its members are free.
    };
    using WantedReplicas = std::map<std::string, double, std::less<>>; // By model.
    using ReplicaKey = std::pair<std::string, uint64_t>; // Name and epoch, of this planner's service.
    // Replaces replicas of other models by one of this model. Free hosts of the domain are reserved for it until it
    // starts to form.
    struct Shift {
        std::string model;
        std::vector<ReplicaKey> replicas; // To be replaced.
        MonotonicTime startedAt;
    };
    struct Candidate {
        const ModelSpec* model = nullptr;
        std::vector<const Host*> members;
        double cost = 0; // Of the loads needed before it can serve.
    };
    // Working data of one plan, computed once for each plan. Scanning all hosts for each formed replica took over half
    // a second of CPU time in the first plan of 760 hosts.
    struct PlanState {
        std::vector<ReplicaView> replicas;
        std::map<std::string, std::vector<const ReplicaView*>> serving; // By domain.
        HostsByDomain freeHosts;
        std::map<std::string, uint32_t> replicaCounts; // Serving and forming replicas, by model.
        // By domain: the best choice of free hosts for each model that has enough; recomputed when they change.
        std::map<std::string, std::vector<Candidate>> candidates;
    };

    static std::vector<ReplicaView> replicasOfService(const PlannerInput&);
    void advanceFormation(const PlannerInput&, Formation&, std::vector<HostOrder>&);
    void orderJoins(const PlannerInput&, Formation&, std::vector<HostOrder>&);
    void abandon(const Formation&, std::vector<HostOrder>&);
    bool adopt(const PlannerInput&, const ReplicaView&);
    bool mayStillForm(const PlannerInput&, const ReplicaView&, const TrackedReplica&) const;
    void superviseReplica(const PlannerInput&, const ReplicaView&, std::vector<HostOrder>&);
    void superviseHosts(const PlannerInput&, const ReplicaView&, TrackedReplica&, std::vector<HostOrder>&);
    static bool mayHeadReturn(const ReplicaView&, const TrackedReplica&);
    HealthState updateHealth(const PlannerInput&, const ReplicaView&, TrackedReplica&);
    void dissolve(const PlannerInput&, const ReplicaView&, std::vector<HostOrder>&);
    HeadStatus updateHeadStatus(const PlannerInput&, const ReplicaView&, TrackedReplica&) const;
    bool hasHeadEnded(const PlannerInput&, TrackedReplica&, const Host* head) const;
    void orderHeadLeave(const PlannerInput&, const ReplicaView&, TrackedReplica&, std::vector<HostOrder>&);
    bool isFinishing(const PlannerInput&, const ReplicaView&, const TrackedReplica&) const;
    void orderClose(const PlannerInput&, const ReplicaView&, TrackedReplica&, std::vector<HostOrder>&);
    void orderMembersLeave(const PlannerInput&, const ReplicaView&, TrackedReplica&, std::vector<HostOrder>&);
    bool recordSendIfDue(std::optional<MonotonicTime>& sentAt, MonotonicTime now) const;
    void formReplicas(const PlannerInput&, PlanState&, std::vector<HostOrder>&);
    size_t formByDomainPlan(const PlannerInput&, PlanState&, std::vector<HostOrder>&);
    size_t formPlanned(const PlannerInput&, PlanState&, const WantedReplicas&,
        std::set<std::string, std::less<>>& waitingDomains, size_t maxJoins, std::vector<HostOrder>&);
    void updateGroupings(const PlannerInput&, const PlanState&, const WantedReplicas&);
    void updatePeakWanted(const PlannerInput&);
    const PlannedReplica* bestFormable(const PlannerInput&, std::set<std::string, std::less<>>& waitingDomains);
    std::vector<const Host*> unplannedHosts(std::string_view domain, const std::vector<const Host*>& freeHosts) const;
    std::vector<ModelStaging::PlannedLoad> plannedLoads() const;
    void summarizePlan(const PlannerInput&, const HostsByDomain& freeHosts, Summary&) const;
    bool isAnyModelShort(const PlannerInput&, const Summary&) const;
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

    ControllerTerm* m_term; // Not nullptr.
    std::vector<Formation> m_formations;
    std::set<std::string, std::less<>> m_formingHosts; // Hosts of all formations.
    std::set<uint64_t> m_formingEpochs; // Epochs of all formations.
    std::map<ReplicaKey, TrackedReplica> m_trackedReplicas;
    std::vector<HealthChange> m_healthChanges;
    ModelStaging m_staging;
    OrderCounts m_orderCounts;
    DomainAssignment m_domainAssignment;
    std::map<std::string, Shift, std::less<>> m_shifts; // By domain.
    std::map<std::string, std::deque<std::pair<MonotonicTime, double>>, std::less<>> m_wantedPeaks; // Falling values.
    std::map<std::string, DomainGrouping, std::less<>> m_groupings; // By domain; valid during plan() only.
    std::set<std::string, std::less<>> m_hostsToPoll;
    std::set<std::string, std::less<>> m_hostsToPollLater;
    std::optional<MonotonicTime> m_firstHostSeenAt; // When the first host was listed.
    MonotonicTime m_hostCountSince {};
    size_t m_hostCount = 0;
};

} // namespace Kumquatpick
