#include "gateway/evacuationcodec.h"

#include "base/documentreader.h"
#include "gateway/peernumbers.h"

#include <nlohmann/json.hpp>

namespace Kumquatpick {

nlohmann::json encodeEvacuations(const EvacuationReport& report)
{
    auto zones = nlohmann::json::array();
    for (const EvacuatedZone& entry : report.zones)
        zones.push_back({ entry.zone, entry.age.count() });
    return { report.asOf, std::move(zones) };
}

EvacuationReport decodeEvacuations(const DocumentReader& entry)
{
    EvacuationReport report { entry[0].integer(maxPeerInteger), {} };
    for (const DocumentReader& zone : entry[1].elements())
        report.zones.push_back({ std::string(zone[0].name()), decodePeerDuration(zone[1]) });
    return report;
}

} // namespace Kumquatpick
