#include "policy/router.h"

#include "policy/servicerouter.h"

#include <map>
#include <shared_mutex>
#include <utility>

namespace Kumquatpick {

// The router of one service, under its own lock.
struct Router::ServiceView {
    explicit ServiceView(Random::result_type seed)
        : random(seed)
    {
    }

    mutable std::mutex mutex;
    ServiceRouter router;
    Random random;
};

struct Router::Impl {
    ServiceView* find(std::string_view service) const
    {
        std::shared_lock lock(mutex);
        auto found = services.find(service);
        return found == services.end() ? nullptr : found->second.get();
    }

    // Services are never removed, so a view may be used without holding the lock of the map.
    ServiceView& findOrAdd(std::string_view service)
    {
        if (ServiceView* found = find(service))
            return *found;
        std::lock_guard lock(mutex);
        auto& view = services[std::string(service)];
        if (!view)
            view = std::make_unique<ServiceView>(seeds());
        return *view;
    }

    mutable std::shared_mutex mutex;
    std::map<std::string, std::unique_ptr<ServiceView>, std::less<>> services;
    Random seeds;
};

Router::Router(Random::result_type seed)
    : m_impl(std::make_unique<Impl>())
{
    m_impl->seeds.seed(seed);
}

Router::~Router() = default;

void Router::setServing(std::string_view service, std::vector<ReplicaSample> samples)
{
    ServiceView& view = m_impl->findOrAdd(service);
    std::lock_guard lock(view.mutex);
    view.router.setServing(std::move(samples));
}

void Router::cacheEvent(std::string_view service, const CacheEvent& event)
{
    ServiceView& view = m_impl->findOrAdd(service);
    std::lock_guard lock(view.mutex);
    view.router.cacheEvent(event);
}

std::string Router::choose(const RequestShape& shape, MonotonicTime now)
{
    ServiceView* view = m_impl->find(shape.service);
    if (!view)
        return {};
    std::lock_guard lock(view->mutex);
    return view->router.choose(shape, now, view->random);
}

void Router::firstToken(
    std::string_view service, std::string_view replica, std::chrono::nanoseconds sinceDispatch, MonotonicTime now)
{
    ServiceView* view = m_impl->find(service);
    if (!view)
        return;
    std::lock_guard lock(view->mutex);
    view->router.firstToken(replica, sinceDispatch, now);
}

void Router::ended(std::string_view service, std::string_view replica, DispatchEnd end, MonotonicTime now)
{
    ServiceView* view = m_impl->find(service);
    if (!view)
        return;
    std::lock_guard lock(view->mutex);
    view->router.ended(replica, end, now);
}

void Router::backoffRequested(
    std::string_view service, std::string_view replica, Milliseconds backoff, MonotonicTime now)
{
    ServiceView* view = m_impl->find(service);
    if (!view)
        return;
    std::lock_guard lock(view->mutex);
    view->router.backoffRequested(replica, backoff, now);
}

uint32_t Router::freeStreams(std::string_view service) const
{
    ServiceView* view = m_impl->find(service);
    if (!view)
        return 0;
    std::lock_guard lock(view->mutex);
    return view->router.freeStreams();
}

} // namespace Kumquatpick
