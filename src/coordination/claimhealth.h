#pragma once

#include "coordination/controller.h"

#include <string_view>
#include <unordered_map>
#include <vector>

namespace Kumquatpick {

// State of one host of a claim, with respect to the incarnation of the host that the claim names.
enum class HostCondition : uint8_t {
    Healthy,
    Unresponsive, // Has not answered probes, for less than unresponsiveTimeout.
    Leaving,
    Unreachable, // Has not answered probes for at least unresponsiveTimeout; its engine may still run.
    Dead, // The claimed incarnation no longer exists.
};

// Evaluates claims against the current views of their hosts. An instance is valid for one round; the claims must
// outlive it.
class ClaimHealth {
public:
    ClaimHealth(const ControllerInput&, const ControllerSettings&);

    HostCondition hostCondition(const ClaimProposal&, size_t rank) const;
    const HostView* hostView(const ClaimProposal&, size_t rank) const;

    bool allHostsHealthy(const Claim&) const;
    bool isReady(const Claim&) const;
    // The reason to end the claim, or empty if it can be kept.
    std::string_view failureReason(const Claim&) const;
    // True if no request can still be running on an ending claim, so that an unload interrupts nothing.
    bool isDrained(const Claim&) const;
    // True if the latest status of the engine is final: no order that may still arrive, from this node or from an
    // earlier holder of the lease, can change it.
    bool isStatusFinal(const HostView&, Offset claim, FencingSupport, const LeaseTenure&) const;

private:
    HostCondition conditionWithoutStatus(const HostView&, uint64_t incarnation) const;

    const ControllerInput& m_input;
    const ControllerSettings& m_settings;
    // Caches the host views of each claim: a claim is evaluated several times a round, and the map may hold a hundred
    // thousand hosts.
    mutable std::unordered_map<const ClaimProposal*, std::vector<const HostView*>> m_viewsByClaim;
};

} // namespace Kumquatpick
