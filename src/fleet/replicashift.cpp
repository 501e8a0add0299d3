#include "fleet/replicashift.h"

#include <algorithm>

namespace Kumquatpick {

namespace {

    // Above this need, a model's next replica would be full at once: its calls lack slots.
    constexpr double minNeed = 1.0;
    // Factor by which a model's need must exceed the need that its donors have after the shift, and the addition to it
    // if all hosts come from serving replicas: a shift stops these from serving for two seconds.
    constexpr double baseMargin = 1.4;
    constexpr double fullReplicaMargin = 0.6;

    double needOf(const ShiftInput& input, std::string_view model, uint32_t taken)
    {
        auto wanted = input.wantedReplicas.find(model);
        auto count = input.replicaCounts.find(std::string(model));
        uint32_t remaining = count == input.replicaCounts.end() ? 0 : count->second - std::min(taken, count->second);
        return wanted == input.wantedReplicas.end() ? 0 : wanted->second / (1.0 + remaining);
    }

    // Counts the free hosts that hold the model and those in replicas of models that can spare one. Zero if no free
    // host holds it, as there is then nothing to reserve.
    size_t countAvailableHosts(const ShiftInput& input, const ShiftDomain& domain, const ModelSpec& model)
    {
        auto holds = [&](const Host* host) { return input.holds(*host, model.name); };
        auto hosts = static_cast<size_t>(std::ranges::count_if(domain.freeHosts, holds));
        if (hosts == 0)
            return 0;
        for (const ReplicaView* replica : domain.replicas) {
            bool canSpare = replica->model != model.name && needOf(input, replica->model, 1) <= minNeed;
            if (canSpare && std::ranges::all_of(replica->members, holds))
                hosts += replica->members.size();
        }
        return hosts;
    }

    // Selects just enough replicas of other models to form one of this model together with the free hosts.
    std::optional<ReplicaShift> findShift(const ShiftInput& input, const ShiftDomain& domain, const ModelSpec& model)
    {
        auto holds = [&](const Host* host) { return input.holds(*host, model.name); };
        auto hosts = static_cast<size_t>(std::ranges::count_if(domain.freeHosts, holds));
        ReplicaShift shift { domain.name, model.name, {} };
        std::map<std::string, uint32_t> taken;
        size_t hostsTaken = 0;
        for (const ReplicaView* replica : domain.replicas) {
            if (hosts >= model.hostsPerReplica)
                break;
            if (replica->model == model.name || !std::ranges::all_of(replica->members, holds))
                continue;
            hosts += replica->members.size();
            hostsTaken += replica->members.size();
            ++taken[replica->model];
            shift.replicas.emplace_back(replica->name, replica->epoch);
        }
        // If free hosts suffice, no shift is needed: replicas are formed from them in any case.
        if (hosts < model.hostsPerReplica || shift.replicas.empty())
            return std::nullopt;
        double takenShare = std::min(1.0, static_cast<double>(hostsTaken) / model.hostsPerReplica);
        double margin = baseMargin + fullReplicaMargin * takenShare;
        double need = needOf(input, model.name, 0);
        bool isWorthIt = std::ranges::all_of(taken, [&](const auto& entry) {
            double needAfter = needOf(input, entry.first, entry.second);
            return needAfter <= minNeed || need > margin * needAfter;
        });
        return isWorthIt ? std::optional(std::move(shift)) : std::nullopt;
    }

}

std::optional<ReplicaShift> chooseShift(const ShiftInput& input)
{
    std::vector<const ModelSpec*> models;
    for (const ModelSpec& model : input.service.models) {
        if (needOf(input, model.name, 0) > minNeed)
            models.push_back(&model);
    }
    std::ranges::stable_sort(
        models, std::greater(), [&](const ModelSpec* model) { return needOf(input, model->name, 0); });
    for (const ModelSpec* model : models) {
        std::optional<ReplicaShift> best;
        for (const ShiftDomain& domain : input.domains) {
            auto shift = findShift(input, domain, *model);
            if (shift && (!best || shift->replicas.size() < best->replicas.size()))
                best = std::move(shift);
        }
        if (best)
            return best;
    }
    return std::nullopt;
}

bool areReservedForLarger(const ShiftInput& input, const ShiftDomain& domain, const ModelSpec& model)
{
    if (needOf(input, model.name, 0) > minNeed)
        return false;
    return std::ranges::any_of(input.service.models, [&](const ModelSpec& larger) {
        bool isShort = larger.hostsPerReplica > model.hostsPerReplica && needOf(input, larger.name, 0) > minNeed;
        return isShort && countAvailableHosts(input, domain, larger) >= larger.hostsPerReplica;
    });
}

} // namespace Kumquatpick
