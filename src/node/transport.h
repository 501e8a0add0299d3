#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "coordination/slotmessage.h"
#include "node/gossipmessage.h"

#include <functional>
#include <memory>
#include <string>

namespace Kumquatpick {

// The answer to a request, finished or still running, at the node that executed the request.
struct StoredAnswer {
    enum class Phase : uint8_t {
        Unknown,
        Running,
        Finished,
    };

    Phase phase = Phase::Unknown;
    int status = 0;
    std::string contentType;
    std::string body;
};

struct AcceptedText {
    Offset version = 0;
    std::string text;
};

// Handlers for calls from peers. They are called on the RPC thread and must not block.
struct PeerHandlers {
    std::function<void(const SlotMessage&)> deliverSlotMessage;
    std::function<StoredAnswer(const std::string& key)> storedAnswer;
    std::function<GossipMessage(const GossipMessage&)> exchangeDigests;
    std::function<AcceptedText()> acceptedText;
};

// Cap'n Proto RPC between nodes. One thread runs the event loop with a server and a persistent connection to each peer.
// Calls can be made from any other thread and block until their time-out at most. Sends do not block and may also be
// made on the RPC thread. Errors of calls:
// - Unreachable: nothing was sent.
// - Timeout, BrokenOff: the request may have been sent.
// - Refused, Overloaded, Malformed: determined by the peer's answer.
// - ShuttingDown: the transport is stopping or its task queue is full.
// - InvalidArgument: the address is not a numeric IP address.
class NodeTransport {
public:
    // Binds to the peer address of self; port 0 selects a free port. Fails with InvalidArgument if that is impossible.
    static Result<std::unique_ptr<NodeTransport>> start(const NodeInfo& self, PeerHandlers);
    virtual ~NodeTransport() = default;

    // The node that was passed to start(), with the port that was bound.
    virtual const NodeInfo& self() const = 0;
    // Number of sends dropped because the peer was unreachable or a queue was full.
    virtual uint64_t droppedSends() const = 0;

    // Sends without acknowledgement. A message is dropped if the peer is unreachable or its backlog is full. A node
    // drops a message that names another incarnation than its own; incarnation 0 matches any.
    virtual void send(const NodeInfo& to, const SlotMessage&) = 0;
    // Returns the node that answers at an address.
    virtual Result<NodeInfo> hello(const Address&, Milliseconds timeout) = 0;
    // Indirect probe: asks a peer whether it reaches the target in this incarnation (0 matches any).
    virtual Result<bool> probeThrough(const Address& peer, const NodeInfo& target, Milliseconds timeout) = 0;
    virtual Result<StoredAnswer> fetchAnswer(const Address&, const std::string& key, Milliseconds timeout) = 0;
    virtual Result<GossipMessage> exchange(const Address&, const GossipMessage&, Milliseconds timeout) = 0;
    virtual Result<AcceptedText> fetchAcceptedText(const Address&, Milliseconds timeout) = 0;
};

} // namespace Kumquatpick
