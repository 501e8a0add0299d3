#pragma once

#include "coordination/state.h"
#include "node/transport.h"

#include <functional>
#include <memory>
#include <mutex>

namespace Kumquatpick {

// The accepted operators' text as the whole node sees it. Only ever goes forward. Thread-safe.
class ConfigView {
public:
    // Called with each newer text, on the thread that brought it.
    using Listener = std::function<void(const OperatorConfig&)>;

    void listen(Listener);
    // Older versions than the present one are ignored.
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
