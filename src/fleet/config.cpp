#include "fleet/config.h"

#include <algorithm>

namespace Kumquatpick {

namespace {

    template <typename Items> auto* findByName(Items& items, std::string_view name)
    {
        auto found = std::ranges::find_if(items, [&](const auto& item) { return item.name == name; });
        return found == items.end() ? nullptr : &*found;
    }

}

const ModelSpec* ServiceSpec::model(std::string_view wanted) const { return findByName(models, wanted); }

const ServiceSpec* FleetConfig::service(std::string_view wanted) const { return findByName(services, wanted); }

} // namespace Kumquatpick
