#pragma once

#include <chrono>
#include <random>
#include <ranges>

namespace kumquatbank {

/// Random number generator for jitter, which keeps hosts from retrying at the same time. Seeded from the system's
/// random device. Not thread-safe; use it only on the thread of the event loop.
inline std::minstd_rand& randomEngine()
{
    static std::minstd_rand engine { std::random_device {}() };
    return engine;
}

/// Returns a uniformly distributed delay between @p minimum and @p maximum, both included.
inline std::chrono::milliseconds randomDelay(std::chrono::milliseconds minimum, std::chrono::milliseconds maximum)
{
    std::uniform_int_distribution<std::chrono::milliseconds::rep> distribution(minimum.count(), maximum.count());
    return std::chrono::milliseconds(distribution(randomEngine()));
}

/// Returns a uniformly chosen element of @p items, which must not be empty.
template <std::ranges::random_access_range Range>
const auto& randomElement(const Range& items)
{
    std::uniform_int_distribution<std::size_t> indexDistribution(0, std::ranges::size(items) - 1);
    return items[indexDistribution(randomEngine())];
}

} // namespace kumquatbank
