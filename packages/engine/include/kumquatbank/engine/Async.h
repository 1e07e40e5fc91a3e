#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "kumquatbank/core/BootClock.h"
#include "kumquatbank/core/HostAddress.h"

namespace kumquatbank {

namespace asio = boost::asio;

template <typename T>
using Task = asio::awaitable<T>;

/// Completion token that returns the error code with the result instead of throwing it.
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

/// Wait traits for BootClock, which keeps running while the host is suspended. Asio requires these function names.
struct BootWaitTraits {
    /// Longest single wait. Bounds how late a timer is re-evaluated after a suspension.
    static constexpr BootClock::duration maxStep = std::chrono::seconds(1);

    // NOLINTNEXTLINE(readability-identifier-naming)
    static BootClock::duration to_wait_duration(const BootClock::duration& remaining) { return std::min(remaining, maxStep); }
    // NOLINTNEXTLINE(readability-identifier-naming)
    static BootClock::duration to_wait_duration(const BootClock::time_point& at)
    {
        return to_wait_duration(at - BootClock::now());
    }
};

using BootTimer = asio::basic_waitable_timer<BootClock, BootWaitTraits, asio::io_context::executor_type>;

/// Suspends the calling coroutine for @p duration.
inline Task<void> sleepFor(asio::io_context& io, std::chrono::milliseconds duration)
{
    BootTimer timer(io, duration);
    co_await timer.async_wait(asTuple);
}

inline asio::ip::tcp::endpoint toEndpoint(const HostAddress& address)
{
    return { asio::ip::make_address(address.ip), address.port };
}

} // namespace kumquatbank
