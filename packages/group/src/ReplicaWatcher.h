#pragma once

#include "EndpointControl.h"
#include "GroupView.h"

#include <functional>
#include <thread>

namespace kumquatbank {

/// Tracks the log position of one slot with long polls on a separate connection and records it in the GroupView.
class ReplicaWatcher {
public:
    /// @param isHolder the watcher keeps its connection open only while this returns true.
    ReplicaWatcher(
        std::size_t slot, EndpointControl& control, GroupView& view, std::function<bool()> isHolder);

    void start();
    void stop();

private:
    void run(const std::stop_token& stop);
    bool poll();

    const std::size_t m_slot;
    EndpointControl& m_control;
    GroupView& m_view;
    const std::function<bool()> m_isHolder;
    std::mutex m_mutex;
    std::condition_variable_any m_wake;
    std::jthread m_thread;
};

} // namespace kumquatbank
