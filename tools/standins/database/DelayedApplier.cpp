#include "DelayedApplier.h"

#include <algorithm>

namespace kumquatbank::standin {

namespace {

    // The lag may change at any time, so a wait for a record's due time is cut into steps of this length.
    constexpr Milliseconds dueCheckInterval { 10 };

} // namespace

DelayedApplier::DelayedApplier(DatabaseNode& node, const FaultInjector& faults)
    : m_node(node)
    , m_faults(faults)
    , m_thread([this] { run(); })
{
}

DelayedApplier::~DelayedApplier()
{
    stop();
}

void DelayedApplier::add(std::uint64_t epoch, std::vector<LogRecord> records)
{
    const std::lock_guard lock(m_mutex);
    for (auto& record : records)
        m_pending.push_back({ epoch, std::move(record) });
    m_changed.notify_all();
}

void DelayedApplier::clear()
{
    const std::lock_guard lock(m_mutex);
    m_pending.clear();
}

void DelayedApplier::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopped = true;
        m_changed.notify_all();
    }
    if (m_thread.joinable())
        m_thread.join();
}

void DelayedApplier::run()
{
    for (;;) {
        m_faults.waitWhileFrozen();
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [this] { return m_isStopped || !m_pending.empty(); });
        if (m_isStopped)
            return;
        const auto due = m_pending.front().record.appendedAt + m_faults.lag();
        const auto now = Clock::now();
        if (due > now) {
            m_changed.wait_until(lock, std::min(due, now + dueCheckInterval));
            continue;
        }
        auto next = std::move(m_pending.front());
        m_pending.pop_front();
        // A record fetched for an earlier target is refused by the node; the next session fetches again.
        m_node.applyRecord(next.epoch, std::move(next.record));
    }
}

} // namespace kumquatbank::standin
