#include "fleet/domainhomes.h"

#include <algorithm>
#include <vector>

namespace Kumquatpick {

namespace {

    // In hosts: what moving a domain's home must gain, so that small changes of traffic move none.
    constexpr double homeInertia = 3;

    struct Domain {
        std::string name;
        double hosts = 0;
        std::map<std::string, double, std::less<>> running; // Hosts by the model that they ran last, or have staged.
    };

    std::vector<Domain> domainsOf(const HostTable& table, std::string_view service)
    {
        std::map<std::string, Domain> domains;
        for (const auto& [id, host] : table.hosts()) {
            if (host.service != service || host.draining)
                continue;
            Domain& domain = domains[host.status.domain];
            domain.name = host.status.domain;
            ++domain.hosts;
            // What else a host that ran a model has staged is only its second choice.
            if (!host.status.lastModel.empty())
                ++domain.running[host.status.lastModel];
            else if (!host.status.stagedModels.empty())
                ++domain.running[host.status.stagedModels.front()];
        }
        std::vector<Domain> result;
        result.reserve(domains.size());
        for (auto& [name, domain] : domains)
            result.push_back(std::move(domain));
        return result;
    }

}

std::string_view DomainHomes::homeOf(std::string_view domain) const
{
    auto found = m_homes.find(domain);
    return found == m_homes.end() ? std::string_view() : found->second;
}

// The model with the largest replicas first, as it is the one that small remainders are of no use to.
void DomainHomes::assign(const HostTable& table, const ServiceSpec& service,
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
    std::vector<Domain> left = domainsOf(table, service.name);
    double hosts = 0;
    for (const Domain& domain : left)
        hosts += domain.hosts;

    std::map<std::string, std::string, std::less<>> homes;
    for (const ModelSpec* model : models) {
        bool isLast = model == models.back();
        double quota = wantedHosts > 0 ? hosts * hostsFor(*model) / wantedHosts : 0;
        std::ranges::stable_sort(left, std::greater(), [&](const Domain& domain) {
            auto running = domain.running.find(model->name);
            double inertia = homeOf(domain.name) == model->name ? homeInertia : 0;
            return (running == domain.running.end() ? 0 : running->second) + inertia;
        });
        size_t taken = 0;
        while (taken < left.size() && (isLast || quota >= left[taken].hosts / 2)) {
            quota -= left[taken].hosts;
            homes[left[taken++].name] = model->name;
        }
        left.erase(left.begin(), left.begin() + static_cast<std::ptrdiff_t>(taken));
    }
    m_homes = std::move(homes);
}

} // namespace Kumquatpick
