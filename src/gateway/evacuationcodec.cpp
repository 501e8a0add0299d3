#include "gateway/evacuationcodec.h"

namespace Kumquatpick {

nlohmann::json encodeEvacuations(const EvacuationReport& report)
{
    auto zones = nlohmann::json::array();
    for (const EvacuatedZone& entry : report.zones)
        zones.push_back({ entry.zone, entry.age.count() });
    return { report.asOf, std::move(zones) };
}

EvacuationReport decodeEvacuations(const nlohmann::json& entry)
{
    EvacuationReport report { entry.at(0).get<uint64_t>(), {} };
    for (const auto& zone : entry.at(1))
        report.zones.push_back({ zone.at(0).get<std::string>(), Milliseconds(zone.at(1).get<int64_t>()) });
    return report;
}

} // namespace Kumquatpick
