#include "fleet/mechanism.h"

#include <algorithm>

namespace Kumquatpick {

std::optional<DisabledMechanisms> DisabledMechanisms::parse(std::string_view list)
{
    DisabledMechanisms disabled;
    while (!list.empty()) {
        std::string_view item = list.substr(0, list.find(','));
        list.remove_prefix(std::min(list.size(), item.size() + 1));
        auto found = std::ranges::find(mechanismNames, item);
        if (found == mechanismNames.end())
            return std::nullopt;
        disabled.m_bits |= 1u << static_cast<unsigned>(found - mechanismNames.begin());
    }
    return disabled;
}

} // namespace Kumquatpick
