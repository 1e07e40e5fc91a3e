#pragma once

#include "kumquatbank/catalogue/catalogue.h"

#include <array>
#include <memory>
#include <nlohmann/json.hpp>

namespace kumquatbank {

/// Order in which waiting requests get a free connection.
enum class AdmissionPolicy {
    RankedWithFloors, ///< Most urgent first, while every entry with work keeps its floor.
    StrictPriority, ///< Most urgent first, no floors. Baseline for measurements.
    FirstComeFirstServed, ///< Arrival order. Baseline for measurements.
};

/// Limits of one endpoint's AdmissionController.
struct AdmissionOptions {
    unsigned capacity = 0; ///< Requests that run at once, the number of work connections.
    std::array<std::size_t, rankCount> maxWaiting { 64, 32, 32 }; ///< Queue bound by rank, most urgent first.
    std::array<double, rankCount> rankFloorPercent { 0, 20, 5 }; ///< Share each rank keeps while it has work.
    AdmissionPolicy policy = AdmissionPolicy::RankedWithFloors;

    /// Part of the capacity that may stay idle on average to keep connections free for rank 1, which are
    /// reserved in proportion to its recent use; 0 reserves none.
    double urgentIdleBudget = 0.04;
};

class AdmissionController;

/// Right to use one connection of the endpoint; returned on destruction. Must not outlive its controller.
class AdmissionTicket {
public:
    AdmissionTicket(AdmissionTicket&& other) noexcept;
    AdmissionTicket& operator=(AdmissionTicket&& other) noexcept;
    ~AdmissionTicket();

    /// Time spent in the queue.
    Milliseconds waited() const { return m_waited; }

    /// Gives the connection back before destruction. Idempotent.
    void release();

private:
    friend class AdmissionController;
    AdmissionTicket(
        AdmissionController* controller, std::string entry, Rank rank, TimePoint startedAt, Milliseconds waited);

    AdmissionController* m_controller = nullptr;
    std::string m_entry;
    Rank m_rank = Rank::Background;
    TimePoint m_startedAt;
    Milliseconds m_waited { 0 };
};

/// Decides for one endpoint, on arrival, whether a request runs, waits with a bound or is refused at once.
/// Thread-safe.
class AdmissionController {
public:
    explicit AdmissionController(AdmissionOptions options);
    ~AdmissionController();
    AdmissionController(const AdmissionController&) = delete;
    AdmissionController& operator=(const AdmissionController&) = delete;

    /// Waits for a connection at most until the deadline and the entry's maxQueue. A refusal is
    /// NotRun/Refused with entry, owner, cause and retryAfter; it comes at once when the queue is full or the
    /// expected wait is longer than what is left. The cause is FleetCapacity when all connections were busy and
    /// nothing else was ahead of the request, else RankQueue. When a rank's queue is full, an entry with fewer
    /// waiting requests takes the place of the newest request of the entry with the most.
    Result<AdmissionTicket> admit(const CatalogueEntry& entry, const Deadline& deadline);

    /// Changes the number of requests that run at once; running ones are not affected.
    void setCapacity(unsigned capacity);

    std::size_t waiting() const; ///< Requests in the queue.
    std::size_t running() const;

    /// Expected wait of a request of @p rank that arrives now, from recent service times.
    Milliseconds expectedWait(Rank rank) const;

    nlohmann::json state() const; ///< For the state dump: running and waiting per rank and entry.

private:
    friend class AdmissionTicket;
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace kumquatbank
