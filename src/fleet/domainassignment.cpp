#include "fleet/domainassignment.h"

#include <algorithm>
#include <vector>

namespace Kumquatpick {

namespace {

    // Number of hosts by which another domain must be better before an assignment changes, so that small changes of
    // traffic change none.
    constexpr double reassignmentThreshold = 3;

    struct Domain {
        std::string name;
        double hosts = 0;
        std::map<std::string, double, std::less<>>
            hostsByModel; // Hosts by the model they ran last or, if none, staged.
    };

    std::vector<Domain> domainsOfService(const HostTable& table, std::string_view service)
    {
        std::map<std::string, Domain> domains;
        for (const auto& [id, host] : table.hosts()) {
            if (host.service != service || host.draining)
                continue;
            Domain& domain = domains[host.status.domain];
            domain.name = host.status.domain;
            ++domain.hosts;
            // The staged copy of a host that ran a model is only its second choice.
            if (!host.status.lastModel.empty())
                ++domain.hostsByModel[host.status.lastModel];
            else if (!host.status.stagedModels.empty())
                ++domain.hostsByModel[host.status.stagedModels.front()];
        }
        std::vector<Domain> result;
        result.reserve(domains.size());
        for (auto& [name, domain] : domains)
            result.push_back(std::move(domain));
        return result;
    }

}

std::string_view DomainAssignment::assignedModel(std::string_view domain) const
{
    auto found = m_assignedModels.find(domain);
    return found == m_assignedModels.end() ? std::string_view() : found->second;
}

// Models with larger replicas are assigned first, as they cannot use small numbers of remaining hosts.
void DomainAssignment::assign(const HostTable& table, const ServiceSpec& service,
    const std::map<std::string, double, std::less<>>& wantedReplicas)
{
    std::vector<const ModelSpec*> models;
    double wantedHosts = 0;
    auto hostsFor = [&](const ModelSpec& model) {
        auto wanted = wantedReplicas.find(model.name);
        return wanted == wantedReplicas.end() ? 0 : wanted->second * model.hostsPerReplica;
    };
    for (const ModelSpec& model : service.models) {
        models.push_back(&model);
        wantedHosts += hostsFor(model);
    }
    std::ranges::stable_sort(models, std::greater(), &ModelSpec::hostsPerReplica);
    std::vector<Domain> unassigned = domainsOfService(table, service.name);
    double hosts = 0;
    for (const Domain& domain : unassigned)
        hosts += domain.hosts;

    std::map<std::string, std::string, std::less<>> assignedModels;
    for (const ModelSpec* model : models) {
        bool isLast = model == models.back();
        double quota = wantedHosts > 0 ? hosts * hostsFor(*model) / wantedHosts : 0;
        std::ranges::stable_sort(unassigned, std::greater(), [&](const Domain& domain) {
            auto hostsByModel = domain.hostsByModel.find(model->name);
            double threshold = assignedModel(domain.name) == model->name ? reassignmentThreshold : 0;
            return (hostsByModel == domain.hostsByModel.end() ? 0 : hostsByModel->second) + threshold;
        });
        size_t assignedCount = 0;
        while (assignedCount < unassigned.size() && (isLast || quota >= unassigned[assignedCount].hosts / 2)) {
            quota -= unassigned[assignedCount].hosts;
            assignedModels[unassigned[assignedCount++].name] = model->name;
        }
        unassigned.erase(unassigned.begin(), unassigned.begin() + static_cast<std::ptrdiff_t>(assignedCount));
    }
    m_assignedModels = std::move(assignedModels);
}

} // namespace Kumquatpick
