#include "coordination/slotarrival.h"

#include <utility>

namespace Kumquatpick {

namespace {

    template <typename Message>
    Message makeMessage(
        uint32_t slot, uint32_t epoch, const RequestKey& requestKey, ArrivalId arrival, const NodeInfo& entryNode)
    {
        Message message;
        message.slot = slot;
        message.epoch = epoch;
        message.requestKey = requestKey;
        message.arrival = arrival;
        message.entryNode = entryNode;
        return message;
    }

} // namespace

SlotArrival::SlotArrival(RequestKey requestKey, ArrivalId id, NodeInfo entryNode, SlotGuards guards)
    : m_requestKey(std::move(requestKey))
    , m_id(id)
    , m_entryNode(std::move(entryNode))
    , m_guards(guards)
{
}

SlotMessage SlotArrival::makeRequest(uint32_t slot, uint32_t epoch) const
{
    if (m_isCancelled)
        return makeMessage<VoidRequest>(slot, epoch, m_requestKey, m_id, m_entryNode);
    return makeMessage<PermitRequest>(slot, epoch, m_requestKey, m_id, m_entryNode);
}

std::optional<PermitOutcome> SlotArrival::handle(const PermitReply& reply)
{
    if (reply.arrival != m_id || reply.attempt != m_requestKey.attempt || reply.key != m_requestKey.key)
        return std::nullopt;
    if (reply.answer == PermitAnswer::WrongEpoch || reply.answer == PermitAnswer::Undecided)
        return std::nullopt;
    if (reply.answer == PermitAnswer::Granted && m_isCancelled && m_guards.cancelledArrivalIgnoresGrant)
        return std::nullopt;
    return PermitOutcome { reply.answer, reply.entry };
}

} // namespace Kumquatpick
