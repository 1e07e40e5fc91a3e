#include "kumquatbank/routing/ConnectionCache.h"

#include "kumquatbank/routing/AccountShare.h"

#include <tuple>

namespace kumquatbank {

void ConnectionCache::recordUse(std::string_view account, BootTime now) { find(account).use.recordUse(now); }

void ConnectionCache::recordHold(std::string_view account, std::chrono::nanoseconds held, BootTime now)
{
    find(account).use.recordHold(held, now);
}

void ConnectionCache::addInUse(std::string_view account)
{
    ++find(account).inUse;
    ++m_held;
}

void ConnectionCache::removeInUse(std::string_view account)
{
    auto& recorded = find(account);
    if (recorded.inUse == 0)
        return;
    --recorded.inUse;
    --m_held;
}

void ConnectionCache::addIdle(std::string_view account)
{
    ++find(account).idle;
    ++m_held;
}

void ConnectionCache::removeIdle(std::string_view account)
{
    --find(account).idle;
    --m_held;
}

std::chrono::microseconds ConnectionCache::openingCost(std::string_view account, int limit, std::chrono::microseconds connectTime) const
{
    const auto* const recorded = findRecorded(account);
    if (recorded != nullptr && recorded->idle > 0)
        return std::chrono::microseconds(0);
    return m_held < limit ? connectTime : 2 * connectTime;
}

int ConnectionCache::held(std::string_view account) const
{
    const auto* const recorded = findRecorded(account);
    return recorded == nullptr ? 0 : recorded->idle + recorded->inUse;
}

double ConnectionCache::ratePerSecond(std::string_view account, BootTime now) const
{
    const auto* const recorded = findRecorded(account);
    return recorded == nullptr ? 0.0 : recorded->use.ratePerSecond(now);
}

std::optional<ConnectionCache::Choice> ConnectionCache::chooseReplaced(std::string_view account, std::span<const Idle> idle, int limit, BootTime now) const
{
    std::optional<Choice> best;
    std::map<std::string_view, Choice> byAccount;
    for (std::size_t i = 0; i < idle.size(); ++i) {
        if (idle[i].account == account)
            continue;
        auto [it, isNew] = byAccount.try_emplace(idle[i].account);
        // Of each account, only the connection that has been idle for the longest time is a candidate.
        if (!isNew)
            continue;
        const auto* const recorded = findRecorded(idle[i].account);
        const int heldByAccount = held(idle[i].account);
        it->second.index = i;
        it->second.isAboveShare = heldByAccount > accountShare(limit);
        it->second.ratePerSecond = recorded == nullptr ? 0.0 : recorded->use.ratePerSecondOf(heldByAccount, now);
        const auto rank = [](const Choice& choice) { return std::tuple(!choice.isAboveShare, choice.ratePerSecond); };
        if (!best || rank(it->second) < rank(*best))
            best = it->second;
    }
    return best;
}

void ConnectionCache::forgetUnused(BootTime now)
{
    std::erase_if(m_accounts, [now](const auto& item) {
        const Account& account = item.second;
        return account.idle == 0 && account.inUse == 0 && account.use.isForgotten(now);
    });
}

ConnectionCache::Account& ConnectionCache::find(std::string_view account)
{
    const auto it = m_accounts.find(account);
    return it != m_accounts.end() ? it->second : m_accounts.try_emplace(std::string(account)).first->second;
}

const ConnectionCache::Account* ConnectionCache::findRecorded(std::string_view account) const
{
    const auto it = m_accounts.find(account);
    return it == m_accounts.end() ? nullptr : &it->second;
}

} // namespace kumquatbank
