#include "ParallelCalls.h"

#include <algorithm>

namespace kumquatbank {

namespace {

    // Additional wait for other replies. Healthy slots answer within a round trip between regions, and more replies
    // allow a better choice.
    constexpr Milliseconds stragglerGracePeriod { 50 };

} // namespace

ParallelCalls::ParallelCalls(const std::vector<EndpointControl*>& controls, const std::vector<std::size_t>& slots,
    const std::string& method, const nlohmann::json& params, const Deadline& deadline)
{
    for (const auto slot : slots) {
        m_threads.emplace_back([this, slot, control = controls.at(slot), method, params, deadline] {
            const auto sentAt = Clock::now();
            auto result = control->call(method, params, deadline);
            const std::scoped_lock lock(m_mutex);
            m_replies.push_back({ slot, sentAt, std::move(result) });
            m_changed.notify_all();
        });
    }
}

std::vector<ParallelCalls::Reply> ParallelCalls::wait(
    std::size_t sufficientCount, const std::function<bool(const Reply&)>& isSufficient)
{
    std::unique_lock lock(m_mutex);
    const auto isComplete = [&] { return m_replies.size() == m_threads.size(); };
    m_changed.wait(lock, [&] {
        return isComplete()
            || static_cast<std::size_t>(std::ranges::count_if(m_replies, isSufficient)) >= sufficientCount;
    });
    m_changed.wait_for(lock, stragglerGracePeriod, isComplete);
    return m_replies;
}

bool isGranted(const ParallelCalls::Reply& reply)
{
    return reply.result && reply.result->is_object() && reply.result->value("granted", false);
}

} // namespace kumquatbank
