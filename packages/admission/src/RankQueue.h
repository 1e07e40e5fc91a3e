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
    Fair, ///< Equal connection time for every entry with work (start-time fair queueing).
    Arrival,
};

/// The entries of one rank with their waiting requests. Every operation is O(log n) in the number of entries.
/// Not thread-safe.
class RankQueue {
public:
    explicit RankQueue(EntryOrder order)
        : m_order(order)
    {
    }

    /// Queue of @p entry, created if needed, with its current owner and floor.
    EntryQueue& queueOf(const CatalogueEntry& entry);

    /// Queue of a running request. It exists until its last request has ended.
    EntryQueue& queueOf(const std::string& entry) { return m_entries.at(entry); }

    void push(EntryQueue& queue, const std::shared_ptr<WaitingRequest>& request, TimePoint now);

    /// Takes one request out of the queue, wherever it is.
    void remove(WaitingRequest& request);

    /// Entry whose turn it is; null when nothing waits.
    EntryQueue* next() const { return m_byOrder.empty() ? nullptr : m_byOrder.begin()->second; }

    /// Entry that has waited longest for a connection due under its own floor; null when none has one due.
    EntryQueue* mostOverdue(TimePoint now) const;

    /// Entry with the most waiting requests; null when nothing waits.
    EntryQueue* longest() const { return m_byLength.empty() ? nullptr : m_byLength.rbegin()->second; }

    /// Takes the oldest request of @p queue and accounts for @p service, its expected time.
    /// @param connections the entry's floor in connections; 0 without a floor.
    std::shared_ptr<WaitingRequest> pop(EntryQueue& queue, TimePoint now, Clock::duration service, double connections);

    /// Accounts for a request that starts without having waited.
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
    std::size_t m_sweepThreshold = 64; ///< Number of entries at which idle ones are dropped.
    double m_activeFloorShare = 0;
    double m_virtualTime = 0; ///< Fair tag of the entry served last.
};

} // namespace kumquatbank
