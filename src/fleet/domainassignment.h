#pragma once

#include "fleet/config.h"
#include "fleet/hosttable.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace Kumquatpick {

// Assigns each fabric domain to a model. With replicas of one model in one domain, the remaining hosts of a replica
// that lost a member form a complete replica with the domain's spare hosts, without a load from the weight store.
class DomainAssignment {
public:
    // Assigns domains in proportion to the hosts that each model's wanted replicas need. Prefers domains whose hosts
    // already ran the model.
    void assign(const HostTable&, const ServiceSpec&, const std::map<std::string, double, std::less<>>& wantedReplicas);
    // Empty for an unknown domain.
    std::string_view assignedModel(std::string_view domain) const;

private:
    std::map<std::string, std::string, std::less<>> m_assignedModels;
};

} // namespace Kumquatpick
