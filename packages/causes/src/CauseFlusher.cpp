#include "kumquatbank/causes/CauseFlusher.h"

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>
#include <random>
#include <thread>

namespace kumquatbank {

namespace {

    constexpr Milliseconds minInterval { 10'000 };

    // Together the hosts write at most 20 times a second, whatever their number.
    constexpr std::size_t writesPerSecond = 20;

    constexpr Milliseconds retryInterval { 200 };
    constexpr std::chrono::hours retention { 24 };

    const log4cxx::LoggerPtr& logger()
    {
        static const auto instance = partLogger("causes");
        return instance;
    }

} // namespace

class CauseFlusher::Impl {
public:
    Impl(CauseLedger& ledger, PlatformClient& platform, HostIdentity self, std::function<std::size_t()> hostCount);

    void start();
    void stop(Milliseconds limit);

private:
    void flushLoop(const std::stop_token& stop);
    bool flush();
    bool save(const CauseLedger::Hour& hour);
    void removeExpired();
    Milliseconds interval() const;

    CauseLedger& m_ledger;
    PlatformClient& m_platform;
    const std::string m_run;
    const std::function<std::size_t()> m_hostCount;
    std::map<CauseHour, std::uint64_t> m_versions; ///< Version of this run's object of each hour.
    CauseHour m_lastRemoval;
    std::mt19937_64 m_random;
    std::mutex m_mutex;
    std::condition_variable_any m_wakeUp;
    std::jthread m_thread;
};

CauseFlusher::Impl::Impl(
    CauseLedger& ledger, PlatformClient& platform, HostIdentity self, std::function<std::size_t()> hostCount)
    : m_ledger(ledger)
    , m_platform(platform)
    , m_run(causeRun(self))
    , m_hostCount(std::move(hostCount))
    , m_lastRemoval(std::chrono::floor<std::chrono::hours>(WallClock::now()))
    , m_random(self.incarnation)
{
}

void CauseFlusher::Impl::start()
{
    m_thread = std::jthread([this](const std::stop_token& stop) { flushLoop(stop); });
}

void CauseFlusher::Impl::stop(Milliseconds limit)
{
    m_thread.request_stop();
    if (m_thread.joinable())
        m_thread.join();
    const auto deadline = Deadline::after(limit);
    while (!flush() && !deadline.hasPassed())
        std::this_thread::sleep_for(std::min(retryInterval, deadline.remaining()));
    const auto unsaved = m_ledger.unsavedHours().size();
    if (unsaved > 0)
        LOG4CXX_WARN(logger(), "the platform did not take the causes of " << unsaved << " hours, they are lost");
}

void CauseFlusher::Impl::flushLoop(const std::stop_token& stop)
{
    while (!stop.stop_requested()) {
        {
            std::unique_lock lock(m_mutex);
            m_wakeUp.wait_for(lock, stop, interval(), [] { return false; });
        }
        if (stop.stop_requested())
            return;
        flush();
        removeExpired();
    }
}

bool CauseFlusher::Impl::flush()
{
    const auto hours = m_ledger.unsavedHours();
    return std::ranges::all_of(hours, [this](const auto& hour) { return save(hour); });
}

bool CauseFlusher::Impl::save(const CauseLedger::Hour& hour)
{
    const auto kind = causesKind(hour.start);
    const nlohmann::json value = CauseSource { m_run, hour.rows };
    auto written = m_platform.put(kind, m_run, value, m_versions[hour.start]);
    if (!written && written.error().code == FailureCode::Conflict) {
        // An earlier write took effect and its answer was lost; nobody else writes this object.
        const auto current = m_platform.get(kind, m_run);
        if (!current)
            return false;
        written = m_platform.put(kind, m_run, value, current->version);
    }
    if (!written) {
        LOG4CXX_WARN(logger(), "cannot save causes now: " << written.error().message);
        return false;
    }
    m_versions[hour.start] = written->version;
    m_ledger.markSaved(hour);
    return true;
}

void CauseFlusher::Impl::removeExpired()
{
    const auto hour = std::chrono::floor<std::chrono::hours>(WallClock::now());
    if (hour == m_lastRemoval)
        return;
    m_lastRemoval = hour;
    // About one host an hour removes old objects for all of them.
    std::uniform_int_distribution<std::size_t> chance(0, std::max<std::size_t>(m_hostCount(), 1) - 1);
    if (chance(m_random) != 0)
        return;
    for (const auto expired : hoursBetween(hour - retention - std::chrono::hours(3), hour - retention)) {
        const auto objects = m_platform.list(causesKind(expired));
        if (!objects)
            return;
        for (const auto& it : objects->objects)
            m_platform.remove(it.kind, it.name, it.version);
    }
}

Milliseconds CauseFlusher::Impl::interval() const
{
    const std::chrono::seconds shared(m_hostCount() / writesPerSecond);
    return std::max(minInterval, Milliseconds(shared));
}

CauseFlusher::CauseFlusher(
    CauseLedger& ledger, PlatformClient& platform, HostIdentity self, std::function<std::size_t()> hostCount)
    : m_impl(std::make_unique<Impl>(ledger, platform, std::move(self), std::move(hostCount)))
{
}

CauseFlusher::~CauseFlusher() = default;

void CauseFlusher::start() { m_impl->start(); }

void CauseFlusher::stop(Milliseconds limit) { m_impl->stop(limit); }

} // namespace kumquatbank
