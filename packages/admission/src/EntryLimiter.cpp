#include "kumquatbank/admission/EntryLimiter.h"

#include <algorithm>
#include <cmath>
#include <mutex>
#include <unordered_map>
#include <utility>

namespace kumquatbank {

namespace {

    using Seconds = std::chrono::duration<double>;

    /// Burst size of a rate limit, as the time over which unused tokens accumulate. A longer time would let an
    /// idle entry exceed its limit for just as long.
    constexpr Seconds burstSpan { 0.25 };

    /// Suggested wait when the concurrency share is exhausted; about the duration of a request.
    constexpr Milliseconds concurrencyRetryAfter { 50 };
    constexpr Milliseconds maxRetryAfter { 30'000 };
    constexpr std::size_t minSweepThreshold = 64;

    /// Usage of one entry's limits by this database.
    struct Usage {
        unsigned running = 0;
        double tokens = 1; ///< A database that has just moved here exceeds the rate by at most one request.
        TimePoint refilledAt = Clock::now();
    };

    unsigned concurrencyShare(unsigned limit, std::size_t index, std::size_t count)
    {
        return static_cast<unsigned>(limit / count + (index < limit % count ? 1 : 0));
    }

    tl::unexpected<Failure> refusal(const CatalogueEntry& entry, std::string message, Milliseconds retryAfter)
    {
        auto failure = notRun(FailureCode::Refused, std::move(message), Cause::EntryLimit);
        failure.value().entry = entry.name;
        failure.value().owner = entry.owner;
        failure.value().retryAfter = std::clamp(retryAfter, Milliseconds(1), maxRetryAfter);
        return failure;
    }

} // namespace

class EntryLimiter::Impl {
public:
    /// Acquires a permit; returns the refusal if the share is exhausted.
    std::optional<tl::unexpected<Failure>> acquire(const CatalogueEntry& entry, std::size_t index, std::size_t count)
    {
        const std::scoped_lock lock(m_mutex);
        Usage& usage = usageOf(entry.name);
        if (entry.maxConcurrent) {
            const unsigned share = concurrencyShare(*entry.maxConcurrent, index, count);
            if (usage.running >= share) {
                return refusal(entry,
                    "maxConcurrent of " + std::to_string(*entry.maxConcurrent) + " reached; share of this database: "
                        + std::to_string(share),
                    concurrencyRetryAfter);
            }
        }
        if (entry.maxPerSecond) {
            const double share = *entry.maxPerSecond / static_cast<double>(count);
            refill(usage, share);
            if (usage.tokens < 1) {
                const Seconds untilNextToken((1 - usage.tokens) / std::max(share, 1e-6));
                const auto retryAfter
                    = std::chrono::ceil<Milliseconds>(std::min(untilNextToken, Seconds(maxRetryAfter)));
                return refusal(entry, "this database's share of maxPerSecond is exhausted", retryAfter);
            }
            usage.tokens -= 1;
        }
        ++usage.running;
        return std::nullopt;
    }

    void release(const std::string& entry)
    {
        const std::scoped_lock lock(m_mutex);
        --m_usage.at(entry).running;
    }

private:
    static void refill(Usage& usage, double perSecond)
    {
        const auto now = Clock::now();
        const double burst = std::max(1.0, perSecond * burstSpan.count());
        usage.tokens = std::min(burst, usage.tokens + perSecond * Seconds(now - usage.refilledAt).count());
        usage.refilledAt = now;
    }

    Usage& usageOf(const std::string& entry)
    {
        if (m_usage.size() >= m_sweepThreshold) {
            // Removes only entries unused for a minute: a recently used entry would regain a token that it has spent.
            const auto unusedSince = Clock::now() - std::chrono::minutes(1);
            std::erase_if(m_usage,
                [&](const auto& it) { return it.second.running == 0 && it.second.refilledAt < unusedSince; });
            m_sweepThreshold = std::max(minSweepThreshold, 2 * m_usage.size());
        }
        return m_usage[entry];
    }

    std::mutex m_mutex;
    std::unordered_map<std::string, Usage> m_usage;
    std::size_t m_sweepThreshold = minSweepThreshold;
};

EntryLimiter::EntryLimiter()
    : m_impl(std::make_unique<Impl>())
{
}

EntryLimiter::~EntryLimiter() = default;

Result<EntryLimiter::Permit> EntryLimiter::acquire(const CatalogueEntry& entry, std::size_t index, std::size_t count)
{
    if (count == 0 || index >= count)
        return notRun(FailureCode::BadRequest, "database index must be below the number of databases");
    if (auto refused = m_impl->acquire(entry, index, count))
        return std::move(*refused);
    return Permit(this, entry.name);
}

EntryLimiter::Permit::Permit(EntryLimiter* limiter, std::string entry)
    : m_limiter(limiter)
    , m_entry(std::move(entry))
{
}

EntryLimiter::Permit::Permit(Permit&& other) noexcept
    : m_limiter(std::exchange(other.m_limiter, nullptr))
    , m_entry(std::move(other.m_entry))
{
}

EntryLimiter::Permit& EntryLimiter::Permit::operator=(Permit&& other) noexcept
{
    if (this == &other)
        return *this;
    const Permit previous(std::move(*this)); // released at the end of this function
    m_limiter = std::exchange(other.m_limiter, nullptr);
    m_entry = std::move(other.m_entry);
    return *this;
}

EntryLimiter::Permit::~Permit()
{
    if (m_limiter)
        m_limiter->m_impl->release(m_entry);
}

} // namespace kumquatbank
