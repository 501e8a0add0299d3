#include "gateway/progressfield.h"

#include "base/documentreader.h"
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

std::optional<AgesByHost> decodeProgress(const DocumentReader& document)
{
    DocumentReader::Problem problem;
    DocumentReader entry = document[field].reportingTo(problem);
    AgesByHost ages;
    if (!entry.exists())
        return ages;
    // A sender reports no older progress, and none of the future.
    auto longest = static_cast<uint64_t>(maxProgressAge.count());
    for (const auto& [host, age] : entry.fields())
        ages.emplace(host, Milliseconds(age.integer(longest)));
    return problem.isFound() ? std::nullopt : std::optional(std::move(ages));
}

void logUnreadableProgress(GatewayContext& context, std::string_view sender)
{
    context.metrics.count("progress_reports_unreadable_total");
    auto& known = context.unreadableProgressSenders;
    if (known.size() < maxLoggedSenders && known.emplace(sender).second)
        context.log.write("progress_unreadable", { { "sender", sender } });
}

} // namespace Kumquatpick
