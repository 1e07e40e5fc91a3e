#pragma once

#include "EndpointControl.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace kumquatbank {

/// Sends one call to several slots at once, each on its own thread, which the destructor joins. A caller can use the
/// replies that have arrived while an unresponsive slot is still outstanding.
class ParallelCalls {
public:
    struct Reply {
        std::size_t slot = 0;
        TimePoint sentAt {};
        Result<nlohmann::json> result;
    };

    /// @param controls indexed by slot. @param slots indexes of the slots to call.
    ParallelCalls(const std::vector<EndpointControl*>& controls, const std::vector<std::size_t>& slots,
        const std::string& method, const nlohmann::json& params, const Deadline& deadline);

    /// Waits until every slot has replied, or until @p sufficientCount replies satisfy @p isSufficient and a short grace for
    /// other replies has passed. Returns the replies received so far.
    std::vector<Reply> wait(std::size_t sufficientCount, const std::function<bool(const Reply&)>& isSufficient);

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<Reply> m_replies;
    std::vector<std::jthread> m_threads;
};

/// True for a reply whose result has `granted` set to true.
bool isGranted(const ParallelCalls::Reply& reply);

} // namespace kumquatbank
