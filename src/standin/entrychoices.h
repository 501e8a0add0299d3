#pragma once

#include "standin/loadcall.h"
#include "standin/loadsettings.h"

#include <optional>
#include <string>
#include <vector>

namespace Kumquatpick {

// Which node one caller calls: asked of the nodes, kept for as long as the answer says.
class EntryChoices {
public:
    EntryChoices(const LoadSettings&, uint32_t caller);

    const Address& current(LoadConnections&);
    // Some other node than the current one, if there is one.
    const Address& another(LoadConnections&);
    // The current one refused or broke off.
    void moveOn();

    // A key made by a node; nothing if none makes one now.
    std::optional<std::string> mintedKey(LoadConnections&, const std::string& service);

private:
    void refresh(LoadConnections&);
    bool askFor(LoadConnections&, const Address& node);

    const LoadSettings& m_settings;
    std::string m_caller;
    std::vector<Address> m_choices;
    size_t m_current = 0;
    MonotonicTime m_validUntil {};
};

} // namespace Kumquatpick
