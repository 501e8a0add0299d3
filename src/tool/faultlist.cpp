#include "tool/faultlist.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Kumquatpick {

std::string describeFaults(std::string_view file, std::span<const ConfigFault> faults)
{
    std::string text;
    for (const ConfigFault& fault : faults)
        text += fault.describe(file) + "\n";
    return text + fmt::format("{}: {} fault{}\n", file, faults.size(), faults.size() == 1 ? "" : "s");
}

nlohmann::json faultsToJson(std::span<const ConfigFault> faults)
{
    nlohmann::json list = nlohmann::json::array();
    for (const ConfigFault& fault : faults)
        list.push_back({ { "line", fault.line }, { "column", fault.column }, { "key", fault.key },
            { "expected", fault.expected } });
    return { { "faults", std::move(list) } };
}

std::vector<ConfigFault> faultsFromJson(const nlohmann::json& json)
{
    std::vector<ConfigFault> faults;
    for (const nlohmann::json& fault : json.at("faults"))
        faults.push_back({ fault.value("line", 0U), fault.value("column", 0U), fault.value("key", std::string()),
            fault.value("expected", std::string()) });
    return faults;
}

} // namespace Kumquatpick
