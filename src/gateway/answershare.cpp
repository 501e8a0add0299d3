#include "gateway/answershare.h"

#include "base/clock.h"
#include "gateway/asio.h"

#include <boost/asio/post.hpp>
#include <limits>

namespace Kumquatpick {

AnswerBudget::AnswerBudget(size_t bytes)
    : m_budget({ bytes, std::numeric_limits<size_t>::max() })
{
}

std::unique_ptr<AnswerShare> AnswerBudget::begin(beast::tcp_stream& stream)
{
    return std::make_unique<AnswerShare>(shared_from_this(), stream);
}

bool AnswerBudget::makeRoom(size_t bytes)
{
    while (!m_budget.willFit(bytes)) {
        auto worst = m_budget.endForBytes(monotonicNow());
        if (!worst)
            return false;
        beast::error_code ignored; // If this fails, no operation is pending.
        m_streams.at(*worst)->socket().cancel(ignored);
    }
    return true;
}

AnswerShare::AnswerShare(std::shared_ptr<AnswerBudget> owner, beast::tcp_stream& stream)
    : m_owner(std::move(owner))
    , m_id(m_owner->m_budget.add(monotonicNow()))
{
    m_owner->m_budget.setStage(m_id, ClientStage::Receiving, monotonicNow());
    m_owner->m_streams.emplace(m_id, &stream);
}

AnswerShare::~AnswerShare()
{
    m_owner->m_budget.remove(m_id);
    m_owner->m_streams.erase(m_id);
}

asio::awaitable<bool> AnswerShare::reserve(size_t bytes)
{
    ClientBudget& budget = m_owner->m_budget;
    size_t held = budget.at(m_id).bytes;
    if (bytes <= held) {
        reduce(bytes);
        co_return !isEnded();
    }
    size_t more = bytes - held;
    if (more > budget.limits().bytes)
        co_return false;
    // Those that were told to end let go of their memory in the next turns of the event loop.
    while (!isEnded() && !budget.fits(more)) {
        if (!m_owner->makeRoom(more))
            co_return false;
        co_await asio::post(co_await asio::this_coro::executor, asio::use_awaitable);
    }
    if (isEnded())
        co_return false;
    budget.setBytes(m_id, bytes);
    co_return true;
}

void AnswerShare::reduce(size_t bytes) { m_owner->m_budget.setBytes(m_id, bytes); }

bool AnswerShare::isEnded() const { return m_owner->m_budget.at(m_id).isLeaving; }

} // namespace Kumquatpick
