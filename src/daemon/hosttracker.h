#pragma once

#include "backend/directory.h"
#include "coordination/hostregistry.h"

#include <mutex>
#include <span>
#include <string>

namespace Kumquatpick {

// Thread-safe wrapper of the controller's HostRegistry, which the membership, prober and order threads update.
class HostTracker {
public:
    void setListed(std::span<const ListedHost>, MonotonicTime now);
    void recordStatus(const EngineStatus&);
    void recordNoAnswer(std::string_view host, MonotonicTime now);
    void recordOrder(std::string_view host, Offset claim, MonotonicTime now);

    // Returns a copy, so that one controller round works on unchanging data.
    HostRegistry registry() const;

private:
    mutable std::mutex m_mutex;
    HostRegistry m_registry;
};

} // namespace Kumquatpick
