#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Kumquatpick {

// Makes a co_await return (error, ...) instead of throwing, because connection errors are frequent here.
constexpr auto asTuple = boost::asio::as_tuple(boost::asio::use_awaitable);

// Suspends the calling coroutine for a duration, or until its event loop ends.
template <typename Duration> boost::asio::awaitable<void> sleepFor(Duration duration)
{
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, duration);
    co_await timer.async_wait(asTuple);
}

} // namespace Kumquatpick
