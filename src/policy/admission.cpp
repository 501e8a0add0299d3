#include "policy/admission.h"

#include "policy/fairqueue.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <shared_mutex>
#include <unordered_map>
#include <vector>

namespace Kumquatpick {

namespace {

    constexpr uint32_t defaultQueueLimit = 256;
    // Short, because other nodes can take the callers of a stopping node at once.
    constexpr Milliseconds shutdownRetryAfter { 200 };

    // Each waiting thread has its own condition variable, so that a free stream wakes only the thread that gets it.
    struct Waiter {
        std::condition_variable decided;
        std::optional<AdmissionOutcome> outcome;
    };

    // The queue of one service, under its own lock.
    struct ServiceGate {
        explicit ServiceGate(Random::result_type seed)
            : random(seed)
        {
        }

        // Passes the queue's decisions to the waiting threads.
        void deliver()
        {
            for (const QueueDecision& decision : queue.takeDecisions()) {
                auto found = waiters.find(decision.ticket);
                if (found == waiters.end())
                    continue;
                found->second->outcome = decision.outcome;
                found->second->decided.notify_one();
                waiters.erase(found);
            }
        }

        std::mutex mutex;
        FairQueue queue;
        Random random;
        std::unordered_map<Ticket, Waiter*> waiters;
        Ticket lastTicket = 0;
        bool shuttingDown = false;
    };

} // namespace

struct Admission::Impl {
    ServiceGate* find(std::string_view service)
    {
        std::shared_lock lock(mutex);
        auto found = gates.find(service);
        return found == gates.end() ? nullptr : found->second.get();
    }

    // Gates are never removed, so they may be used without holding the lock of the map.
    ServiceGate& findOrAdd(std::string_view service)
    {
        if (ServiceGate* found = find(service))
            return *found;
        std::lock_guard lock(mutex);
        auto& gate = gates[std::string(service)];
        if (!gate) {
            gate = std::make_unique<ServiceGate>(seeds());
            gate->queue.configure(defaultQueueLimit, teams);
            gate->shuttingDown = shuttingDown;
        }
        return *gate;
    }

    template <typename Use> void forEach(Use&& use)
    {
        std::shared_lock lock(mutex);
        for (auto& [service, gate] : gates) {
            std::lock_guard gateLock(gate->mutex);
            use(service, *gate);
        }
    }

    std::shared_mutex mutex;
    std::map<std::string, std::unique_ptr<ServiceGate>, std::less<>> gates;
    std::vector<TeamConfig> teams;
    Random seeds = seededFromSystem();
    bool shuttingDown = false;
};

Admission::Admission()
    : m_impl(std::make_unique<Impl>())
{
}

Admission::~Admission() = default;

void Admission::configure(const OperatorConfig& text)
{
    {
        std::lock_guard lock(m_impl->mutex);
        m_impl->teams = text.teams;
    }
    for (const ServiceConfig& service : text.services) {
        ServiceGate& gate = m_impl->findOrAdd(service.name);
        std::lock_guard lock(gate.mutex);
        gate.queue.configure(service.queueLimit, text.teams);
    }
}

void Admission::setCapacity(std::string_view service, uint32_t streams, MonotonicTime now)
{
    ServiceGate& gate = m_impl->findOrAdd(service);
    std::lock_guard lock(gate.mutex);
    gate.queue.setCapacity(streams, now, gate.random);
    gate.deliver();
}

void Admission::setRemoteUsage(std::span<const TeamUsage> summedOverOtherNodes)
{
    std::map<std::string_view, std::vector<TeamUsage>> byService;
    for (const TeamUsage& usage : summedOverOtherNodes)
        byService[usage.service].push_back(usage);
    m_impl->forEach([&](const std::string& service, ServiceGate& gate) {
        gate.queue.setRemoteUsage(byService[service], monotonicNow());
        gate.deliver();
    });
}

AdmissionOutcome Admission::admit(const AdmissionRequest& request)
{
    ServiceGate& gate = m_impl->findOrAdd(request.service);
    std::unique_lock lock(gate.mutex);
    if (gate.shuttingDown)
        return { AdmissionVerdict::ShuttingDown, shutdownRetryAfter };
    QueueRequest queued { ++gate.lastTicket, request.team, request.priority, request.deadline };
    auto immediateOutcome = gate.queue.arrive(queued, monotonicNow(), gate.random);
    gate.deliver();
    if (immediateOutcome)
        return *immediateOutcome;
    Waiter waiter;
    gate.waiters[queued.ticket] = &waiter;
    while (!waiter.outcome) {
        waiter.decided.wait_until(lock, gate.queue.expiresAt(queued.ticket).value_or(request.deadline));
        if (waiter.outcome)
            break;
        gate.queue.expire(monotonicNow(), gate.random);
        gate.deliver();
    }
    return *waiter.outcome;
}

void Admission::release(std::string_view service, std::string_view team, std::chrono::nanoseconds ran)
{
    ServiceGate* gate = m_impl->find(service);
    if (!gate)
        return;
    std::lock_guard lock(gate->mutex);
    gate->queue.release(team, ran, monotonicNow(), gate->random);
    gate->deliver();
}

std::vector<TeamUsage> Admission::localUsage() const
{
    std::vector<TeamUsage> all;
    m_impl->forEach([&](const std::string& service, ServiceGate& gate) {
        for (TeamUsage& usage : gate.queue.usage(service))
            all.push_back(std::move(usage));
    });
    return all;
}

void Admission::shutDown()
{
    {
        std::lock_guard lock(m_impl->mutex);
        m_impl->shuttingDown = true;
    }
    m_impl->forEach([](const std::string&, ServiceGate& gate) {
        gate.shuttingDown = true;
        gate.queue.refuseAll(AdmissionVerdict::ShuttingDown, shutdownRetryAfter);
        gate.deliver();
    });
}

} // namespace Kumquatpick
