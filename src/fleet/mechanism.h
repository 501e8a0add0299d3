#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace Kumquatpick {

// Parts of the policy that can be disabled to measure the effect of each; not used for anything else.
enum class Mechanism : uint8_t {
    Shift, // Hosts of replicas are reassigned to a model with a larger shortage of capacity.
    SecondModels, // Serving hosts load a second model.
    IdleHostReload, // Idle hosts holding a model that their domain has too few hosts for load another model.
    DomainGrouping, // The first plan places the replicas of a model together in domains.
    StalledStreamClose, // Streams of a stalled replica are closed at once.
    Resume, // A broken stream is resumed at another replica.
    RetriesFirst, // Retries by callers go before first tries.
    EarlyRefusal, // A call is refused at once if no slot is free, instead of being queued for a limited time.
    RetryTimeSpread, // Callers that are refused together get different retry times.
    RelayedProbes, // Peers probe a host that does not answer this node.
    ConditionalJoins, // A host refuses a join if it accepted another order in the meantime.
    StoreReaders, // A few nodes of a zone read the list of hosts for the others.
    ControlCandidates, // Only a few nodes follow the controller's log and may take over.
    LoadExchange, // One node of a zone adds up the requests in flight of all its nodes.
    LargerFirst, // Hosts that a larger model needs do not join a smaller model that has enough hosts.
    CallRelay, // A node that is cut off from backend servers passes calls to nodes that are not.
    FirstEventForecast, // Calls go only where their first event is predicted in time; the rest is refused at once.
    TeamShares, // Where calls are refused, teams that got more than an equal share get what the others leave.
    WarmConnections, // Backend servers to which a connection is idle are preferred.
};

inline constexpr std::array mechanismNames { "shift", "second-models", "stuck-loads", "homes", "standing-cut", "resume",
    "return-order", "early-refusal", "return-spread", "relayed-probes", "conditional-joins", "store-readers",
    "control-candidates", "load-exchange", "larger-first", "call-relay", "first-event-forecast", "team-shares",
    "warm-connections" };

// The set of disabled mechanisms.
class DisabledMechanisms {
public:
    // Parses a comma-separated list of names; nullopt if a name is unknown.
    static std::optional<DisabledMechanisms> parse(std::string_view list);

    bool contains(Mechanism mechanism) const { return (m_bits >> static_cast<unsigned>(mechanism) & 1u) != 0; }

private:
    uint32_t m_bits = 0;
};

} // namespace Kumquatpick
