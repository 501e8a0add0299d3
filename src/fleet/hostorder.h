#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Kumquatpick {

enum class OrderKind : uint8_t {
    Join, // Become a member of a replica; loads its model.
    Open, // To a head: take requests.
    Close, // To a head: finish what runs, refuse the rest.
    Leave, // End the membership at once.
    Stage, // Load a copy of a model onto the host, beside whatever it does.
};

// What the controller tells one host to do.
struct HostOrder {
    OrderKind kind = OrderKind::Join;
    std::string hostId;
    std::string replica;
    uint64_t epoch = 0;
    std::string model; // Of Join and Stage.
    std::vector<std::string> members; // Of Join; the head first.
    // Of Join: the orders that the host had accepted when it was chosen. A host that has accepted another one since,
    // a late one or another controller's, refuses the join.
    std::optional<uint64_t> expectedOrderCount;
};

enum class OrderResult : uint8_t {
    Accepted, // Begun.
    Holds, // Done, or was so before.
    Unfit, // Does not fit the host's state, or the host has seen a later epoch.
    Fenced, // The host obeys a later controller.
    Gone, // Another host answers at the address.
    Lost, // No answer: may be carried out, also much later.
};

const char* name(OrderKind);
const char* name(OrderResult);

} // namespace Kumquatpick
