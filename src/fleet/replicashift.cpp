#include "fleet/replicashift.h"

#include <algorithm>

namespace Kumquatpick {

namespace {

    // A model whose next replica would be full already.
    constexpr double leastNeed = 1.0;
    // How much more the one model must need a replica than the others afterwards, for the first replica that gives way
    // and for each further one: a shift stops both from serving for two seconds.
    constexpr double firstMargin = 1.7;
    constexpr double furtherMargin = 0.5;

    double needOf(const ShiftInput& input, std::string_view model, uint32_t taken)
    {
        auto wanted = input.wanted.find(model);
        auto have = input.have.find(std::string(model));
        uint32_t left = have == input.have.end() ? 0 : have->second - std::min(taken, have->second);
        return wanted == input.wanted.end() ? 0 : wanted->second / (1.0 + left);
    }

    // The fewest replicas of other models that, with the free hosts, are enough for one of this model.
    std::optional<ReplicaShift> shiftIn(const ShiftInput& input, const ShiftDomain& domain, const ModelSpec& model)
    {
        auto holds = [&](const Host* host) { return input.holds(*host, model.name); };
        auto hosts = static_cast<size_t>(std::ranges::count_if(domain.freeHosts, holds));
        ReplicaShift shift { domain.name, model.name, {} };
        std::map<std::string, uint32_t> taken;
        for (const ReplicaView* replica : domain.replicas) {
            if (hosts >= model.hostsPerReplica)
                break;
            if (replica->model == model.name || !std::ranges::all_of(replica->members, holds))
                continue;
            hosts += replica->members.size();
            ++taken[replica->model];
            shift.replicas.emplace_back(replica->name, replica->epoch);
        }
        // Without one that gives way there is nothing to shift: free hosts form replicas by themselves.
        if (hosts < model.hostsPerReplica || shift.replicas.empty())
            return std::nullopt;
        double margin = firstMargin + furtherMargin * static_cast<double>(shift.replicas.size() - 1);
        double need = needOf(input, model.name, 0);
        bool isWorthIt = std::ranges::all_of(
            taken, [&](const auto& entry) { return need > margin * needOf(input, entry.first, entry.second); });
        return isWorthIt ? std::optional(std::move(shift)) : std::nullopt;
    }

}

std::optional<ReplicaShift> chooseShift(const ShiftInput& input)
{
    std::vector<const ModelSpec*> models;
    for (const ModelSpec& model : input.service.models) {
        if (needOf(input, model.name, 0) > leastNeed)
            models.push_back(&model);
    }
    std::ranges::stable_sort(
        models, std::greater(), [&](const ModelSpec* model) { return needOf(input, model->name, 0); });
    for (const ModelSpec* model : models) {
        std::optional<ReplicaShift> best;
        for (const ShiftDomain& domain : input.domains) {
            auto shift = shiftIn(input, domain, *model);
            if (shift && (!best || shift->replicas.size() < best->replicas.size()))
                best = std::move(shift);
        }
        if (best)
            return best;
    }
    return std::nullopt;
}

} // namespace Kumquatpick
