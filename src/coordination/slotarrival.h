#pragma once

#include "coordination/slotguards.h"
#include "coordination/slotmessage.h"

#include <cstdint>
#include <optional>

namespace Kumquatpick {

// The result of a permit or void request.
struct PermitOutcome {
    PermitAnswer answer = PermitAnswer::Undecided;
    JournalEntry entry; // The owner's entry of the key; set for Granted, HeldByOther and Voided.
};

// One arrival of a request at its entry node, until it is decided. It first requests a permit to dispatch. Once
// given up, it requests instead that its attempt and all earlier ones are voided.
class SlotArrival {
public:
    SlotArrival(RequestKey, ArrivalId, NodeInfo entry, SlotGuards = {});

    // The message to send to the slot's owner at that epoch, repeated until a reply decides.
    SlotMessage question(uint32_t slot, uint32_t epoch) const;
    // Returns the outcome if the reply decides this arrival.
    std::optional<PermitOutcome> on(const PermitReply&);
    // Switches from permit to void requests; any later grant is ignored. Must not be called after dispatch.
    void giveUp() { m_isGivenUp = true; }

    bool isGivenUp() const { return m_isGivenUp; }
    const ArrivalId& id() const { return m_id; }
    const RequestKey& request() const { return m_request; }

private:
    RequestKey m_request;
    ArrivalId m_id;
    NodeInfo m_entry;
    SlotGuards m_guards;
    bool m_isGivenUp = false;
};

} // namespace Kumquatpick
