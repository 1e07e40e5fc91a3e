#pragma once

#include "DatabaseNode.h"
#include "FaultInjector.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace kumquatbank::standin {

/// Applies received records once they are older than the injected lag. Until then they count neither in the
/// slot's position nor in a fence. Thread-safe.
class DelayedApplier {
public:
    DelayedApplier(DatabaseNode& node, const FaultInjector& faults);
    ~DelayedApplier();
    DelayedApplier(const DelayedApplier&) = delete;
    DelayedApplier& operator=(const DelayedApplier&) = delete;

    void add(std::uint64_t epoch, std::vector<LogRecord> records);

    /// Forgets records that are not applied yet.
    void clear();

    /// Ends the thread. Idempotent.
    void stop();

private:
    struct Pending {
        std::uint64_t epoch = 0;
        LogRecord record;
    };

    void run();

    DatabaseNode& m_node;
    const FaultInjector& m_faults;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<Pending> m_pending;
    bool m_isStopped = false;
    std::thread m_thread;
};

} // namespace kumquatbank::standin
