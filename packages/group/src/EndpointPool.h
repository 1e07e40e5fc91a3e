#pragma once

#include "EndpointControl.h"

#include <condition_variable>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

namespace kumquatbank {

/// The work connections to one endpoint. Two threads open them in advance, up to the peak demand so far and a few
/// spare ones. Thread-safe.
class EndpointPool {
public:
    /// Exclusive use of one connection. The connection returns to the pool if it is usable, outside a transaction and
    /// has not been replaced in the meantime; otherwise it is closed.
    class Lease {
    public:
        Lease(Lease&& other) noexcept;
        Lease& operator=(Lease&& other) noexcept;
        ~Lease();

        Result<nlohmann::json> call(
            const std::string& method, const nlohmann::json& params, const Deadline& deadline);

        /// Marks the connection as inside (true) or outside a transaction. A connection that is released inside a
        /// transaction is closed, which makes the endpoint roll back.
        void setInTransaction(bool isInTransaction) { m_isInTransaction = isInTransaction; }

        /// Returns the connection to the pool before destruction. Idempotent.
        void release();

    private:
        friend class EndpointPool;
        Lease(EndpointPool* pool, std::unique_ptr<EndpointConnection> connection, std::uint64_t generation);

        EndpointPool* m_pool = nullptr;
        std::unique_ptr<EndpointConnection> m_connection;
        std::uint64_t m_generation = 0;
        bool m_isInTransaction = false;
    };

    /// @param size maximum number of connections. @param claim sent by new connections in `hello`.
    EndpointPool(HostAddress address, std::string host, const ClaimNumber& claim, unsigned size);
    ~EndpointPool();
    EndpointPool(const EndpointPool&) = delete;
    EndpointPool& operator=(const EndpointPool&) = delete;

    /// Starts opening connections. Until then, and after suspend(), acquire() fails.
    void resume();

    /// Closes the idle connections at once and the leased ones on their release, and opens no new ones.
    void suspend();

    /// Waits for a connection. Every failure is NotRun: Unreachable or ClaimSuperseded when the endpoint accepts no
    /// connection, Timeout at the deadline, NotHolder while suspended.
    Result<Lease> acquire(const Deadline& deadline);

    /// Closes the idle connections and marks the leased ones, so that none of them is used again.
    /// @param abortsCalls also aborts the calls in progress, for connections that no longer respond.
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
    std::condition_variable m_available; ///< For callers: a connection is idle, or none can be obtained.
    std::condition_variable_any m_demand; ///< For the opener threads: more connections are needed.
    std::vector<std::unique_ptr<EndpointConnection>> m_idle;
    std::set<EndpointConnection*> m_leased;
    std::uint64_t m_generation = 0;
    std::size_t m_opening = 0;
    std::size_t m_waiting = 0;
    std::size_t m_peakDemand = 0;
    bool m_isActive = false;
    std::optional<Failure> m_lastFailure; ///< Of the last connection attempt; empty after a successful one.
    TimePoint m_nextAttempt {};
    std::uint64_t m_opened = 0;
    std::uint64_t m_closed = 0;
    std::vector<std::jthread> m_openers;
};

} // namespace kumquatbank
