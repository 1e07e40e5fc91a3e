#include "kumquatbank/routing/AccountUsage.h"

#include <algorithm>
#include <cmath>

namespace kumquatbank {

namespace {

    using Seconds = std::chrono::duration<double>;

    /// Time constant of the decay of the used time. A tenfold burst of a large account is noticed within about a tenth of
    /// it; bursts last 5 to 8 s.
    constexpr Seconds usageDecay { 2.0 };
    constexpr std::chrono::milliseconds rescaleInterval { 500 };
    /// An account is over its share if it exceeds the share by more than the sum of three allowances. The first is this
    /// many standard deviations of a random number of grants; without it, half of the accounts would be over at any time.
    constexpr double deviations = 1.0;
    /// The second is this number of grants: the smallest accounts send less than one request in the measured time.
    constexpr double slackGrants = 2.0;
    /// The third is this fraction of all granted time: a single transaction of a small account exceeds its share for
    /// seconds, and an account that uses less than this displaces nobody.
    constexpr double slackFraction = 0.005;
    /// An account without permits and requests is forgotten once its used time is below this fraction of one grant.
    constexpr double idleFraction = 0.1;

} // namespace

void AccountUsage::advanceTo(BootTime now)
{
    if (now <= m_now)
        return;
    m_now = now;
    if (now - m_scaledAt >= rescaleInterval)
        rescale();
    m_scale = std::exp(Seconds(m_now - m_scaledAt) / usageDecay);
}

void AccountUsage::rescale()
{
    const auto decay = std::exp(Seconds(m_scaledAt - m_now) / usageDecay);
    m_scaledAt = m_now;
    m_used = 0;
    for (auto it = m_accounts.begin(); it != m_accounts.end();) {
        auto& account = it->second;
        account.used *= decay;
        if (account.inUse == 0 && account.waiting == 0 && account.used < idleFraction * m_expectedHold) {
            setWeight(account, 0);
            it = m_accounts.erase(it);
            continue;
        }
        m_used += account.used;
        ++it;
    }
}

void AccountUsage::setWeight(Account& account, double weight)
{
    m_weighted = m_weighted + (weight > 0 ? 1 : 0) - (account.weight > 0 ? 1 : 0);
    // Assigned instead of added where no other account has a weight, so that rounding errors do not accumulate.
    m_weightSum = m_weighted == (weight > 0 ? 1U : 0U) ? weight : m_weightSum + weight - account.weight;
    account.weight = weight;
}

AccountUsage::Account& AccountUsage::enter(std::string_view name, double weight)
{
    auto it = m_accounts.find(name);
    if (it == m_accounts.end())
        it = m_accounts.emplace(std::string(name), Account()).first;
    const auto usableWeight = std::max(0.0, weight);
    if (it->second.weight != usableWeight)
        setWeight(it->second, usableWeight);
    return it->second;
}

const AccountUsage::Account* AccountUsage::find(std::string_view name) const
{
    const auto it = m_accounts.find(name);
    return it == m_accounts.end() ? nullptr : &it->second;
}

void AccountUsage::startWaiting(Account& account)
{
    if (account.waiting++ > 0)
        return;
    ++m_waitingAccounts;
    // An account that was idle starts at the present virtual time: it gets no credit for the past.
    account.startTag = std::max(account.startTag, m_virtualTime);
    account.waitingOrder = ++m_waitingOrder;
}

void AccountUsage::stopWaiting(Account& account)
{
    if (--account.waiting == 0)
        --m_waitingAccounts;
}

void AccountUsage::recordGrant(Account& account)
{
    if (account.waiting == 0)
        account.startTag = std::max(account.startTag, m_virtualTime);
    m_virtualTime = std::max(m_virtualTime, account.startTag);
    account.startTag += m_expectedHold / effectiveWeight(account);
    ++account.inUse;
    ++m_inUse;
}

void AccountUsage::recordRelease(std::string_view name, std::chrono::microseconds hold)
{
    const auto it = m_accounts.find(name);
    if (it == m_accounts.end() || it->second.inUse == 0)
        return;
    auto& account = it->second;
    --account.inUse;
    --m_inUse;
    // Time that was used long ago counts less, also within one long transaction.
    const auto used = usageDecay.count() * (1.0 - std::exp(-Seconds(hold) / usageDecay));
    if (m_waitingAccounts > (account.waiting > 0 ? 1 : 0)) {
        account.used += used * m_scale;
        m_used += used * m_scale;
    }
    account.startTag += (used - m_expectedHold) / effectiveWeight(account);
}

void AccountUsage::cancelGrant(std::string_view name) { recordRelease(name, std::chrono::microseconds(0)); }

bool AccountUsage::isOverShare(const Account& account, std::size_t ahead) const
{
    const auto further = static_cast<double>(ahead) * m_expectedHold;
    const auto used = account.used / m_scale + account.inUse * m_expectedHold + further;
    const auto total = m_used / m_scale + m_inUse * m_expectedHold + further;
    const auto share = effectiveWeight(account) / totalWeight() * total;
    const auto noise = deviations * std::sqrt(share * m_expectedHold) + slackGrants * m_expectedHold;
    return used > share + noise + slackFraction * total;
}

double AccountUsage::startTag(const Account* account, std::size_t ahead) const
{
    if (account == nullptr)
        return m_virtualTime;
    const auto first = account->waiting > 0 ? account->startTag : std::max(account->startTag, m_virtualTime);
    return first + static_cast<double>(ahead) * m_expectedHold / effectiveWeight(*account);
}

std::size_t AccountUsage::accountsOverShare() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_accounts, [this](const auto& item) { return isOverShare(item.second); }));
}

} // namespace kumquatbank
