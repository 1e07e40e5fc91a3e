#include "EndpointPool.h"

#include "Invariant.h"

#include <algorithm>

namespace kumquatbank {

namespace {

    // Two threads open 30 connections, at 30 ms each, within half a second.
    constexpr unsigned openerCount = 2;

    // Connections kept open beyond the current demand, so that a new caller does not wait for a connection setup.
    constexpr std::size_t spareConnections = 2;

    // Time-out for the answer to `hello`, for endpoints that accept a connection but do not answer.
    constexpr Milliseconds connectTimeout { 1000 };

    // Delay after a failed connection attempt, so that a closed port is not tried in a busy loop.
    constexpr Milliseconds connectRetryDelay { 50 };

} // namespace

EndpointPool::Lease::Lease(
    EndpointPool* pool, std::unique_ptr<EndpointConnection> connection, std::uint64_t generation)
    : m_pool(pool)
    , m_connection(std::move(connection))
    , m_generation(generation)
{
}

EndpointPool::Lease::Lease(Lease&& other) noexcept
    : m_pool(std::exchange(other.m_pool, nullptr))
    , m_connection(std::move(other.m_connection))
    , m_generation(other.m_generation)
    , m_isInTransaction(other.m_isInTransaction)
{
}

EndpointPool::Lease& EndpointPool::Lease::operator=(Lease&& other) noexcept
{
    if (this == &other)
        return *this;
    release();
    m_pool = std::exchange(other.m_pool, nullptr);
    m_connection = std::move(other.m_connection);
    m_generation = other.m_generation;
    m_isInTransaction = other.m_isInTransaction;
    return *this;
}

EndpointPool::Lease::~Lease() { release(); }

Result<nlohmann::json> EndpointPool::Lease::call(
    const std::string& method, const nlohmann::json& params, const Deadline& deadline)
{
    invariant(m_connection != nullptr, "a lease is not used after it was released");
    if (!m_connection->isUsable())
        return notRun(FailureCode::ConnectionLost, "the connection was lost before the statement was sent");
    return m_connection->call(method, params, deadline);
}

void EndpointPool::Lease::release()
{
    auto* pool = std::exchange(m_pool, nullptr);
    if (!pool)
        return;
    const bool isClean = m_connection->isUsable() && !m_isInTransaction;
    pool->returnConnection(std::move(m_connection), m_generation, isClean);
}

EndpointPool::EndpointPool(HostAddress address, std::string host, const ClaimNumber& claim, unsigned size)
    : m_address(std::move(address))
    , m_host(std::move(host))
    , m_claim(claim)
    , m_size(size)
{
    for (unsigned n = 0; n < openerCount; ++n)
        m_openers.emplace_back([this](const std::stop_token& stop) { openConnections(stop); });
}

EndpointPool::~EndpointPool()
{
    suspend();
    for (auto& opener : m_openers)
        opener.request_stop();
    m_openers.clear();
    const std::scoped_lock lock(m_mutex);
    invariant(m_leased.empty(), "every lease ends before its pool");
}

void EndpointPool::resume()
{
    const std::scoped_lock lock(m_mutex);
    m_isActive = true;
    m_lastFailure.reset();
    m_nextAttempt = Clock::now();
    m_available.notify_all();
    m_demand.notify_all();
}

void EndpointPool::suspend()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_isActive = false;
    }
    replaceAll(false);
}

void EndpointPool::replaceAll(bool abortsCalls)
{
    std::vector<std::unique_ptr<EndpointConnection>> closed;
    const std::scoped_lock lock(m_mutex);
    ++m_generation;
    closed.swap(m_idle);
    m_closed += closed.size();
    if (abortsCalls)
        std::ranges::for_each(m_leased, [](EndpointConnection* connection) { connection->abort(); });
    m_lastFailure.reset();
    m_nextAttempt = Clock::now();
    m_available.notify_all();
    m_demand.notify_all();
}

Result<EndpointPool::Lease> EndpointPool::acquire(const Deadline& deadline)
{
    std::unique_lock lock(m_mutex);
    ++m_waiting;
    m_peakDemand = std::max(m_peakDemand, m_leased.size() + m_waiting);
    if (m_idle.size() + m_leased.size() + m_opening < targetSize())
        m_demand.notify_one();
    m_available.wait_until(lock, deadline.at(), [this] {
        const bool cannotConnect = m_lastFailure && m_leased.empty() && m_opening == 0;
        return !m_idle.empty() || !m_isActive || cannotConnect;
    });
    --m_waiting;
    if (!m_isActive)
        return notRun(FailureCode::NotHolder, "this process does not hold the database", Cause::HolderChange);
    if (!m_idle.empty()) {
        auto connection = std::move(m_idle.back());
        m_idle.pop_back();
        invariant(m_leased.insert(connection.get()).second, "a connection has at most one lease");
        return Lease(this, std::move(connection), m_generation);
    }
    if (m_lastFailure) {
        // Timeout would suggest that the statement was sent. The connection setup timed out, so it was not.
        const bool isConnectTimeout = m_lastFailure->code == FailureCode::Timeout;
        return notRun(isConnectTimeout ? FailureCode::Unreachable : m_lastFailure->code, m_lastFailure->message,
            Cause::EndpointDown);
    }
    return notRun(FailureCode::Timeout, m_address.toString() + ": no connection became free before the deadline",
        Cause::FleetCapacity);
}

void EndpointPool::returnConnection(
    std::unique_ptr<EndpointConnection> connection, std::uint64_t generation, bool isClean)
{
    // Declared before the lock, so that the connection is closed after the mutex is released.
    std::unique_ptr<EndpointConnection> closed;
    const std::scoped_lock lock(m_mutex);
    invariant(m_leased.erase(connection.get()) == 1, "a lease is returned once");
    if (isClean && generation == m_generation && m_isActive) {
        m_idle.push_back(std::move(connection));
        m_available.notify_one();
    } else {
        closed = std::move(connection);
        ++m_closed;
        m_demand.notify_one();
    }
}

std::size_t EndpointPool::targetSize() const
{
    return std::min<std::size_t>(m_size, m_peakDemand + spareConnections);
}

void EndpointPool::openConnections(const std::stop_token& stop)
{
    std::unique_lock lock(m_mutex);
    while (!stop.stop_requested()) {
        const auto isNeeded
            = [this] { return m_isActive && m_idle.size() + m_leased.size() + m_opening < targetSize(); };
        m_demand.wait(lock, stop, isNeeded);
        if (stop.stop_requested())
            return;
        if (Clock::now() < m_nextAttempt) {
            m_demand.wait_until(lock, stop, m_nextAttempt, [&] { return !m_isActive; });
            continue;
        }
        openConnection(lock);
    }
}

void EndpointPool::openConnection(std::unique_lock<std::mutex>& lock)
{
    ++m_opening;
    const auto generation = m_generation;
    lock.unlock();
    auto connection
        = openEndpointConnection(m_address, m_host, m_claim.load(), "work", Deadline::after(connectTimeout));
    lock.lock();
    --m_opening;
    if (!connection) {
        m_lastFailure = connection.error();
        m_nextAttempt = Clock::now() + connectRetryDelay;
    } else if (generation == m_generation && m_isActive) {
        m_lastFailure.reset();
        ++m_opened;
        m_idle.push_back(std::move(*connection));
    }
    m_available.notify_all();
}

nlohmann::json EndpointPool::state() const
{
    const std::scoped_lock lock(m_mutex);
    nlohmann::json json { { "size", m_size }, { "idle", m_idle.size() }, { "leased", m_leased.size() },
        { "opening", m_opening }, { "waiting", m_waiting }, { "opened", m_opened }, { "closed", m_closed },
        { "generation", m_generation } };
    if (m_lastFailure)
        json["lastFailure"] = m_lastFailure->message;
    return json;
}

} // namespace kumquatbank
