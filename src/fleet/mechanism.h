#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace Kumquatpick {

// Parts of the policy that can be switched off, to measure what each is worth; nothing else uses this.
enum class Mechanism : uint8_t {
    Shift, // Replicas give way to a model that is shorter.
    SecondModels, // Hosts that serve load a second model.
    StuckLoads, // Idle hosts that hold a model which their domain lacks hosts for load another one.
    Homes, // The first plan keeps the replicas of a model together in domains.
    StandingCut, // Streams of a replica that stands still are cut at once.
    Resume, // A broken stream goes on at another replica.
    ReturnOrder, // Calls that come back after a refusal go before first tries.
    EarlyRefusal, // A call without a place is refused at once rather than held for a while.
    ReturnSpread, // Callers that are refused together are told to come back at different times.
    RelayedProbes, // Peers ask a host that does not answer this node.
    ConditionalJoins, // A host refuses a join if another order reached it meanwhile.
    StoreReaders, // A few nodes of a zone read the list of hosts for the others.
    ControlCandidates, // A few nodes follow the controller's log and may take over.
    LoadExchange, // One node of a zone adds up what its nodes have in flight.
    LargerFirst, // Hosts that a larger model lacks don't join a smaller one that has enough.
};

inline constexpr std::array mechanismNames { "shift", "second-models", "stuck-loads", "homes", "standing-cut", "resume",
    "return-order", "early-refusal", "return-spread", "relayed-probes", "conditional-joins", "store-readers",
    "control-candidates", "load-exchange", "larger-first" };

// Those that are switched off.
class MechanismsOff {
public:
    // From names separated by commas; nothing if one is unknown.
    static std::optional<MechanismsOff> parse(std::string_view list);

    bool contains(Mechanism mechanism) const { return (m_bits >> static_cast<unsigned>(mechanism) & 1u) != 0; }

private:
    uint32_t m_bits = 0;
};

} // namespace Kumquatpick
