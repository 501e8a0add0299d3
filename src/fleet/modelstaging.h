#pragma once

#include "fleet/hostorder.h"
#include "fleet/loadlimiter.h"
#include "fleet/plannerinput.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

// Chooses which hosts load (stage) which model from the weight store in the background. The weight store serves a few
// hosts at once and takes 12 to 16 s for each, so the order of loads decides how much of the fleet serves.
//
// A host joins the model that it ran last without a load, so its staged copy should be of another model: it can then
// serve either. Before traffic, when loads delay no request, this makes all hosts of a domain interchangeable. Not
// thread-safe.
class ModelStaging {
public:
    // Serving and forming replicas, by domain and model.
    using ReplicasByDomain = std::map<std::string, std::map<std::string, uint32_t, std::less<>>, std::less<>>;

    // A load that completes a replica with other free hosts of its domain.
    struct PlannedLoad {
        const Host* host = nullptr;
        const ModelSpec* model = nullptr;
        double value = 0;
    };

    // Call before each plan() with all hosts that belong to no replica.
    void observeIdleHosts(const HostsByDomain& freeHosts, MonotonicTime now);
    // Planned loads begin before all others, the most valuable first. Appends to orders. freeHosts: hosts that belong
    // to no replica; formationLoads: loads in progress for forming replicas.
    void plan(const PlannerInput&, LoadLimiter&, const ModelNeeds&, std::vector<PlannedLoad>,
        const HostsByDomain& freeHosts, ReplicasByDomain, uint32_t formationLoads, std::vector<HostOrder>& orders);
    void orderEnded(const HostOrder&, OrderResult, MonotonicTime now);

    // Whether the host was ordered to stage the model and has not finished.
    bool isStaging(const Host&, std::string_view model) const;
    // Time left of the host's running load of the model by its nominal duration; nullopt if none runs.
    std::optional<Milliseconds> remainingLoad(const Host&, const ModelSpec&, MonotonicTime now) const;
    // Whether the host can load the model without losing its only copy of another one, now or within seconds.
    bool mayLoad(const PlannerInput&, const Host&, const ModelSpec&) const;
    uint32_t loads() const { return static_cast<uint32_t>(m_stagings.size()); }
    // Idle hosts that are polled to detect the end of their loads.
    const std::set<std::string, std::less<>>& hostsToPoll() const { return m_hostsToPoll; }

private:
    struct Staging {
        std::string model;
        MonotonicTime startedAt;
        bool isOfWarmHost = false; // It held another model.
    };
    // A load for a host that belongs to no replica.
    struct IdleLoad {
        const Host* host = nullptr;
        std::string_view model;
        double value = 0;
    };

    void removeFinished(const PlannerInput&);
    bool canReplaceMember(std::string_view domain, const ModelSpec&, uint32_t spares) const;
    void stagePlanned(const PlannerInput&, std::vector<PlannedLoad>, std::vector<HostOrder>&);
    void stageIdleHosts(const PlannerInput&, const ModelNeeds&, const HostsByDomain&, std::vector<HostOrder>&);
    void considerIdleHost(const PlannerInput&, const Host&, const std::vector<const Host*>& idle, const ModelNeeds&,
        std::optional<IdleLoad>& best) const;
    void stageSecondModels(const PlannerInput&, const ModelNeeds&, std::vector<HostOrder>&);
    bool mayReload(const PlannerInput&, const Host&) const;
    bool tryAcquireLoad(const PlannerInput&, uint32_t maxConcurrentLoads, bool mayWait = false);
    void stage(const PlannerInput&, const Host&, std::string_view model, std::vector<HostOrder>&);

    std::map<std::string, Staging, std::less<>> m_stagings; // By host.
    std::map<std::string, MonotonicTime, std::less<>> m_idleSince; // By idle host.
    std::map<std::string, MonotonicTime, std::less<>> m_refusedAt; // When a host last refused a load.
    std::set<std::string, std::less<>> m_hostsToPoll;
    ReplicasByDomain m_replicas;
    uint32_t m_formationLoads = 0;
    uint32_t m_pendingLoads = 0; // Planned loads of hosts that may begin them within seconds.
    LoadLimiter* m_limiter = nullptr; // Not nullptr during plan().
};

} // namespace Kumquatpick
