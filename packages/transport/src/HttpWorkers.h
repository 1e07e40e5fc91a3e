#pragma once

#include "NngHandles.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace kumquatbank {

class HttpConnection;

/// Bounded pool of threads with a bounded queue of connections whose request waits for a thread. Thread-safe.
class HttpWorkers {
public:
    using Task = std::function<void(HttpConnection&, const NngAio&)>;

    HttpWorkers(unsigned minThreads, unsigned maxThreads, std::size_t maxQueued, Task task);
    ~HttpWorkers();
    HttpWorkers(const HttpWorkers&) = delete;
    HttpWorkers& operator=(const HttpWorkers&) = delete;

    /// Starts the threads of the minimum.
    void start();

    /// Hands the connection to a thread, which is started if none is free. @return false when maxThreads are
    /// busy and the queue is full.
    bool submit(HttpConnection& connection);

    /// Ends the threads once the queue is empty.
    void stop();

private:
    void run();

    const unsigned m_minThreads;
    const unsigned m_maxThreads;
    const std::size_t m_maxQueued;
    const Task m_task;
    std::mutex m_mutex;
    std::condition_variable m_hasWork;
    std::deque<HttpConnection*> m_queue;
    std::size_t m_idleThreads = 0;
    bool m_isStopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace kumquatbank
