#pragma once

#include "fleet/config.h"
#include "fleet/hosttable.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace Kumquatpick {

// Which model each fabric domain is home to. Replicas of one model in one domain help each other: what a lost member
// leaves over, together with the domain's spare hosts, makes a whole replica again without a load from the weight
// store.
class DomainAssignment {
public:
    // Shares the domains out by the hosts that each model's wanted replicas take, where most of what a domain's hosts
    // ran stays of use.
    void assign(const HostTable&, const ServiceSpec&, const std::map<std::string, double, std::less<>>& wantedReplicas);
    // Empty for a domain that is not known.
    std::string_view assignedModel(std::string_view domain) const;

private:
    std::map<std::string, std::string, std::less<>> m_assignedModels;
};

} // namespace Kumquatpick
