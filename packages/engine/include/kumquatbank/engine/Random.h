#pragma once

#include <chrono>
#include <random>
#include <ranges>

namespace kumquatbank {

/// Random numbers that spread the attempts of hosts. Seeded from the system; belongs to the thread of the event loop.
inline std::minstd_rand& randomEngine()
{
    static std::minstd_rand engine { std::random_device {}() };
    return engine;
}

/// A delay drawn evenly from @p minimum to @p maximum.
inline std::chrono::milliseconds randomDelay(std::chrono::milliseconds minimum, std::chrono::milliseconds maximum)
{
    std::uniform_int_distribution<std::chrono::milliseconds::rep> distribution(minimum.count(), maximum.count());
    return std::chrono::milliseconds(distribution(randomEngine()));
}

/// One of @p items, which must not be empty.
template <std::ranges::random_access_range Range>
const auto& randomElement(const Range& items)
{
    std::uniform_int_distribution<std::size_t> indexDistribution(0, std::ranges::size(items) - 1);
    return items[indexDistribution(randomEngine())];
}

} // namespace kumquatbank
