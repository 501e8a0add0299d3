#pragma once

#include "base/error.h"

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace Kumquatpick {

enum class DocumentFormat : uint8_t {
    Json,
    Cbor,
};

// Bounds of a document that another process wrote. They are checked before it is decoded: decoders and everything that
// visits the decoded tree may use a stack frame for each level, and many small values take far more memory than bytes.
struct DocumentLimits {
    size_t bytes = 4 << 20;
    size_t depth = 32; // Of arrays and objects within each other.
    size_t values = 1'000'000;
};

// Decodes a document of another process. Never throws; fails with Malformed. The error names the step and no peer.
Settled<nlohmann::json> decodeDocument(DocumentFormat, std::string_view bytes, const DocumentLimits&, Step);

// Writes JSON without line breaks. Bytes that are not UTF-8 are replaced.
std::string encodeJson(const nlohmann::json&);
std::string encodeCbor(const nlohmann::json&);

} // namespace Kumquatpick
