#pragma once

#include "GroupContext.h"
#include "PromotionTrigger.h"

#include <condition_variable>
#include <mutex>
#include <random>
#include <thread>

namespace kumquatbank {

/// The thread that supervises one group: it claims the group, replaces a primary that failed or is leaving, reattaches
/// replicas and closes idle transactions.
class GroupSupervisor {
public:
    explicit GroupSupervisor(GroupContext& parts);

    void start();
    void stop();

private:
    void run(const std::stop_token& stop);
    void supervisePrimary();
    void replaceLeavingPrimary();
    bool hasCaughtUpReplica(const PrimaryView& primary);
    void attempt(const std::string& reason, std::optional<std::size_t> excluded = std::nullopt);

    GroupContext& m_context;
    PromotionTrigger m_trigger;
    TimePoint m_nextAttempt {};
    unsigned m_failedAttempts = 0;
    std::optional<TimePoint> m_writesPausedSince; ///< Since when new writes wait for a planned change.
    std::minstd_rand m_random;
    std::mutex m_mutex;
    std::condition_variable_any m_wake;
    std::jthread m_thread;
};

} // namespace kumquatbank
