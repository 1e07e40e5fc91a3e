#include "kumquatbank/causes/CauseFlusher.h"

#include "CauseObjectWriter.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace kumquatbank {

namespace {

    constexpr std::chrono::seconds minInterval { 10 };

    /// Writes of all processes together stay near this rate, whatever the number of hosts.
    constexpr std::size_t fleetWritesPerSecond = 20;

    constexpr Milliseconds stopRetryInterval { 100 };

    std::chrono::seconds flushInterval(std::size_t hosts)
    {
        return std::max(minInterval, std::chrono::seconds(hosts / fleetWritesPerSecond));
    }

} // namespace

class CauseFlusher::Impl {
public:
    Impl(CauseLedger& ledger, PlatformClient& platform, HostIdentity self, std::function<std::size_t()> hostCount)
        : m_writer(ledger, platform, std::move(self))
        , m_hostCount(std::move(hostCount))
    {
    }

    ~Impl() { stop(Milliseconds(0)); }

    void start()
    {
        m_thread = std::jthread([this] { run(); });
    }

    void stop(Milliseconds limit)
    {
        {
            const std::scoped_lock lock(m_mutex);
            m_stopLimit = Deadline::after(limit);
            m_isStopping = true;
        }
        m_changed.notify_all();
        if (m_thread.joinable())
            m_thread.join();
    }

private:
    void run()
    {
        std::unique_lock lock(m_mutex);
        while (!m_changed.wait_for(lock, flushInterval(m_hostCount()), [this] { return m_isStopping; })) {
            lock.unlock();
            if (!tryFlush())
                LOG4CXX_WARN(m_log, "causes stay in memory: the platform did not take them");
            lock.lock();
        }
        const Deadline limit = m_stopLimit;
        lock.unlock();
        while (!limit.hasPassed() && !tryFlush())
            std::this_thread::sleep_for(std::min(stopRetryInterval, limit.remaining()));
    }

    /// An object that cannot be read counts as a failure; it must not end the thread.
    bool tryFlush()
    {
        try {
            return m_writer.flush();
        } catch (const std::exception& exception) {
            LOG4CXX_WARN(m_log, "cannot write causes: " << exception.what());
            return false;
        }
    }

    CauseObjectWriter<PlatformClient> m_writer;
    std::function<std::size_t()> m_hostCount;
    log4cxx::LoggerPtr m_log = partLogger("causes");
    std::mutex m_mutex;
    std::condition_variable m_changed;
    Deadline m_stopLimit = Deadline::after(Milliseconds(0));
    bool m_isStopping = false;
    std::jthread m_thread;
};

CauseFlusher::CauseFlusher(CauseLedger& ledger, PlatformClient& platform, HostIdentity self,
    std::function<std::size_t()> hostCount)
    : m_impl(std::make_unique<Impl>(ledger, platform, std::move(self), std::move(hostCount)))
{
}

CauseFlusher::~CauseFlusher() = default;

void CauseFlusher::start() { m_impl->start(); }
void CauseFlusher::stop(Milliseconds limit) { m_impl->stop(limit); }

} // namespace kumquatbank
