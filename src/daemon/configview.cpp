#include "daemon/configview.h"

namespace Kumquatpick {

void ConfigView::setListener(Listener listener)
{
    std::lock_guard lock(m_mutex);
    m_listener = std::move(listener);
}

void ConfigView::update(const AcceptedConfig* config)
{
    if (!config)
        return;
    std::lock_guard lock(m_mutex);
    if (config->version <= m_accepted.version)
        return;
    m_accepted = { config->version, config->text };
    m_parsed = std::make_shared<OperatorConfig>(config->parsed);
    // The listener is called under the lock, so that it receives the versions in increasing order.
    if (m_listener)
        m_listener(*m_parsed);
}

std::shared_ptr<const OperatorConfig> ConfigView::text() const
{
    std::lock_guard lock(m_mutex);
    return m_parsed;
}

AcceptedText ConfigView::accepted() const
{
    std::lock_guard lock(m_mutex);
    return m_accepted;
}

Offset ConfigView::version() const
{
    std::lock_guard lock(m_mutex);
    return m_accepted.version;
}

} // namespace Kumquatpick
