#include "kumquatbank/admission/AdmissionController.h"

#include "AdmissionSchedule.h"

#include <algorithm>
#include <mutex>
#include <utility>

namespace kumquatbank {

namespace {

    constexpr Milliseconds minRetryAfter { 10 };
    constexpr Milliseconds maxRetryAfter { 30'000 };

    /// Wakes the threads of decided requests. Called without the lock, so that they do not block on it.
    void notify(const AdmissionSchedule::Requests& requests)
    {
        for (const auto& request : requests)
            request->changed.notify_one();
    }

} // namespace

class AdmissionController::Impl {
public:
    explicit Impl(AdmissionOptions options)
        : m_schedule(options)
    {
    }

    Result<AdmissionTicket> admit(AdmissionController* controller, const CatalogueEntry& entry, const Deadline& deadline)
    {
        std::unique_lock lock(m_mutex);
        const auto arrival = Clock::now();
        if (arrival >= deadline.at())
            return refusal(entry, Cause::Deadline, "the deadline passed before the request could be queued");
        auto& queue = m_schedule.queueOf(entry);
        if (m_schedule.tryStart(queue, entry.rank, arrival))
            return AdmissionTicket(controller, entry.name, entry.rank, arrival, Milliseconds(0));

        const auto limit = std::min(deadline.at(), arrival + entry.maxQueue);
        if (arrival + m_schedule.expectedWait(entry.rank, &queue, arrival) > limit) {
            return refusal(entry, m_schedule.causeOfWait(entry.rank),
                "the expected wait for a connection exceeds the request's deadline or maxQueue");
        }
        AdmissionSchedule::Requests decided;
        if (m_schedule.isFull(entry.rank)) {
            auto evicted = m_schedule.evictFromLongestQueue(entry.rank, queue);
            if (!evicted)
                return refusal(entry, Cause::RankQueue, "the queue of the rank is full");
            decided.push_back(std::move(evicted));
        }
        const auto request = std::make_shared<WaitingRequest>();
        request->rank = entry.rank;
        const auto startsBefore = m_schedule.starts();
        m_schedule.push(queue, request, arrival);
        m_schedule.grant(arrival, decided);
        if (!decided.empty()) {
            lock.unlock();
            notify(decided);
            lock.lock();
        }
        request->changed.wait_until(
            lock, limit, [&] { return request->state != WaitingRequest::State::Waiting; });

        switch (request->state) {
        case WaitingRequest::State::Granted:
            return AdmissionTicket(controller, entry.name, entry.rank, request->grantedAt,
                std::chrono::duration_cast<Milliseconds>(request->grantedAt - arrival));
        case WaitingRequest::State::Evicted:
            return refusal(entry, Cause::RankQueue,
                "evicted from the full queue in favour of an entry with fewer waiting requests");
        case WaitingRequest::State::Waiting:
            break;
        }
        m_schedule.remove(*request);
        const bool noRequestStarted = m_schedule.starts() == startsBefore;
        return refusal(entry, noRequestStarted ? Cause::FleetCapacity : Cause::RankQueue,
            "no connection became available before the deadline or maxQueue elapsed");
    }

    void release(const std::string& entry, Rank rank, TimePoint startedAt)
    {
        AdmissionSchedule::Requests granted;
        {
            const std::scoped_lock lock(m_mutex);
            const auto now = Clock::now();
            m_schedule.finish(entry, rank, now - startedAt, now);
            m_schedule.grant(now, granted);
        }
        notify(granted);
    }

    void setCapacity(unsigned capacity)
    {
        AdmissionSchedule::Requests granted;
        {
            const std::scoped_lock lock(m_mutex);
            m_schedule.setCapacity(capacity);
            m_schedule.grant(Clock::now(), granted);
        }
        notify(granted);
    }

    std::size_t waiting() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_schedule.waiting();
    }

    std::size_t running() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_schedule.running();
    }

    Milliseconds expectedWait(Rank rank) const
    {
        const std::scoped_lock lock(m_mutex);
        return std::chrono::ceil<Milliseconds>(m_schedule.expectedWait(rank, nullptr, Clock::now()));
    }

    nlohmann::json state() const
    {
        const std::scoped_lock lock(m_mutex);
        auto json = m_schedule.state();
        json["refused"] = m_refused;
        return json;
    }

private:
    /// Counts a refusal and creates its failure; the message names the entry with the most waiting requests.
    tl::unexpected<Failure> refusal(const CatalogueEntry& entry, Cause cause, std::string reason)
    {
        ++m_refused;
        if (const auto* longest = m_schedule.longestQueue(entry.rank)) {
            reason += "; entry '" + longest->entry + "' has " + std::to_string(longest->waiting.size()) + " of the "
                + std::to_string(m_schedule.waiting(entry.rank)) + " waiting requests";
        }
        auto failure = notRun(FailureCode::Refused, std::move(reason), cause);
        failure.value().entry = entry.name;
        failure.value().owner = entry.owner;
        const auto wait = std::chrono::ceil<Milliseconds>(m_schedule.expectedWait(entry.rank, nullptr, Clock::now()));
        failure.value().retryAfter = std::clamp(wait, minRetryAfter, maxRetryAfter);
        return failure;
    }

    mutable std::mutex m_mutex;
    AdmissionSchedule m_schedule;
    std::uint64_t m_refused = 0;
};

AdmissionController::AdmissionController(AdmissionOptions options)
    : m_impl(std::make_unique<Impl>(options))
{
}

AdmissionController::~AdmissionController() = default;

Result<AdmissionTicket> AdmissionController::admit(const CatalogueEntry& entry, const Deadline& deadline)
{
    return m_impl->admit(this, entry, deadline);
}

void AdmissionController::setCapacity(unsigned capacity) { m_impl->setCapacity(capacity); }
std::size_t AdmissionController::waiting() const { return m_impl->waiting(); }
std::size_t AdmissionController::running() const { return m_impl->running(); }
Milliseconds AdmissionController::expectedWait(Rank rank) const { return m_impl->expectedWait(rank); }
nlohmann::json AdmissionController::state() const { return m_impl->state(); }

void AdmissionTicket::release()
{
    if (auto* controller = std::exchange(m_controller, nullptr))
        controller->m_impl->release(m_entry, m_rank, m_startedAt);
}

} // namespace kumquatbank
