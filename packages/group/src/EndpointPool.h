#pragma once

#include "EndpointControl.h"

#include <condition_variable>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

namespace kumquatbank {

/// The work connections to one endpoint. They are opened by two threads ahead of need, as far as the demand
/// seen so far. Thread-safe.
class EndpointPool {
public:
    /// Exclusive use of one connection. It returns to the pool when its state is known to be clean and it is
    /// not replaced meanwhile; otherwise it is closed.
    class Lease {
    public:
        Lease(Lease&& other) noexcept;
        Lease& operator=(Lease&& other) noexcept;
        ~Lease();

        Result<nlohmann::json> call(
            const std::string& method, const nlohmann::json& params, const Deadline& deadline);

        /// Marks the connection as inside (true) or outside a transaction. A connection given back inside a
        /// transaction is closed, which makes the endpoint roll back.
        void setInTransaction(bool isInTransaction) { m_isInTransaction = isInTransaction; }

        /// Gives the connection back before destruction. Idempotent.
        void release();

    private:
        friend class EndpointPool;
        Lease(EndpointPool* pool, std::unique_ptr<EndpointConnection> connection, std::uint64_t generation);

        EndpointPool* m_pool = nullptr;
        std::unique_ptr<EndpointConnection> m_connection;
        std::uint64_t m_generation = 0;
        bool m_isInTransaction = false;
    };

    /// @param size greatest number of connections. @param claim announced by new connections.
    EndpointPool(HostAddress address, std::string host, const ClaimNumber& claim, unsigned size);
    ~EndpointPool();
    EndpointPool(const EndpointPool&) = delete;
    EndpointPool& operator=(const EndpointPool&) = delete;

    /// Starts opening connections. Until then, and after suspend(), acquire() fails.
    void resume();

    /// Closes every connection and opens none.
    void suspend();

    /// Waits for a connection. Every failure is NotRun: Unreachable or ClaimSuperseded when the endpoint
    /// accepts none, Timeout at the deadline, NotHolder while suspended.
    Result<Lease> acquire(const Deadline& deadline);

    /// Closes the idle connections and marks the leased ones, so that none of them is used again.
    /// @param abortsCalls also ends the calls in progress, whose connections are believed to hang.
    void replaceAll(bool abortsCalls);

    unsigned size() const { return m_size; }
    nlohmann::json state() const;

private:
    void openConnections(const std::stop_token& stop);
    std::size_t targetSize() const;
    void openConnection(std::unique_lock<std::mutex>& lock);
    void returnConnection(std::unique_ptr<EndpointConnection> connection, std::uint64_t generation, bool isClean);

    const HostAddress m_address;
    const std::string m_host;
    const ClaimNumber& m_claim;
    const unsigned m_size;
    mutable std::mutex m_mutex;
    std::condition_variable m_available; ///< For callers: a connection is idle or none can be had.
    std::condition_variable_any m_demand; ///< For the openers: more connections are wanted.
    std::vector<std::unique_ptr<EndpointConnection>> m_idle;
    std::set<EndpointConnection*> m_leased;
    std::uint64_t m_generation = 0;
    std::size_t m_opening = 0;
    std::size_t m_waiting = 0;
    std::size_t m_peakDemand = 0;
    bool m_isActive = false;
    std::optional<Failure> m_lastFailure; ///< Of the last attempt to connect; empty after a success.
    TimePoint m_nextAttempt {};
    std::uint64_t m_opened = 0;
    std::uint64_t m_closed = 0;
    std::vector<std::jthread> m_openers;
};

} // namespace kumquatbank
