#include "standin/loadtotals.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Kumquatpick {

namespace {

    double quantile(std::vector<double>& values, double share)
    {
        if (values.empty())
            return 0;
        auto at = static_cast<size_t>(share * static_cast<double>(values.size() - 1));
        std::ranges::nth_element(values, values.begin() + static_cast<std::ptrdiff_t>(at));
        return values[at];
    }

    nlohmann::json quantiles(std::vector<double> values)
    {
        return { { "p50", quantile(values, 0.50) }, { "p95", quantile(values, 0.95) },
            { "p99", quantile(values, 0.99) } };
    }

    void addCounts(std::map<std::string, uint64_t>& into, const std::map<std::string, uint64_t>& from)
    {
        for (const auto& [name, count] : from)
            into[name] += count;
    }

} // namespace

void LoadTotals::addReply(const LoadReply& reply)
{
    std::string key(name(reply.outcome));
    if (!reply.type.empty())
        key += ":" + reply.type;
    ++replies[key];
    if (!reply.isRight)
        ++wrongAnswers;
}

void LoadTotals::add(const LoadTotals& other)
{
    addCounts(finals, other.finals);
    addCounts(replies, other.replies);
    requests += other.requests;
    resends += other.resends;
    duplicates += other.duplicates;
    wrongAnswers += other.wrongAnswers;
    firstByteMs.insert(firstByteMs.end(), other.firstByteMs.begin(), other.firstByteMs.end());
    totalMs.insert(totalMs.end(), other.totalMs.begin(), other.totalMs.end());
}

std::string LoadTotals::summary(double seconds) const
{
    nlohmann::json json = {
        { "requests", requests },
        { "outcomes", finals },
        { "replies", replies },
        { "resends", resends },
        { "duplicates", duplicates },
        { "wrong_answers", wrongAnswers },
        { "seconds", seconds },
        { "answered_per_second", static_cast<double>(totalMs.size()) / seconds },
        { "first_byte_ms", quantiles(firstByteMs) },
        { "total_ms", quantiles(totalMs) },
    };
    return json.dump();
}

} // namespace Kumquatpick
