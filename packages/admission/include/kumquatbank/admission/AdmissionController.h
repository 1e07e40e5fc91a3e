#pragma once

#include "kumquatbank/catalogue/catalogue.h"

#include <array>
#include <memory>
#include <nlohmann/json.hpp>

namespace kumquatbank {

/// Order in which waiting requests are granted free connections.
enum class AdmissionPolicy {
    RankedWithFloors, ///< Most urgent first; every rank and entry with demand gets its floor.
    StrictPriority, ///< Most urgent first, without floors. Baseline for measurements.
    FirstComeFirstServed, ///< Order of arrival. Baseline for measurements.
};

/// Configuration of one endpoint's AdmissionController.
struct AdmissionOptions {
    unsigned capacity = 0; ///< Maximum number of concurrent requests, which is the number of work connections.
    std::array<std::size_t, rankCount> maxWaiting { 64, 32, 32 }; ///< Maximum queue length per rank, most urgent first.
    std::array<double, rankCount> rankFloorPercent { 0, 20, 5 }; ///< Guaranteed share per rank while it has demand.
    AdmissionPolicy policy = AdmissionPolicy::RankedWithFloors;

    /// Fraction of the capacity that may be idle on average because connections are reserved for rank 1. The
    /// reserve is proportional to the recent use by rank 1; 0 disables it.
    double urgentIdleBudget = 0.04;
};

class AdmissionController;

/// Permission to use one connection of the endpoint; released on destruction. Must not outlive its controller.
class AdmissionTicket {
public:
    AdmissionTicket(AdmissionTicket&& other) noexcept;
    AdmissionTicket& operator=(AdmissionTicket&& other) noexcept;
    ~AdmissionTicket();

    /// Time spent in the queue.
    Milliseconds waited() const { return m_waited; }

    /// Releases the connection before destruction. Idempotent.
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

/// Admission control for one endpoint: on arrival, a request is started, queued for a bounded time or refused.
/// Thread-safe.
class AdmissionController {
public:
    explicit AdmissionController(AdmissionOptions options);
    ~AdmissionController();
    AdmissionController(const AdmissionController&) = delete;
    AdmissionController& operator=(const AdmissionController&) = delete;

    /// Waits for a connection until the deadline or for the entry's maxQueue, whichever is shorter. A refusal is
    /// NotRun/Refused with entry, owner, cause and retryAfter; it is returned immediately when the queue is full or
    /// the expected wait exceeds the remaining time. The cause is FleetCapacity when all connections were busy and
    /// no other request was ahead of this one, otherwise RankQueue. When a rank's queue is full, a request of an
    /// entry with fewer waiting requests evicts the newest request of the entry with the most.
    Result<AdmissionTicket> admit(const CatalogueEntry& entry, const Deadline& deadline);

    /// Changes the maximum number of concurrent requests; running requests are not affected.
    void setCapacity(unsigned capacity);

    std::size_t waiting() const; ///< Requests in the queue.
    std::size_t running() const;

    /// Estimated wait of a request of @p rank that arrives now, based on recent service times.
    Milliseconds expectedWait(Rank rank) const;

    nlohmann::json state() const; ///< Running and waiting requests per rank and entry, for the state dump.

private:
    friend class AdmissionTicket;
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace kumquatbank
