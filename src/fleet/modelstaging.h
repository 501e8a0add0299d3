#pragma once

#include "fleet/hostorder.h"
#include "fleet/plannerinput.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

// Which hosts load which model from the weight store onto themselves, beside whatever they do. The weight store fills a
// few hosts at once and takes twelve to sixteen seconds for each, so the order decides how much of the fleet serves.
//
// A host joins the model that it ran last at once, so its staged copy is best of another one: it can then serve either.
// Before traffic, when loads cost nothing, this makes all hosts exchangeable inside their domains. Not thread-safe.
class ModelStaging {
public:
    // Replicas that serve or form, by domain and model.
    using ReplicasByDomain = std::map<std::string, std::map<std::string, uint32_t, std::less<>>, std::less<>>;

    // Adds orders. freeHosts: those that belong to no replica; otherLoads: in progress for replicas that form.
    void plan(const PlannerInput&, const ModelNeeds&, const HostsByDomain& freeHosts, ReplicasByDomain,
        uint32_t formationLoads, std::vector<HostOrder>& orders);
    void orderEnded(const HostOrder&, OrderResult, MonotonicTime now);

    // Whether the host loads a copy of the model, as it was told.
    bool isStaging(const Host&, std::string_view model) const;
    uint32_t loads() const { return static_cast<uint32_t>(m_stagings.size()); }
    // Idle hosts whose own reports tell when they are done.
    const std::set<std::string, std::less<>>& hostsToPoll() const { return m_hostsToPoll; }

private:
    struct Staging {
        std::string model;
        MonotonicTime startedAt;
    };
    // A load for a host that belongs to no replica.
    struct IdleLoad {
        const Host* host = nullptr;
        std::string_view model;
        double value = 0;
    };

    void removeFinished(const PlannerInput&);
    bool canReplaceMember(std::string_view domain, const ModelSpec&, uint32_t spares) const;
    void stageIdleHosts(const PlannerInput&, const ModelNeeds&, const HostsByDomain&, std::vector<HostOrder>&);
    void considerIdleHost(const PlannerInput&, const Host&, const std::vector<const Host*>& idle, const ModelNeeds&,
        std::optional<IdleLoad>& best) const;
    void stageSecondModels(const PlannerInput&, const ModelNeeds&, std::vector<HostOrder>&);
    bool tryAcquireLoad(const PlannerInput&, uint32_t maxConcurrentLoads);
    void stage(const PlannerInput&, const Host&, std::string_view model, std::vector<HostOrder>&);

    std::map<std::string, Staging, std::less<>> m_stagings; // By host.
    std::map<std::string, MonotonicTime, std::less<>> m_refusedAt; // When a host last refused a load.
    std::set<std::string, std::less<>> m_hostsToPoll;
    ReplicasByDomain m_replicas;
    uint32_t m_formationLoads = 0;
    double m_loadTokens = 0;
    std::optional<MonotonicTime> m_loadTokensAt;
};

} // namespace Kumquatpick
