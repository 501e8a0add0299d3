#pragma once

#include "base/address.h"
#include "base/settings.h"

#include <vector>

namespace Kumquatpick {

// What every command that talks to nodes is told.
struct NodeSettings {
    std::vector<Address> nodes;
    bool json = false;

    SettingGroup group();
};

// The flag alone, for commands that talk to no node.
Setting jsonSetting(bool& into);

} // namespace Kumquatpick
