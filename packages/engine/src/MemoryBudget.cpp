#include "kumquatbank/engine/MemoryBudget.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace kumquatbank {

namespace {

    /// Percent of the budget up to which each use may fill it.
    constexpr std::array<std::size_t, 4> ceilingPercent { 50, 60, 85, 100 };

    constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

    /// A holder is closed for a smaller one only if it has this many times as much, so that equals do not close each other.
    constexpr std::size_t closableRatio = 4;

} // namespace

MemoryBudget& MemoryBudget::ofProcess()
{
    // Never destroyed: channels may end after static objects.
    static auto& budget = *new MemoryBudget(unlimited);
    return budget;
}

std::size_t MemoryBudget::available(MemoryUse use) const
{
    const auto ceiling = m_total == unlimited ? unlimited : m_total * ceilingPercent.at(static_cast<std::size_t>(use)) / 100;
    return ceiling - std::min(ceiling, m_used);
}

std::size_t MemoryBudget::fairShare() const
{
    const auto active = std::ranges::count_if(m_accounts, [](const auto& item) { return item.second.held > 0; });
    return m_total / static_cast<std::size_t>(std::max<std::ptrdiff_t>(1, active));
}

bool MemoryBudget::isClosable(const MemoryHolder& victim, const MemoryHolder* requester, MemoryUse use, std::size_t bytes, BootTime now) const
{
    if (&victim == requester || victim.m_isClosing || victim.m_held < minClosableBytes)
        return false;
    const auto phase = victim.memoryPhase();
    if (use == MemoryUse::Answer)
        return requester == nullptr ? phase != MemoryHolder::Phase::InTransaction : std::tuple(phase, requester->m_held) < std::tuple(requester->memoryPhase(), victim.m_held);
    if (phase == MemoryHolder::Phase::InTransaction)
        return false;
    return isStalled(victim, now) || (phase == MemoryHolder::Phase::Waiting && use != MemoryUse::Input && victim.m_held / closableRatio > wantedBytes(requester, bytes));
}

bool MemoryBudget::hasJustFailed(const MemoryHolder* requester, MemoryUse use, std::size_t bytes, BootTime now) const
{
    const auto& failed = m_failedSearches.at(static_cast<std::size_t>(use));
    return now - failed.at < searchInterval && wantedBytes(requester, bytes) >= failed.wanted;
}

void MemoryBudget::recordFailedSearch(const MemoryHolder* requester, MemoryUse use, std::size_t bytes, BootTime now)
{
    // For answers, the result depends on the requester. It also does if the requester is what another one could close.
    if (use == MemoryUse::Answer || (requester != nullptr && isClosable(*requester, nullptr, use, bytes, now)))
        return;
    m_failedSearches.at(static_cast<std::size_t>(use)) = { now, wantedBytes(requester, bytes) };
}

MemoryHolder* MemoryBudget::selectVictim(const MemoryHolder* requester, MemoryUse use, std::size_t bytes, BootTime now) const
{
    const auto share = fairShare();
    // Held memory multiplied by the time without movement: those that hold most and move least come first.
    const auto rank = [&](const MemoryHolder* holder) {
        const bool isOverShare = holder->m_account != nullptr && holder->m_account->held > share;
        const auto stalled = std::chrono::duration<double>(now - holder->m_movedAt).count();
        return std::tuple(holder->memoryPhase(), !isOverShare, -static_cast<double>(holder->m_held) * std::max(stalled, 0.001));
    };
    MemoryHolder* victim = nullptr;
    for (auto* const holder : m_holders) {
        if (isClosable(*holder, requester, use, bytes, now) && (victim == nullptr || rank(holder) < rank(victim)))
            victim = holder;
    }
    return victim;
}

bool MemoryBudget::reserve(MemoryHolder* holder, MemoryUse use, std::size_t bytes, BootTime now)
{
    // Memory of connections that are being closed is free soon; no more of them are closed than needed.
    while (available(use) + m_closing < bytes) {
        if (hasJustFailed(holder, use, bytes, now))
            break;
        auto* const victim = selectVictim(holder, use, bytes, now);
        if (victim == nullptr) {
            recordFailedSearch(holder, use, bytes, now);
            break;
        }
        victim->m_isClosing = true;
        m_closing += victim->m_held;
        ++m_closed;
        victim->closeForMemory();
    }
    if (available(use) < bytes || (holder != nullptr && holder->m_isClosing)) {
        ++m_refusals.at(static_cast<std::size_t>(use));
        return false;
    }
    m_used += bytes;
    if (holder != nullptr && bytes > 0) {
        if (holder->m_held == 0) {
            m_holders.insert(holder);
            holder->m_movedAt = now;
        }
        holder->m_held += bytes;
        if (holder->m_account != nullptr)
            holder->m_account->held += bytes;
    }
    return true;
}

void MemoryBudget::release(MemoryHolder* holder, std::size_t bytes)
{
    m_used -= bytes;
    if (holder == nullptr || bytes == 0)
        return;
    holder->m_held -= bytes;
    if (holder->m_isClosing)
        m_closing -= bytes;
    if (holder->m_account != nullptr)
        holder->m_account->held -= bytes;
    if (holder->m_held == 0)
        m_holders.erase(holder);
}

void MemoryBudget::setAccount(MemoryHolder& holder, const std::string& account)
{
    if (holder.m_account != nullptr)
        holder.m_account->held -= holder.m_held;
    holder.m_account = account.empty() ? nullptr : &m_accounts[account];
    if (holder.m_account != nullptr)
        holder.m_account->held += holder.m_held;
}

bool MemoryHold::resize(MemoryUse use, std::size_t bytes)
{
    auto& budget = MemoryBudget::ofProcess();
    if (bytes > m_bytes && !budget.reserve(m_holder, use, bytes - m_bytes, BootClock::now()))
        return false;
    if (bytes < m_bytes)
        budget.release(m_holder, m_bytes - bytes);
    m_bytes = bytes;
    return true;
}

} // namespace kumquatbank
