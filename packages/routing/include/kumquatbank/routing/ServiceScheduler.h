#pragma once

#include "kumquatbank/routing/WaitingQueue.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatbank {

/// Decides which waiting request of one service gets the next connection, and to which endpoint. Does not use the
/// network: the caller opens and closes connections and reports it. A permit represents a connection in use; the limit
/// of an endpoint is this host's share of the connections that the endpoint accepts. The order is that of WaitingQueue;
/// every eighth grant from the queue goes to the request that has waited longest.
class ServiceScheduler {
public:
    struct EndpointView {
        bool isUsable = false;
        bool isPrimary = false;
        int limit = 1; ///< Maximum number of concurrent connections of this host.
        int inUse = 0;
        bool isEjected = false; ///< Reads go to other endpoints, except for probes.
        bool isProbeDue = false; ///< While ejected: the next repeatable read goes here.
        std::chrono::microseconds answerTime { 0 }; ///< Expected time between a statement and its answer.
        std::chrono::microseconds openingCost { 0 }; ///< Time to open a connection; 0 while an idle one is available.
        std::map<std::string, int, std::less<>> inUseByAccount; ///< Without clients that have no account.
    };

    /// Called with the id of the endpoint for which a waiting request got a permit.
    using GrantCallback = std::function<void(const std::string& endpoint)>;

    /// Returns the time to open a connection of an account to an endpoint; 0 while an idle one of that account is
    /// available.
    using AccountOpeningCost = std::function<std::chrono::microseconds(const std::string& endpoint, const std::string& account)>;

    class Ticket;

    void setEndpoint(const std::string& id, bool isUsable, bool isPrimary, int limit);
    void setAnswerTime(const std::string& id, std::chrono::microseconds time);
    void setOpeningCost(const std::string& id, std::chrono::microseconds cost);
    /// Sets the opening cost for requests that have an account, which replaces that of the endpoint.
    void setAccountOpeningCost(AccountOpeningCost cost) { m_accountOpeningCost = std::move(cost); }
    /// @p isProbeDue: one repeatable read may go to the ejected endpoint; stays in force until a read has been sent.
    void setEjected(const std::string& id, bool isEjected, bool isProbeDue);
    void removeEndpoint(const std::string& id);
    const std::map<std::string, EndpointView>& endpoints() const { return m_endpoints; }

    /// Sets the time of the calls that follow, for the usage of the accounts and for queue deadlines.
    void advanceTo(BootTime now) { m_waiting.advanceTo(now); }

    /// Takes a permit without waiting; empty if none is free or requests of the same or a higher priority are waiting.
    std::optional<std::string> tryAcquire(const PermitRequest& request);

    /// Takes a permit for a connection that is used outside the queue, regardless of the limit. It is returned with
    /// release().
    void acquireUnqueued(const std::string& id, const std::string& account);

    /// Queues a request. @p onGranted is called from release(), setEndpoint() or removeEndpoint(). Destroying the
    /// ticket cancels the request.
    std::unique_ptr<Ticket> enqueue(PermitRequest request, BootTime now, GrantCallback onGranted);

    /// Returns a permit of a request of @p account. @p holdTime updates the estimate of later waits.
    void release(const std::string& endpoint, std::chrono::microseconds holdTime, std::string_view account = {});
    /// Returns a permit that was granted to a request, and counts @p holdTime for the account of the request.
    void release(const std::string& endpoint, std::chrono::microseconds holdTime, const PermitCharge& charge);
    /// Withdraws a grant for an endpoint that was removed before it could be used.
    void cancelGrant(const PermitCharge& charge) { m_waiting.usage(charge.eligibility).cancelGrant(charge.account); }

    /// Estimated wait of a new request; max() if no endpoint can serve it now.
    std::chrono::milliseconds expectedWait(const PermitRequest& request) const;

    /// The endpoint with the lowest cost that has a free permit for the request, whether or not others wait.
    std::optional<std::string> bestEndpoint(const PermitRequest& request) const;

    /// Returns whether the account has recently used more than its share of the granted time.
    bool isOverShare(const PermitCharge& charge) const;
    /// Number of such accounts; one that is over its share of the primary and of the reads counts twice.
    std::size_t accountsOverShare() const;
    std::size_t waiting() const { return m_waiting.size(); }

private:
    bool isEligible(const std::string& id, const EndpointView& endpoint, const PermitRequest& request) const;
    /// Returns true if the request's account uses its share of the endpoint's connections and a request of another
    /// account waits that could have the next one.
    bool isAboveShare(const std::string& id, const EndpointView& endpoint, const PermitRequest& request) const;
    static void take(EndpointView& endpoint, const std::string& account);
    static void takePermit(EndpointView& endpoint, const PermitRequest& request);
    bool hasFreePermit() const;
    void recordGrant(AccountUsage::Account& account, const PermitRequest& request);
    /// Fraction of the recent grants that was available to requests of @p rank and later ones.
    double shareAvailableTo(const RequestRank& rank) const;
    WaitingQueue::Iterator nextServable();
    void grantWaiting();

    std::map<std::string, EndpointView> m_endpoints;
    AccountOpeningCost m_accountOpeningCost;
    WaitingQueue m_waiting;
    std::chrono::microseconds m_holdTime { 20'000 }; ///< Smoothed time for which a permit is held.
    GrantShares m_grantShares;
    unsigned m_queuedGrants = 0;
};

/// Entry of a request in the scheduler's queue; destroying it cancels the request.
class ServiceScheduler::Ticket {
public:
    Ticket(ServiceScheduler& scheduler, WaitingQueue::Iterator it)
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
    std::optional<WaitingQueue::Iterator> m_it; ///< Empty once granted.
};

} // namespace kumquatbank
