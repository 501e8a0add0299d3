#pragma once

#include <compare>
#include <map>
#include <string>

namespace Kumquatpick {

// A model of one service. Several services may serve models of the same name, each by hosts of its own, so the name of
// the model alone identifies nothing in a fleet.
struct ServiceModel {
    std::string service;
    std::string model;

    auto operator<=>(const ServiceModel&) const = default; // NOLINT(modernize-use-nullptr): false positive
};

// Slots that refused calls would have occupied.
using UnmetDemand = std::map<ServiceModel, double>;

} // namespace Kumquatpick
