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
// cancelled, it requests instead that its attempt and all earlier ones are voided.
class SlotArrival {
public:
    SlotArrival(RequestKey, ArrivalId, NodeInfo entryNode, SlotGuards = {});

    // The message to send to the slot's owner at that epoch, repeated until a reply decides.
    SlotMessage makeRequest(uint32_t slot, uint32_t epoch) const;
    // Returns the outcome if the reply decides this arrival.
    std::optional<PermitOutcome> handle(const PermitReply&);
    // Switches from permit to void requests; any later grant is ignored. Must not be called after dispatch.
    void cancel() { m_isCancelled = true; }

    bool isCancelled() const { return m_isCancelled; }
    const ArrivalId& id() const { return m_id; }
    const RequestKey& requestKey() const { return m_requestKey; }

private:
    RequestKey m_requestKey;
    ArrivalId m_id;
    NodeInfo m_entryNode;
    SlotGuards m_guards;
    bool m_isCancelled = false;
};

} // namespace Kumquatpick
