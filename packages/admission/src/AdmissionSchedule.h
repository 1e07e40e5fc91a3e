#pragma once

#include "DepartureRate.h"
#include "RankQueue.h"
#include "UrgentReserve.h"
#include "kumquatbank/admission/AdmissionController.h"

#include <vector>

namespace kumquatbank {

/// Selects the request that gets the next connection and estimates the wait of arriving requests. Guarded by the
/// controller's mutex.
class AdmissionSchedule {
public:
    using Requests = std::vector<std::shared_ptr<WaitingRequest>>;

    explicit AdmissionSchedule(AdmissionOptions options);

    EntryQueue& queueOf(const CatalogueEntry& entry) { return rankOf(entry.rank).queueOf(entry); }

    /// Starts a request immediately if no request waits and a connection is available to its rank.
    bool tryStart(EntryQueue& queue, Rank rank, TimePoint now);

    /// Estimated wait of a request of @p rank that arrives now; it belongs to the entry of @p queue unless that is
    /// null. Zero if the request could start now, otherwise the number of requests up to and including it,
    /// multiplied by the time per departure of its queue.
    Clock::duration expectedWait(Rank rank, const EntryQueue* queue, TimePoint now) const;

    bool isFull(Rank rank) const { return rankOf(rank).waiting() >= maxWaiting(rank); }

    /// Removes and returns the newest request of the rank's entry with the most waiting requests, if it has at
    /// least two more than @p arriving; null otherwise. Without this, a burst of one entry would fill the queue
    /// and all other entries of the rank would be refused.
    std::shared_ptr<WaitingRequest> evictFromLongestQueue(Rank rank, const EntryQueue& arriving);

    void push(EntryQueue& queue, const std::shared_ptr<WaitingRequest>& request, TimePoint now);
    void remove(WaitingRequest& request) { rankOf(request.rank).remove(request); }

    /// Assigns free connections to waiting requests and appends these requests to @p granted.
    void grant(TimePoint now, Requests& granted);

    void finish(const std::string& entry, Rank rank, Clock::duration service, TimePoint now);

    void setCapacity(unsigned capacity) { m_options.capacity = capacity; }

    /// RankQueue if the same or a more urgent rank has waiting requests, otherwise FleetCapacity.
    Cause causeOfWait(Rank rank) const;

    /// Entry of the rank with the most waiting requests; null if none waits.
    const EntryQueue* longestQueue(Rank rank) const { return rankOf(rank).longest(); }

    std::size_t waiting() const { return m_ranks[0].waiting() + m_ranks[1].waiting() + m_ranks[2].waiting(); }
    std::size_t waiting(Rank rank) const { return rankOf(rank).waiting(); }
    std::size_t running() const { return m_running[0] + m_running[1] + m_running[2]; }
    std::uint64_t starts() const { return m_starts; } ///< Requests started so far.
    nlohmann::json state() const;

private:
    bool isRanked() const { return m_options.policy == AdmissionPolicy::RankedWithFloors; }

    /// With FirstComeFirstServed, all requests share one queue.
    std::size_t queueIndex(Rank rank) const
    {
        return m_options.policy == AdmissionPolicy::FirstComeFirstServed ? 0 : rankIndex(rank);
    }

    RankQueue& rankOf(Rank rank) { return m_ranks[queueIndex(rank)]; }
    const RankQueue& rankOf(Rank rank) const { return m_ranks[queueIndex(rank)]; }
    std::size_t maxWaiting(Rank rank) const;
    bool mayStart(Rank rank, TimePoint now) const;
    Clock::duration serviceTime(const EntryQueue& queue) const;
    double floorConnections(double share) const;
    double rankFloor(std::size_t index) const { return m_options.rankFloorPercent[index] / 100; }
    void start(EntryQueue& queue, Rank rank, TimePoint now);
    EntryQueue* mostOverdue(std::size_t end, TimePoint now, std::size_t& index) const;
    EntryQueue* next(TimePoint now, std::size_t& index) const;

    AdmissionOptions m_options;
    std::array<RankQueue, rankCount> m_ranks; ///< By queueIndex().
    std::array<DepartureRate, rankCount> m_departureRates; ///< By queueIndex().
    std::array<FloorAccount, rankCount> m_rankFloors; ///< By rankIndex().
    std::array<std::size_t, rankCount> m_running {}; ///< By rankIndex().
    UrgentReserve m_reserve;
    MovingAverage m_serviceMs; ///< Average over all entries.
    std::uint64_t m_nextSequence = 0;
    std::uint64_t m_starts = 0;
};

} // namespace kumquatbank
