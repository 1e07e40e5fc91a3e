#include "HttpWorkers.h"

#include <algorithm>
#include <system_error>

namespace kumquatbank {

HttpWorkers::HttpWorkers(unsigned minThreads, unsigned maxThreads, std::size_t maxQueued, Task task)
    : m_minThreads(minThreads)
    , m_maxThreads(std::max(minThreads, maxThreads))
    , m_maxQueued(maxQueued)
    , m_task(std::move(task))
{
}

HttpWorkers::~HttpWorkers() { stop(); }

void HttpWorkers::start()
{
    const std::lock_guard lock(m_mutex);
    m_idleThreads = m_minThreads;
    for (unsigned n = 0; n < m_minThreads; ++n)
        m_threads.emplace_back([this] { run(); });
}

bool HttpWorkers::submit(HttpConnection& connection)
{
    const std::lock_guard lock(m_mutex);
    if (m_queue.size() >= m_idleThreads && m_threads.size() < m_maxThreads) {
        try {
            m_threads.emplace_back([this] { run(); });
            ++m_idleThreads;
        } catch (const std::system_error&) { // No thread to be had: the request waits like beyond the maximum.
        }
    }
    if (m_queue.size() >= m_idleThreads + m_maxQueued)
        return false;
    m_queue.push_back(&connection);
    m_hasWork.notify_one();
    return true;
}

void HttpWorkers::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_hasWork.notify_all();
    for (auto& thread : m_threads)
        thread.join();
    m_threads.clear();
}

void HttpWorkers::run()
{
    const NngAio aio;
    std::unique_lock lock(m_mutex);
    while (true) {
        m_hasWork.wait(lock, [this] { return m_isStopping || !m_queue.empty(); });
        if (m_queue.empty())
            return;
        auto& connection = *m_queue.front();
        m_queue.pop_front();
        --m_idleThreads;
        lock.unlock();
        m_task(connection, aio);
        lock.lock();
        ++m_idleThreads;
    }
}

} // namespace kumquatbank
