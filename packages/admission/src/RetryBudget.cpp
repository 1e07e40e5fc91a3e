#include "kumquatbank/admission/RetryBudget.h"

#include <array>
#include <cstdint>
#include <mutex>
#include <numeric>

namespace kumquatbank {

/// Counts tries and retries in a ring of equal parts of the window; the oldest part is dropped as time passes.
class RetryBudget::Impl {
public:
    Impl(double share, Milliseconds window)
        : m_share(share)
        , m_partSpan(std::max<Clock::duration>(window / parts, Milliseconds(1)))
    {
    }

    void recordFirstTry()
    {
        const std::scoped_lock lock(m_mutex);
        ++currentPart().firstTries;
    }

    bool tryRetry()
    {
        const std::scoped_lock lock(m_mutex);
        Part& current = currentPart();
        std::uint64_t firstTries = 0;
        std::uint64_t retries = 0;
        for (const Part& part : m_parts) {
            firstTries += part.firstTries;
            retries += part.retries;
        }
        if (static_cast<double>(retries + 1) > m_share * static_cast<double>(firstTries))
            return false;
        ++current.retries;
        return true;
    }

private:
    /// Finer parts would forget more evenly; ten keep the error of the window below 10%.
    static constexpr std::size_t parts = 10;

    struct Part {
        Clock::rep number = -1; ///< Which span since the clock's epoch the counts belong to.
        std::uint64_t firstTries = 0;
        std::uint64_t retries = 0;
    };

    Part& currentPart()
    {
        const auto number = Clock::now().time_since_epoch() / m_partSpan;
        for (Part& part : m_parts) {
            if (part.number <= number - static_cast<Clock::rep>(parts))
                part = Part {};
        }
        Part& part = m_parts[static_cast<std::size_t>(number) % parts];
        part.number = number;
        return part;
    }

    std::mutex m_mutex;
    double m_share;
    Clock::duration m_partSpan;
    std::array<Part, parts> m_parts;
};

RetryBudget::RetryBudget(double share, Milliseconds window)
    : m_impl(std::make_unique<Impl>(share, window))
{
}

RetryBudget::~RetryBudget() = default;

void RetryBudget::recordFirstTry() { m_impl->recordFirstTry(); }
bool RetryBudget::tryRetry() { return m_impl->tryRetry(); }

} // namespace kumquatbank
