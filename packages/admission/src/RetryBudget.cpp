#include "kumquatbank/admission/RetryBudget.h"

#include <array>
#include <cstdint>
#include <mutex>
#include <numeric>

namespace kumquatbank {

/// Counts first tries and retries in a ring of buckets of equal duration; expired buckets are cleared.
class RetryBudget::Impl {
public:
    Impl(double share, Milliseconds window)
        : m_share(share)
        , m_bucketSpan(std::max<Clock::duration>(window / bucketCount, Milliseconds(1)))
    {
    }

    void recordFirstTry()
    {
        const std::scoped_lock lock(m_mutex);
        ++currentBucket().firstTries;
    }

    bool tryRetry()
    {
        const std::scoped_lock lock(m_mutex);
        Bucket& current = currentBucket();
        std::uint64_t firstTries = 0;
        std::uint64_t retries = 0;
        for (const Bucket& bucket : m_buckets) {
            firstTries += bucket.firstTries;
            retries += bucket.retries;
        }
        if (static_cast<double>(retries + 1) > m_share * static_cast<double>(firstTries))
            return false;
        ++current.retries;
        return true;
    }

private:
    /// More buckets would expire counts more evenly; ten keep the error of the window length within 10%.
    static constexpr std::size_t bucketCount = 10;

    struct Bucket {
        Clock::rep number = -1; ///< Number of the bucket's period since the clock's epoch; -1 while unused.
        std::uint64_t firstTries = 0;
        std::uint64_t retries = 0;
    };

    Bucket& currentBucket()
    {
        const auto number = Clock::now().time_since_epoch() / m_bucketSpan;
        for (Bucket& bucket : m_buckets) {
            if (bucket.number <= number - static_cast<Clock::rep>(bucketCount))
                bucket = Bucket {};
        }
        Bucket& bucket = m_buckets[static_cast<std::size_t>(number) % bucketCount];
        bucket.number = number;
        return bucket;
    }

    std::mutex m_mutex;
    double m_share;
    Clock::duration m_bucketSpan;
    std::array<Bucket, bucketCount> m_buckets;
};

RetryBudget::RetryBudget(double share, Milliseconds window)
    : m_impl(std::make_unique<Impl>(share, window))
{
}

RetryBudget::~RetryBudget() = default;

void RetryBudget::recordFirstTry() { m_impl->recordFirstTry(); }
bool RetryBudget::tryRetry() { return m_impl->tryRetry(); }

} // namespace kumquatbank
