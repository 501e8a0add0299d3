#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Kumquatpick {

enum class OrderKind : uint8_t {
    Join, // Become a member of a replica; loads its model.
    Open, // To a head: take requests.
    Close, // To a head: finish running requests, refuse new ones.
    Leave, // End the membership at once.
    Stage, // Load a copy of a model onto the host in the background.
};

// An order of the controller to one host.
struct HostOrder {
    OrderKind kind = OrderKind::Join;
    std::string hostId;
    std::string replica;
    uint64_t epoch = 0;
    std::string model; // For Join and Stage.
    std::vector<std::string> members; // For Join; the head first.
    // For Join: the number of orders that the host had accepted when it was chosen. A host that has accepted another
    // one since, late or from another controller, refuses the join.
    std::optional<uint64_t> expectedOrderCount;
};

enum class OrderResult : uint8_t {
    Accepted, // Started.
    Holds, // Completed, or already in the ordered state.
    Unfit, // Conflicts with the host's state, or the host has seen a later epoch.
    Fenced, // The host has accepted a later controller's fencing token.
    Gone, // Another host answers at the address.
    Lost, // No answer: may still be executed, possibly much later.
};

const char* name(OrderKind);
const char* name(OrderResult);

} // namespace Kumquatpick
