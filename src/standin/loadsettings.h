#pragma once

#include "base/address.h"
#include "base/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Kumquatpick {

// What the load tool sends, and to whom.
struct LoadSettings {
    std::vector<Address> nodes; // Asked for entries; called themselves if none answers.
    std::optional<Address> direct; // A backend server to call in place of nodes.
    std::string zone;
    std::vector<std::string> models; // Services.
    std::vector<std::string> plains;
    std::vector<std::string> teams;
    uint64_t callers = 16;
    uint64_t requests = 1000; // Over all callers.
    uint64_t perSecond = 0; // Over all callers; 0: as fast as answers come.
    uint64_t seed = 1;
    uint64_t repeatablePercent = 50;
    uint64_t streamPercent = 50;
    uint64_t plainPercent = 20;
    uint64_t duplicatePercent = 0;
    uint64_t mintedPercent = 50; // Of keys, made by a node; the others are the caller's own.
    uint64_t promptBytes = 1024;
    uint64_t sharedPrompts = 16; // Different beginnings of prompts.
    uint64_t tokens = 16; // Most tokens of an answer.
    std::string crashMarker; // Put into every crashEvery-th request.
    uint64_t crashEvery = 0;
    Milliseconds deadline { 10'000 };
    std::string runName; // Begins every key of ours; must differ from run to run.
    std::string outcomesPath;
};

} // namespace Kumquatpick
