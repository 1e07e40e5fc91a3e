#include "AdmissionSchedule.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace kumquatbank {

namespace {

    using Seconds = std::chrono::duration<double>;
    using FractionalMilliseconds = std::chrono::duration<double, std::milli>;

    /// Assumed service time until the first request has ended.
    constexpr FractionalMilliseconds initialServiceTime { 10 };

    /// Maximum fraction of the capacity for all floors together, so that rank 1 always makes progress.
    constexpr double maxFloorShare = 0.9;

    Clock::duration toDuration(double seconds)
    {
        return std::chrono::duration_cast<Clock::duration>(Seconds(seconds));
    }

    std::array<RankQueue, rankCount> makeRanks(AdmissionPolicy policy)
    {
        const auto order = policy == AdmissionPolicy::RankedWithFloors ? EntryOrder::Fair : EntryOrder::Arrival;
        return { RankQueue(order), RankQueue(order), RankQueue(order) };
    }

} // namespace

AdmissionSchedule::AdmissionSchedule(AdmissionOptions options)
    : m_options(options)
    , m_ranks(makeRanks(options.policy))
    , m_reserve(options.urgentIdleBudget)
{
}

bool AdmissionSchedule::tryStart(EntryQueue& queue, Rank rank, TimePoint now)
{
    if (waiting() > 0 || !mayStart(rank, now))
        return false;
    m_rankFloors[rankIndex(rank)].activate(now);
    rankOf(rank).chargeImmediateStart(queue, now, serviceTime(queue), floorConnections(queue.floorShare));
    start(queue, rank, now);
    return true;
}

Clock::duration AdmissionSchedule::expectedWait(Rank rank, const EntryQueue* queue, TimePoint now) const
{
    const auto& own = rankOf(rank);
    const bool isFree = mayStart(rank, now) && own.waiting() == 0;
    if (isFree || m_options.capacity == 0 || !m_serviceMs.value())
        return Clock::duration(0);
    const double minSecondsPerRequest
        = Seconds(FractionalMilliseconds(*m_serviceMs.value())).count() / m_options.capacity;
    if (own.waiting() == 0) {
        std::size_t ahead = 0;
        for (std::size_t n = 0; n < queueIndex(rank); ++n)
            ahead += m_ranks[n].waiting();
        return toDuration(minSecondsPerRequest * static_cast<double>(ahead + 1));
    }
    const double secondsPerRequest = m_departureRates[queueIndex(rank)].secondsPerDeparture(now, minSecondsPerRequest);
    if (!queue || !isRanked())
        return toDuration(secondsPerRequest * static_cast<double>(own.waiting() + 1));
    // The entries of a rank are served in turn: another entry delays the request by at most ownPosition turns.
    const std::size_t ownPosition = queue->waiting.size() + 1;
    const std::size_t entries = own.activeEntries() + (queue->waiting.empty() ? 1 : 0);
    const double seconds = secondsPerRequest * static_cast<double>(std::min(own.waiting() + 1, entries * ownPosition));
    const double floor = floorConnections(queue->floorShare);
    if (floor <= 0)
        return toDuration(seconds);
    return toDuration(
        std::min(seconds, Seconds(serviceTime(*queue)).count() / floor * static_cast<double>(ownPosition)));
}

std::shared_ptr<WaitingRequest> AdmissionSchedule::evictFromLongestQueue(Rank rank, const EntryQueue& arriving)
{
    auto& ranked = rankOf(rank);
    EntryQueue* longest = ranked.longest();
    if (!isRanked() || !longest || longest->waiting.size() < arriving.waiting.size() + 2)
        return nullptr;
    auto evicted = longest->waiting.back();
    ranked.remove(*evicted);
    evicted->state = WaitingRequest::State::Evicted;
    return evicted;
}

void AdmissionSchedule::push(EntryQueue& queue, const std::shared_ptr<WaitingRequest>& request, TimePoint now)
{
    auto& rank = rankOf(request->rank);
    if (rank.waiting() == 0) {
        m_departureRates[queueIndex(request->rank)].restart(now);
        m_rankFloors[rankIndex(request->rank)].activate(now);
    }
    request->sequence = m_nextSequence++;
    rank.push(queue, request, now);
}

void AdmissionSchedule::grant(TimePoint now, Requests& granted)
{
    while (running() < m_options.capacity) {
        std::size_t index = 0;
        EntryQueue* queue = next(now, index);
        if (!queue)
            return;
        auto request = m_ranks[index].pop(*queue, now, serviceTime(*queue), floorConnections(queue->floorShare));
        request->state = WaitingRequest::State::Granted;
        request->grantedAt = now;
        m_departureRates[index].record(now);
        start(*queue, request->rank, now);
        granted.push_back(std::move(request));
    }
}

void AdmissionSchedule::finish(const std::string& entry, Rank rank, Clock::duration service, TimePoint now)
{
    auto& queue = rankOf(rank).queueOf(entry);
    const double serviceMs = FractionalMilliseconds(service).count();
    queue.serviceMs.add(serviceMs);
    m_serviceMs.add(serviceMs);
    if (rank == Rank::Urgent)
        m_reserve.observe(now, m_running[0]);
    --queue.running;
    --m_running[rankIndex(rank)];
}

Cause AdmissionSchedule::causeOfWait(Rank rank) const
{
    const auto end = m_ranks.begin() + static_cast<std::ptrdiff_t>(queueIndex(rank)) + 1;
    const bool isQueued = std::any_of(m_ranks.begin(), end, [](const auto& it) { return it.waiting() > 0; });
    return isQueued ? Cause::RankQueue : Cause::FleetCapacity;
}

nlohmann::json AdmissionSchedule::state() const
{
    nlohmann::json ranks = nlohmann::json::array();
    for (const Rank rank : allRanks) {
        std::size_t waiting = 0;
        nlohmann::json entries = nlohmann::json::array();
        for (const auto& [name, queue] : rankOf(rank).entries()) {
            if (queue.rank != rank || (queue.running == 0 && queue.waiting.empty()))
                continue;
            waiting += queue.waiting.size();
            entries.push_back({ { "entry", name }, { "owner", queue.owner }, { "running", queue.running },
                { "waiting", queue.waiting.size() } });
        }
        ranks.push_back({ { "rank", rank }, { "running", m_running[rankIndex(rank)] }, { "waiting", waiting },
            { "entries", std::move(entries) } });
    }
    return { { "capacity", m_options.capacity }, { "running", running() }, { "waiting", this->waiting() },
        { "ranks", std::move(ranks) } };
}

std::size_t AdmissionSchedule::maxWaiting(Rank rank) const
{
    const auto& limits = m_options.maxWaiting;
    if (m_options.policy == AdmissionPolicy::FirstComeFirstServed)
        return std::accumulate(limits.begin(), limits.end(), std::size_t { 0 });
    return limits[rankIndex(rank)];
}

/// True if a connection is available to a request of @p rank.
bool AdmissionSchedule::mayStart(Rank rank, TimePoint now) const
{
    if (running() >= m_options.capacity)
        return false;
    if (rank == Rank::Urgent || !isRanked())
        return true;
    return m_options.capacity - running() > m_reserve.connectionsToKeepFree(now, m_running[0], m_options.capacity);
}

Clock::duration AdmissionSchedule::serviceTime(const EntryQueue& queue) const
{
    const double all = m_serviceMs.value().value_or(initialServiceTime.count());
    return std::chrono::duration_cast<Clock::duration>(FractionalMilliseconds(queue.serviceMs.value().value_or(all)));
}

/// Number of connections of a floor, scaled down if the floors with waiting requests exceed maxFloorShare in total.
double AdmissionSchedule::floorConnections(double share) const
{
    if (share <= 0 || !isRanked())
        return 0;
    double sum = 0;
    for (std::size_t n = 0; n < rankCount; ++n) {
        if (m_ranks[n].waiting() > 0)
            sum += std::max(rankFloor(n), m_ranks[n].activeFloorShare());
    }
    return share * m_options.capacity * maxFloorShare / std::max(sum, maxFloorShare);
}

/// Updates counters and floor accounts for a request that was assigned a connection.
void AdmissionSchedule::start(EntryQueue& queue, Rank rank, TimePoint now)
{
    const auto n = rankIndex(rank);
    if (rank == Rank::Urgent)
        m_reserve.observe(now, m_running[n]);
    ++queue.running;
    ++m_running[n];
    ++m_starts;
    if (const double connections = floorConnections(rankFloor(n)); connections > 0)
        m_rankFloors[n].charge(now, serviceTime(queue), connections);
}

/// Entry with the earliest due connection under its own or its rank's floor; null if none is due. Considers the
/// ranks before @p end and sets @p index to the entry's rank.
EntryQueue* AdmissionSchedule::mostOverdue(std::size_t end, TimePoint now, std::size_t& index) const
{
    EntryQueue* best = nullptr;
    TimePoint bestDue = now;
    for (std::size_t n = 0; n < end; ++n) {
        if (m_ranks[n].waiting() == 0)
            continue;
        EntryQueue* queue = m_ranks[n].mostOverdue(now);
        if (queue && queue->floor.due() <= bestDue) {
            best = queue;
            bestDue = queue->floor.due();
            index = n;
        }
        if (rankFloor(n) > 0 && m_rankFloors[n].due() <= bestDue) {
            best = m_ranks[n].next();
            bestDue = m_rankFloors[n].due();
            index = n;
        }
    }
    return best;
}

/// Entry whose oldest request gets the next free connection, with its rank in @p index; null if none may start.
EntryQueue* AdmissionSchedule::next(TimePoint now, std::size_t& index) const
{
    const std::size_t end = mayStart(Rank::Background, now) ? rankCount : 1;
    if (EntryQueue* queue = isRanked() ? mostOverdue(end, now, index) : nullptr)
        return queue;
    for (std::size_t n = 0; n < end; ++n) {
        if (EntryQueue* queue = m_ranks[n].next()) {
            index = n;
            return queue;
        }
    }
    return nullptr;
}

} // namespace kumquatbank
