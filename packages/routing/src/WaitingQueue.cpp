#include "kumquatbank/routing/WaitingQueue.h"

#include <algorithm>
#include <unordered_map>

namespace kumquatbank {

WaitingQueue::Iterator WaitingQueue::add(PermitRequest request, BootTime now, std::function<void(const std::string&)> onGranted)
{
    auto& requestUsage = usage(request.eligibility);
    auto& account = requestUsage.enter(request.account, request.accountWeight);
    requestUsage.startWaiting(account);
    const auto position = std::ranges::find_if(m_entries, [&](const Entry& entry) { return entry.request.priority > request.priority; });
    return m_entries.insert(position, { std::move(request), now, ++m_number, std::move(onGranted), nullptr, &account });
}

void WaitingQueue::advanceTo(BootTime now)
{
    m_primaryUsage.advanceTo(now);
    m_readUsage.advanceTo(now);
}

void WaitingQueue::remove(Iterator it)
{
    usage(it->request.eligibility).stopWaiting(*it->account);
    m_entries.erase(it);
}

bool WaitingQueue::precedes(const Entry& a, const Entry& b) const
{
    if (a.account != b.account) {
        const auto rankA = rank(a);
        const auto rankB = rank(b);
        if (rankA != rankB)
            return rankA < rankB;
        if (a.account->startTag != b.account->startTag)
            return a.account->startTag < b.account->startTag;
        return a.account->waitingOrder < b.account->waitingOrder;
    }
    if (a.request.priority != b.request.priority || a.request.account.empty())
        return a.request.priority < b.request.priority;
    const bool canMeetA = a.request.queueDeadline >= m_readUsage.now();
    const bool canMeetB = b.request.queueDeadline >= m_readUsage.now();
    return canMeetA != canMeetB ? canMeetA : a.request.queueDeadline < b.request.queueDeadline;
}

WaitingQueue::Iterator WaitingQueue::first(const Predicate& isServable)
{
    auto write = m_entries.end(); // The first request that needs the primary.
    auto read = m_entries.end();
    for (auto it = m_entries.begin(); it != m_entries.end(); ++it) {
        auto& best = it->request.eligibility == Eligibility::PrimaryOnly ? write : read;
        if ((best == m_entries.end() || precedes(*it, *best)) && isServable(it->request))
            best = it;
    }
    if (write == m_entries.end() || read == m_entries.end())
        return write == m_entries.end() ? read : write;
    // Start tags are comparable only between requests of the same eligibility.
    return std::pair(rank(*write), write->number) < std::pair(rank(*read), read->number) ? write : read;
}

WaitingQueue::Iterator WaitingQueue::oldest(const Predicate& isServable)
{
    const auto precedesByAge = [this](const Entry& a, const Entry& b) {
        const bool isOverA = isOverShare(a);
        const bool isOverB = isOverShare(b);
        return isOverA != isOverB ? isOverB : a.enqueuedAt < b.enqueuedAt;
    };
    auto best = m_entries.end();
    for (auto it = m_entries.begin(); it != m_entries.end(); ++it) {
        if ((best == m_entries.end() || precedesByAge(*it, *best)) && isServable(it->request))
            best = it;
    }
    return best;
}

bool WaitingQueue::isOwnAhead(const Entry& entry, const PermitRequest& request) const
{
    if (entry.request.priority != request.priority || request.account.empty())
        return entry.request.priority <= request.priority;
    return entry.request.queueDeadline >= m_readUsage.now() && entry.request.queueDeadline <= request.queueDeadline;
}

std::size_t WaitingQueue::countOwnAhead(const PermitRequest& request, const AccountUsage::Account* account) const
{
    if (account == nullptr || account->waiting == 0)
        return 0;
    return static_cast<std::size_t>(std::ranges::count_if(m_entries, [&](const Entry& entry) { return entry.account == account && isOwnAhead(entry, request); }));
}

RequestRank WaitingQueue::rankOfNew(const PermitRequest& request) const
{
    const auto& requestUsage = usage(request.eligibility);
    const auto* account = requestUsage.find(request.account);
    return { account != nullptr && requestUsage.isOverShare(*account, countOwnAhead(request, account)), request.priority };
}

std::size_t WaitingQueue::countAhead(const PermitRequest& request, const Predicate& competes) const
{
    if (m_entries.empty())
        return 0;
    const auto& ownUsage = usage(request.eligibility);
    const auto* own = ownUsage.find(request.account);
    const auto ownAhead = countOwnAhead(request, own);
    const RequestRank ownRank { own != nullptr && ownUsage.isOverShare(*own, ownAhead), request.priority };
    const auto ownTag = ownUsage.startTag(own, ownAhead);
    std::unordered_map<const AccountUsage::Account*, std::size_t> positions; // Of the next request of each account.
    const auto isAhead = [&](const Entry& entry) {
        if (entry.account == own)
            return isOwnAhead(entry, request);
        const auto& entryUsage = usage(entry.request.eligibility);
        const auto position = positions[entry.account]++;
        const RequestRank other { entryUsage.isOverShare(*entry.account, position), entry.request.priority };
        if (other != ownRank)
            return other < ownRank;
        return entry.request.eligibility != request.eligibility || entryUsage.startTag(entry.account, position) <= ownTag;
    };
    return static_cast<std::size_t>(std::ranges::count_if(m_entries, [&](const Entry& entry) { return isAhead(entry) && competes(entry.request); }));
}

} // namespace kumquatbank
