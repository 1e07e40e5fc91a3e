#include "RankQueue.h"

#include <algorithm>

namespace kumquatbank {

EntryQueue& RankQueue::queueOf(const CatalogueEntry& entry)
{
    if (m_entries.size() >= m_sweepThreshold)
        removeIdleEntries();
    EntryQueue& queue = m_entries[entry.name];
    const double floorShare = entry.floorPercent / 100;
    if (queue.floorShare == floorShare && queue.owner == entry.owner && queue.rank == entry.rank)
        return queue;
    const bool isWaiting = !queue.waiting.empty();
    if (isWaiting)
        removeFromIndex(queue);
    queue.entry = entry.name;
    queue.owner = entry.owner;
    queue.rank = entry.rank;
    queue.floorShare = floorShare;
    if (isWaiting)
        addToIndex(queue);
    return queue;
}

void RankQueue::push(EntryQueue& queue, const std::shared_ptr<WaitingRequest>& request, TimePoint now)
{
    if (queue.waiting.empty()) {
        queue.floor.activate(now);
        queue.startTag = std::max(queue.startTag, m_virtualTime);
    } else {
        removeFromIndex(queue);
    }
    request->queue = &queue;
    request->position = queue.waiting.insert(queue.waiting.end(), request);
    ++m_waiting;
    addToIndex(queue);
}

void RankQueue::remove(WaitingRequest& request)
{
    EntryQueue& queue = *request.queue;
    removeFromIndex(queue);
    queue.waiting.erase(request.position); // may destroy the request, which must not be used afterwards
    --m_waiting;
    if (!queue.waiting.empty())
        addToIndex(queue);
}

EntryQueue* RankQueue::mostOverdue(TimePoint now) const
{
    return m_byDue.empty() || m_byDue.begin()->first > now ? nullptr : m_byDue.begin()->second;
}

std::shared_ptr<WaitingRequest> RankQueue::pop(
    EntryQueue& queue, TimePoint now, Clock::duration service, double connections)
{
    removeFromIndex(queue);
    auto request = queue.waiting.front();
    queue.waiting.pop_front();
    --m_waiting;
    charge(queue, now, service, connections);
    if (!queue.waiting.empty())
        addToIndex(queue);
    return request;
}

void RankQueue::chargeImmediateStart(EntryQueue& queue, TimePoint now, Clock::duration service, double connections)
{
    queue.floor.activate(now);
    queue.startTag = std::max(queue.startTag, m_virtualTime);
    charge(queue, now, service, connections);
}

void RankQueue::charge(EntryQueue& queue, TimePoint now, Clock::duration service, double connections)
{
    if (connections > 0)
        queue.floor.charge(now, service, connections);
    m_virtualTime = std::max(m_virtualTime, queue.startTag);
    queue.startTag += std::chrono::duration<double>(service).count();
}

void RankQueue::addToIndex(EntryQueue& queue)
{
    queue.indexKey
        = m_order == EntryOrder::Fair ? queue.startTag : static_cast<double>(queue.waiting.front()->sequence);
    m_byOrder.emplace(queue.indexKey, &queue);
    m_byLength.emplace(queue.waiting.size(), &queue);
    if (queue.floorShare > 0)
        m_byDue.emplace(queue.floor.due(), &queue);
    m_activeFloorShare += queue.floorShare;
}

void RankQueue::removeFromIndex(EntryQueue& queue)
{
    m_byOrder.erase({ queue.indexKey, &queue });
    m_byLength.erase({ queue.waiting.size(), &queue });
    if (queue.floorShare > 0)
        m_byDue.erase({ queue.floor.due(), &queue });
    m_activeFloorShare -= queue.floorShare;
    if (m_byOrder.empty())
        m_activeFloorShare = 0; // discards accumulated rounding errors
}

void RankQueue::removeIdleEntries()
{
    std::erase_if(m_entries, [](const auto& it) { return it.second.running == 0 && it.second.waiting.empty(); });
    m_sweepThreshold = std::max<std::size_t>(64, 2 * m_entries.size());
}

} // namespace kumquatbank
