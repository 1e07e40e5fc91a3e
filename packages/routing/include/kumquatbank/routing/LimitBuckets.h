#pragma once

#include "kumquatbank/core/BootClock.h"
#include "kumquatbank/routing/LimitTerms.h"

namespace kumquatbank {

/// Token buckets of all limited accounts, for a fraction of the fleet that varies over time. Each bucket produces the
/// fraction of its account's rate and holds at most the fraction of its capacity. Buckets begin empty.
class LimitBuckets {
public:
    explicit LimitBuckets(BootTime now)
        : m_advancedAt(now)
    {
    }

    /// Accounts that remain keep their tokens, up to the new capacity. New accounts begin empty.
    void setTerms(const LimitTermsByAccount& terms, BootTime now);
    /// Sets the fraction from @p now on. A smaller one removes tokens above the new capacity.
    void setFraction(double fraction, BootTime now);
    double fraction() const { return m_fraction; }

    /// Null if the account has no limit.
    const LimitTerms* find(std::string_view account) const;
    /// Tokens of an account; 0 if it has no limit.
    double level(std::string_view account, BootTime now);
    /// Removes up to @p wanted tokens and returns how many.
    double take(std::string_view account, double wanted, BootTime now);
    /// Adds up to @p offered tokens, as far as there is room, and returns how many.
    double put(std::string_view account, double offered, BootTime now);

private:
    struct Bucket {
        LimitTerms terms;
        double level = 0;
        double refilledAt = 0; ///< Value of m_production up to which the level is refilled.
    };

    void advance(BootTime now);
    void refill(Bucket& bucket) const;
    Bucket* refilled(std::string_view account, BootTime now);

    std::map<std::string, Bucket, std::less<>> m_buckets;
    double m_fraction = 0;
    double m_production = 0; ///< Integral of the fraction over time, in seconds.
    BootTime m_advancedAt;
};

} // namespace kumquatbank
