#pragma once

#include "GroupParts.h"
#include "PromotionTrigger.h"

#include <condition_variable>
#include <mutex>
#include <random>
#include <thread>

namespace kumquatbank {

/// The thread that keeps one group's claim and primary: claims, replaces a primary that failed or leaves,
/// repairs slots and closes idle transactions.
class GroupKeeper {
public:
    explicit GroupKeeper(GroupParts& parts);

    void start();
    void stop();

private:
    void run(const std::stop_token& stop);
    void keepPrimary();
    void changeLeavingPrimary();
    bool hasCaughtUp(const PrimaryView& primary);
    void attempt(const std::string& reason, std::optional<std::size_t> excluded = std::nullopt);

    GroupParts& m_parts;
    PromotionTrigger m_trigger;
    TimePoint m_nextAttempt {};
    unsigned m_failedAttempts = 0;
    std::optional<TimePoint> m_heldSince; ///< New writes wait for a planned change since then.
    std::minstd_rand m_random;
    std::mutex m_mutex;
    std::condition_variable_any m_wake;
    std::jthread m_thread;
};

} // namespace kumquatbank
