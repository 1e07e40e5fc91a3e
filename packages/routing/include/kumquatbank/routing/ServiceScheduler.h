#pragma once

#include "kumquatbank/core/BootClock.h"

#include <chrono>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kumquatbank {

/// Which endpoints of a service may serve a request.
enum class Eligibility {
    PrimaryOnly,
    Any, ///< Replicas, and the primary if no replica is better.
};

/// A request for the use of one database connection.
struct PermitRequest {
    Eligibility eligibility = Eligibility::Any;
    int priority = 0; ///< 0 is the most urgent.
    BootTime queueDeadline; ///< Refused if it has no permit by then.
    std::set<std::string> excluded; ///< Endpoints that this request has tried in vain.
};

/// Decides which waiting request of one service gets the next connection, and from which endpoint. Free of the
/// network: the caller opens and closes connections and says so. Permits stand for connections in use; the limit of
/// an endpoint is this host's share of the connections that it accepts.
class ServiceScheduler {
public:
    struct EndpointView {
        bool isUsable = false;
        bool isPrimary = false;
        int limit = 1; ///< Connections that this host may use at the same time.
        int inUse = 0;
        std::chrono::microseconds answerTime { 0 }; ///< Expected from sending a statement to its answer.
        std::chrono::microseconds openingCost { 0 }; ///< Of a new connection; 0 while an idle one is at hand.
    };

    /// Called with the id of the endpoint that a waiting request gets.
    using GrantCallback = std::function<void(const std::string& endpoint)>;

    class Ticket;

    void setEndpoint(const std::string& id, bool isUsable, bool isPrimary, int limit);
    void setAnswerTime(const std::string& id, std::chrono::microseconds time);
    void setOpeningCost(const std::string& id, std::chrono::microseconds cost);
    void removeEndpoint(const std::string& id);
    const std::map<std::string, EndpointView>& endpoints() const { return m_endpoints; }

    /// Takes a permit at once; empty if none is free or requests of the same or a higher urgency wait for it.
    std::optional<std::string> tryAcquire(const PermitRequest& request);

    /// Counts a connection that is used outside the queue; it is given back like any other.
    void acquireUnqueued(const std::string& id);

    /// Queues a request. @p onGranted is called from release(), setEndpoint() or removeEndpoint(). Destroying the ticket
    /// takes the request back.
    std::unique_ptr<Ticket> enqueue(PermitRequest request, BootTime now, GrantCallback onGranted);

    /// Gives a permit back. @p holdTime goes into the estimate of later waits.
    void release(const std::string& endpoint, std::chrono::microseconds holdTime);

    /// Time that a new request would probably wait; max() if no endpoint may serve it now.
    std::chrono::milliseconds expectedWait(const PermitRequest& request) const;

    std::size_t waiting() const { return m_waiting.size(); }

private:
    struct WaitingRequest {
        PermitRequest request;
        BootTime enqueuedAt;
        GrantCallback onGranted;
        Ticket* ticket = nullptr;
    };
    using WaitingList = std::list<WaitingRequest>;

    bool isEligible(const std::string& id, const EndpointView& endpoint, const PermitRequest& request) const;
    std::optional<std::string> bestEndpoint(const PermitRequest& request) const;
    bool hasFreePermit() const;
    void recordGrant(int priority);
    /// Part of the recent grants that was left to requests of @p priority and below.
    double shareAvailableTo(int priority) const;
    WaitingList::iterator nextServable();
    void grantWaiting();

    std::map<std::string, EndpointView> m_endpoints;
    WaitingList m_waiting; ///< By priority, then by arrival.
    std::chrono::microseconds m_holdTime { 20'000 }; ///< Smoothed time that a permit is held.
    std::map<int, double> m_grantShares; ///< Smoothed part of the grants that each priority got.
    unsigned m_queuedGrants = 0;
};

/// A place in the scheduler's queue.
class ServiceScheduler::Ticket {
public:
    Ticket(ServiceScheduler& scheduler, WaitingList::iterator it)
        : m_scheduler(scheduler)
        , m_it(it)
    {
    }
    ~Ticket();

    Ticket(const Ticket&) = delete;
    Ticket& operator=(const Ticket&) = delete;

private:
    friend class ServiceScheduler;

    ServiceScheduler& m_scheduler;
    std::optional<WaitingList::iterator> m_it; ///< Empty once granted.
};

} // namespace kumquatbank
