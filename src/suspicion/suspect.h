#pragma once

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace Kumquatpick {

// What may be the cause of a backend server's death.
enum class SuspectKind : uint8_t {
    Request, // The whole request, as its caller sends it again.
    PromptPart, // A part of the prompt, which requests with different contents share.
};

struct Suspect {
    SuspectKind kind = SuspectKind::Request;
    uint64_t id = 0; // Fingerprint of the request, or id of the part.

    bool operator==(const Suspect&) const = default;
    bool operator<(const Suspect& other) const { return std::pair(kind, id) < std::pair(other.kind, other.id); }
};

struct SuspectHash {
    size_t operator()(const Suspect& suspect) const
    {
        // Ids are well distributed already.
        return static_cast<size_t>(suspect.id ^ (uint64_t(suspect.kind) << 63));
    }
};

// All that may be the cause if a server dies while it runs one request.
struct RunSuspects {
    // A request without prompt parts is known by its fingerprint alone.
    RunSuspects(uint64_t requestFingerprint, std::vector<uint64_t> parts = {})
        : fingerprint(requestFingerprint)
        , promptParts(std::move(parts))
    {
    }

    uint64_t fingerprint = 0;
    // Those that other requests may share, in the order of the prompt.
    std::vector<uint64_t> promptParts;
};

} // namespace Kumquatpick
