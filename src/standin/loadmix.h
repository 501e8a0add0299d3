#pragma once

#include "base/random.h"
#include "standin/loadsettings.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Kumquatpick {

// One request as its caller means it, with the right answer.
struct LoadRequest {
    std::string key;
    std::string service;
    std::string team;
    bool isPlain = false;
    bool isStream = false;
    bool isRepeatable = false;
    bool isDuplicated = false; // Sent twice at the same time, on purpose.
    std::string path; // At a node; a direct request to a plain service drops the prefix.
    std::string body;
    std::string expected; // The whole body of the right answer.
};

// A caller's requests, the same ones for the same seed and caller. Prompts share beginnings, as those of
// one application do.
class LoadMix {
public:
    LoadMix(const LoadSettings&, uint32_t caller);

    LoadRequest next();
    // Where waits are to differ between callers.
    Random& random() { return m_random; }

private:
    bool chance(uint64_t percent);
    std::string pick(const std::vector<std::string>&);
    void makeChat(LoadRequest&);
    void makePlain(LoadRequest&);

    const LoadSettings& m_settings;
    uint32_t m_caller;
    uint64_t m_serial = 0;
    Random m_random;
};

} // namespace Kumquatpick
