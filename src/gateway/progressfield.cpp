#include "gateway/progressfield.h"

#include "gateway/context.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace Kumquatpick {

namespace {

    using nlohmann::json;

    constexpr const char* field = "progress";
    constexpr size_t maxLoggedSenders = 1000;

}

void encodeProgress(json& document, const AgesByHost& ages)
{
    for (const auto& [host, age] : ages)
        document[field][host] = age.count();
}

std::optional<AgesByHost> decodeProgress(const json& document)
{
    AgesByHost ages;
    auto found = document.find(field);
    if (found == document.end())
        return ages;
    if (!found->is_object())
        return std::nullopt;
    for (const auto& [host, age] : found->items()) {
        // A sender reports no older progress, and none of the future.
        if (!age.is_number_integer() || age.get<int64_t>() < 0 || age.get<int64_t>() > maxProgressAge.count())
            return std::nullopt;
        ages.emplace(host, Milliseconds(age.get<int64_t>()));
    }
    return ages;
}

void logUnreadableProgress(GatewayContext& context, std::string_view sender)
{
    context.metrics.count("progress_reports_unreadable_total");
    auto& known = context.unreadableProgressSenders;
    if (known.size() < maxLoggedSenders && known.emplace(sender).second)
        context.log.write("progress_unreadable", { { "sender", sender } });
}

} // namespace Kumquatpick
