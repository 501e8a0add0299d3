#include "standin/registration.h"

#include <httplib.h>

namespace Kumquatpick {

namespace {

    constexpr Milliseconds retryPeriod { 200 };

} // namespace

Registration::Registration(Address membership, std::string host, std::string entryJson)
    : m_membership(std::move(membership))
    , m_host(std::move(host))
    , m_entry(std::move(entryJson))
    , m_thread([this] { run(); })
{
}

Registration::~Registration()
{
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_stopped.notify_all();
    }
    m_thread.join();
}

void Registration::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        lock.unlock();
        httplib::Client client(m_membership.ip, m_membership.port);
        httplib::Result result = client.Put("/v1/hosts/" + m_host, m_entry, "application/json");
        lock.lock();
        if (result && result->status == 200)
            return;
        m_stopped.wait_for(lock, retryPeriod, [this] { return m_stopping; });
    }
}

} // namespace Kumquatpick
