#pragma once

#include "EntryQueue.h"
#include "kumquatbank/catalogue/catalogue.h"

#include <cstdint>
#include <set>
#include <unordered_map>
#include <utility>

namespace kumquatbank {

/// How a RankQueue orders the requests of different entries.
enum class EntryOrder {
    Fair, ///< Equal connection time for every entry with demand (start-time fair queueing).
    Arrival,
};

/// Entries of one rank and their waiting requests. Every operation is O(log n) in the number of entries.
/// Not thread-safe.
class RankQueue {
public:
    explicit RankQueue(EntryOrder order)
        : m_order(order)
    {
    }

    /// Queue of @p entry, created if needed, with its current owner and floor.
    EntryQueue& queueOf(const CatalogueEntry& entry);

    /// Queue of a running request; it exists until the entry's last request has ended.
    EntryQueue& queueOf(const std::string& entry) { return m_entries.at(entry); }

    void push(EntryQueue& queue, const std::shared_ptr<WaitingRequest>& request, TimePoint now);

    /// Removes one request from any position of its queue.
    void remove(WaitingRequest& request);

    /// Entry that is next in the queue's order; null if no request waits.
    EntryQueue* next() const { return m_byOrder.empty() ? nullptr : m_byOrder.begin()->second; }

    /// Entry with the earliest due connection under its own floor; null if no connection is due.
    EntryQueue* mostOverdue(TimePoint now) const;

    /// Entry with the most waiting requests; null if no request waits.
    EntryQueue* longest() const { return m_byLength.empty() ? nullptr : m_byLength.rbegin()->second; }

    /// Removes the oldest request of @p queue and charges its expected service time @p service.
    /// @param connections the entry's floor as a number of connections; 0 without a floor.
    std::shared_ptr<WaitingRequest> pop(EntryQueue& queue, TimePoint now, Clock::duration service, double connections);

    /// Charges a request that starts without waiting.
    void chargeImmediateStart(EntryQueue& queue, TimePoint now, Clock::duration service, double connections);

    std::size_t waiting() const { return m_waiting; }
    std::size_t activeEntries() const { return m_byOrder.size(); } ///< Entries with waiting requests.
    double activeFloorShare() const { return m_byOrder.empty() ? 0 : m_activeFloorShare; }
    const std::unordered_map<std::string, EntryQueue>& entries() const { return m_entries; }

private:
    void addToIndex(EntryQueue& queue);
    void removeFromIndex(EntryQueue& queue);
    void charge(EntryQueue& queue, TimePoint now, Clock::duration service, double connections);
    void removeIdleEntries();

    EntryOrder m_order;
    std::unordered_map<std::string, EntryQueue> m_entries;
    std::set<std::pair<double, EntryQueue*>> m_byOrder;
    std::set<std::pair<TimePoint, EntryQueue*>> m_byDue; ///< Entries with a floor.
    std::set<std::pair<std::size_t, EntryQueue*>> m_byLength;
    std::size_t m_waiting = 0;
    std::size_t m_sweepThreshold = 64; ///< Number of entries at which idle ones are removed.
    double m_activeFloorShare = 0;
    double m_virtualTime = 0; ///< Highest start tag of the entries served so far.
};

} // namespace kumquatbank
