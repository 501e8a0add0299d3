#include "gateway/demandfield.h"

#include "base/documentreader.h"
#include "gateway/peernumbers.h"

#include <nlohmann/json.hpp>

namespace Kumquatpick {

namespace {

    using nlohmann::json;

    constexpr const char* field = "unmet_by_service";

}

void encodeUnmetDemand(json& document, const UnmetDemand& demand)
{
    for (const auto& [key, slots] : demand)
        document[field][key.service][key.model] = slots;
}

UnmetDemand decodeUnmetDemand(const DocumentReader& document)
{
    UnmetDemand demand;
    DocumentReader entry = document[field];
    if (!entry.exists())
        return demand;
    for (const auto& [service, models] : entry.fields()) {
        for (const auto& [model, slots] : models.fields())
            demand.emplace(ServiceModel { std::string(service), std::string(model) },
                slots.number(0, static_cast<double>(maxPeerSlots)));
    }
    return demand;
}

} // namespace Kumquatpick
