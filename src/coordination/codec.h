#pragma once

#include "coordination/record.h"
#include "coordination/slottable.h"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace Kumquatpick {

// JSON encoding of the types that records and snapshots have in common. The decoding functions throw DecodeFailure or
// the exceptions of the JSON library; decodeRecord() and State::restore() turn both into a Malformed error.

class DecodeFailure : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

// Decodes an unsigned integer and checks its range: the JSON library would truncate a larger value without an error.
template <typename Number> Number unsignedFrom(const nlohmann::json& value)
{
    if (!value.is_number_unsigned())
        throw DecodeFailure("expected an unsigned integer");
    auto wide = value.get<uint64_t>();
    if (wide > std::numeric_limits<Number>::max())
        throw DecodeFailure("integer out of range");
    return static_cast<Number>(wide);
}

nlohmann::json toJson(const NodeId&);
nlohmann::json toJson(const NodeInfo&);
nlohmann::json toJson(const ClaimProposal&);

NodeId nodeIdFrom(const nlohmann::json&);
NodeInfo nodeInfoFrom(const nlohmann::json&);
ClaimProposal claimProposalFrom(const nlohmann::json&);
WallTime wallTimeFrom(const nlohmann::json&);
Milliseconds durationFrom(const nlohmann::json&);

int64_t toMilliseconds(WallTime);

} // namespace Kumquatpick
