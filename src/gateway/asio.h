#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Kumquatpick {

// Completes a co_await with (error, ...) in place of an exception: errors of connections are everyday here.
constexpr auto asTuple = boost::asio::as_tuple(boost::asio::use_awaitable);

// Suspends the calling coroutine for a time, or until its event loop ends.
template <typename Duration> boost::asio::awaitable<void> pause(Duration duration)
{
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, duration);
    co_await timer.async_wait(asTuple);
}

} // namespace Kumquatpick
