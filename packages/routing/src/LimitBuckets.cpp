#include "kumquatbank/routing/LimitBuckets.h"

#include <algorithm>

namespace kumquatbank {

void LimitBuckets::advance(BootTime now)
{
    if (now <= m_advancedAt)
        return;
    m_production += m_fraction * std::chrono::duration<double>(now - m_advancedAt).count();
    m_advancedAt = now;
}

void LimitBuckets::refill(Bucket& bucket) const
{
    const double produced = bucket.terms.perSecond * (m_production - bucket.refilledAt);
    bucket.level = std::min(bucket.level + produced, bucket.terms.capacity * m_fraction);
    bucket.refilledAt = m_production;
}

LimitBuckets::Bucket* LimitBuckets::refilled(std::string_view account, BootTime now)
{
    const auto it = m_buckets.find(account);
    if (it == m_buckets.end())
        return nullptr;
    advance(now);
    refill(it->second);
    return &it->second;
}

void LimitBuckets::setTerms(const LimitTermsByAccount& terms, BootTime now)
{
    advance(now);
    std::erase_if(m_buckets, [&](const auto& item) { return !terms.contains(item.first); });
    for (const auto& [account, accountTerms] : terms) {
        const auto [it, isNew] = m_buckets.try_emplace(account);
        auto& bucket = it->second;
        if (isNew)
            bucket.refilledAt = m_production;
        refill(bucket);
        bucket.terms = accountTerms;
        bucket.level = std::min(bucket.level, accountTerms.capacity * m_fraction);
    }
}

void LimitBuckets::setFraction(double fraction, BootTime now)
{
    advance(now);
    if (fraction < m_fraction) {
        // A bucket that is refilled later would be limited by the fraction of that time only.
        for (auto& [account, bucket] : m_buckets) {
            refill(bucket);
            bucket.level = std::min(bucket.level, bucket.terms.capacity * fraction);
        }
    }
    m_fraction = fraction;
}

const LimitTerms* LimitBuckets::find(std::string_view account) const
{
    const auto it = m_buckets.find(account);
    return it == m_buckets.end() ? nullptr : &it->second.terms;
}

double LimitBuckets::level(std::string_view account, BootTime now)
{
    const auto* bucket = refilled(account, now);
    return bucket == nullptr ? 0 : bucket->level;
}

double LimitBuckets::take(std::string_view account, double wanted, BootTime now)
{
    auto* bucket = refilled(account, now);
    if (bucket == nullptr)
        return 0;
    const double taken = std::clamp(wanted, 0.0, bucket->level);
    bucket->level -= taken;
    return taken;
}

double LimitBuckets::put(std::string_view account, double offered, BootTime now)
{
    auto* bucket = refilled(account, now);
    if (bucket == nullptr)
        return 0;
    const double added = std::clamp(bucket->terms.capacity * m_fraction - bucket->level, 0.0, offered);
    bucket->level += added;
    return added;
}

} // namespace kumquatbank
