#pragma once

#include "base/error.h"
#include "coordination/slotmessage.h"
#include "node/gossipmessage.h"
#include "node/node.capnp.h"

#include <span>
#include <string>
#include <vector>

namespace Kumquatpick {

// Conversion between C++ structs and Cap'n Proto messages. Reading fails with Malformed if a value is invalid. Input
// that violates Cap'n Proto's encoding throws kj::Exception, which fails the RPC call.

void write(Rpc::NodeInfo::Builder, const NodeInfo&);
Result<NodeInfo> read(Rpc::NodeInfo::Reader);

void write(Rpc::SlotMessage::Builder, const SlotMessage&);
Result<SlotMessage> read(Rpc::SlotMessage::Reader);

// Uses Cap'n Proto's packed encoding, as digests consist mostly of small numbers.
std::vector<unsigned char> encode(const GossipMessage&);
Result<GossipMessage> decodeGossip(std::span<const unsigned char>);

} // namespace Kumquatpick
