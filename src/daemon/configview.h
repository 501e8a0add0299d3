#pragma once

#include "coordination/state.h"
#include "node/transport.h"

#include <functional>
#include <memory>
#include <mutex>

namespace Kumquatpick {

// Holds the newest accepted version of the operators' text that this node has read. The version never decreases.
// Thread-safe.
class ConfigView {
public:
    // Called with each newer text, on the thread that calls update() and with the lock held, so a listener must not
    // call back into this object.
    using Listener = std::function<void(const OperatorConfig&)>;

    void setListener(Listener);
    // Ignores a null pointer and any version that is not newer than the current one.
    void update(const AcceptedConfig*);

    std::shared_ptr<const OperatorConfig> text() const;
    AcceptedText accepted() const;
    Offset version() const;

private:
    mutable std::mutex m_mutex;
    Listener m_listener;
    std::shared_ptr<const OperatorConfig> m_parsed;
    AcceptedText m_accepted;
};

} // namespace Kumquatpick
