#include "kumquatbank/routing/ServiceScheduler.h"

#include "kumquatbank/routing/AccountShare.h"

#include <algorithm>
#include <vector>

namespace kumquatbank {

namespace {

    /// One grant in this many goes to the request that has waited longest, regardless of its priority, so that
    /// continuous urgent work leaves at least 1/8 of the connections to the other priorities.
    constexpr unsigned oldestFirstInterval = 8;

    /// Divisor of a new sample in the smoothed hold time: its weight is 1/16.
    constexpr int holdTimeSmoothing = 16;

    /// Added to the cost of a read on the primary: it goes there only if the replicas are slower by this much, because
    /// writes have no other endpoint.
    constexpr std::chrono::microseconds primaryReadPenalty { 30'000 };

    /// Permits of the primary that are reserved for writes.
    int reservedForWrites(int limit) { return limit / 2; }

    /// Number of permits of the endpoint that are available to requests like this one.
    int limitFor(const ServiceScheduler::EndpointView& endpoint, const PermitRequest& request)
    {
        const bool isReadOnPrimary = endpoint.isPrimary && request.eligibility == Eligibility::Any;
        return isReadOnPrimary ? std::max(1, endpoint.limit - reservedForWrites(endpoint.limit)) : endpoint.limit;
    }

} // namespace

ServiceScheduler::Ticket::~Ticket()
{
    if (m_it)
        m_scheduler.m_waiting.remove(*m_it);
}

void ServiceScheduler::setEndpoint(const std::string& id, bool isUsable, bool isPrimary, int limit)
{
    auto& endpoint = m_endpoints[id];
    const bool isBetter = (isUsable && !endpoint.isUsable) || (isPrimary && !endpoint.isPrimary) || limit > endpoint.limit;
    endpoint.isUsable = isUsable;
    endpoint.isPrimary = isPrimary;
    endpoint.limit = limit;
    if (isBetter)
        grantWaiting();
}

void ServiceScheduler::setAnswerTime(const std::string& id, std::chrono::microseconds time)
{
    if (const auto it = m_endpoints.find(id); it != m_endpoints.end())
        it->second.answerTime = time;
}

void ServiceScheduler::setOpeningCost(const std::string& id, std::chrono::microseconds cost)
{
    if (const auto it = m_endpoints.find(id); it != m_endpoints.end())
        it->second.openingCost = cost;
}

void ServiceScheduler::setEjected(const std::string& id, bool isEjected, bool isProbeDue)
{
    const auto it = m_endpoints.find(id);
    if (it == m_endpoints.end())
        return;
    auto& endpoint = it->second;
    const bool isBetter = (endpoint.isEjected && !isEjected) || (isProbeDue && !endpoint.isProbeDue);
    endpoint.isEjected = isEjected;
    endpoint.isProbeDue = isEjected && (isProbeDue || endpoint.isProbeDue);
    if (isBetter)
        grantWaiting();
}

void ServiceScheduler::removeEndpoint(const std::string& id)
{
    // Its permits may still be in use; release() ignores them.
    m_endpoints.erase(id);
}

bool ServiceScheduler::isEligible(const std::string& id, const EndpointView& endpoint, const PermitRequest& request) const
{
    if (!endpoint.isUsable || request.excluded.contains(id))
        return false;
    if (endpoint.isEjected && request.eligibility == Eligibility::Any)
        return endpoint.isProbeDue && request.isRepeatable;
    return request.eligibility == Eligibility::Any || endpoint.isPrimary;
}

std::optional<std::string> ServiceScheduler::bestEndpoint(const PermitRequest& request) const
{
    std::optional<std::string> best;
    auto bestCost = std::chrono::microseconds::max();
    for (const auto& [id, endpoint] : m_endpoints) {
        if (!isEligible(id, endpoint, request))
            continue;
        if (endpoint.inUse >= limitFor(endpoint, request) || isAboveShare(id, endpoint, request))
            continue;
        const bool isRead = request.eligibility == Eligibility::Any;
        if (isRead && endpoint.isEjected)
            return id; // A probe is due.
        const bool isReadOnPrimary = endpoint.isPrimary && isRead;
        const bool hasAccountCost = !request.account.empty() && m_accountOpeningCost;
        const auto openingCost = hasAccountCost ? m_accountOpeningCost(id, request.account) : endpoint.openingCost;
        const auto cost = endpoint.answerTime + openingCost + m_holdTime * endpoint.inUse / std::max(1, endpoint.limit)
            + (isReadOnPrimary ? primaryReadPenalty : std::chrono::microseconds(0));
        if (cost < bestCost) {
            bestCost = cost;
            best = id;
        }
    }
    return best;
}

bool ServiceScheduler::isAboveShare(const std::string& id, const EndpointView& endpoint, const PermitRequest& request) const
{
    const auto used = endpoint.inUseByAccount.find(request.account);
    if (used == endpoint.inUseByAccount.end() || used->second < accountShare(endpoint.limit))
        return false;
    return std::ranges::any_of(m_waiting.entries(), [&](const WaitingQueue::Entry& other) {
        return other.request.account != request.account && isEligible(id, endpoint, other.request) && endpoint.inUse < limitFor(endpoint, other.request);
    });
}

void ServiceScheduler::take(EndpointView& endpoint, const std::string& account)
{
    ++endpoint.inUse;
    if (!account.empty())
        ++endpoint.inUseByAccount[account];
}

void ServiceScheduler::takePermit(EndpointView& endpoint, const PermitRequest& request)
{
    take(endpoint, request.account);
    if (request.eligibility == Eligibility::Any)
        endpoint.isProbeDue = false;
}

std::optional<std::string> ServiceScheduler::tryAcquire(const PermitRequest& request)
{
    const auto hasSameEligibility = [&](const PermitRequest& waiting) { return waiting.eligibility == request.eligibility; };
    if (m_waiting.countAhead(request, hasSameEligibility) > 0)
        return std::nullopt;
    auto best = bestEndpoint(request);
    if (best) {
        takePermit(m_endpoints[*best], request);
        recordGrant(m_waiting.usage(request.eligibility).enter(request.account, request.accountWeight), request);
    }
    return best;
}

void ServiceScheduler::acquireUnqueued(const std::string& id, const std::string& account)
{
    if (const auto it = m_endpoints.find(id); it != m_endpoints.end())
        take(it->second, account);
}

std::unique_ptr<ServiceScheduler::Ticket> ServiceScheduler::enqueue(PermitRequest request, BootTime now, GrantCallback onGranted)
{
    advanceTo(now);
    const auto it = m_waiting.add(std::move(request), now, std::move(onGranted));
    auto ticket = std::make_unique<Ticket>(*this, it);
    it->onRemoved = [granted = ticket.get()] { granted->m_it.reset(); };
    return ticket;
}

void ServiceScheduler::release(const std::string& endpoint, std::chrono::microseconds holdTime, const PermitCharge& charge)
{
    m_waiting.usage(charge.eligibility).recordRelease(charge.account, holdTime);
    release(endpoint, holdTime, charge.account);
}

void ServiceScheduler::release(const std::string& endpoint, std::chrono::microseconds holdTime, std::string_view account)
{
    m_holdTime += (holdTime - m_holdTime) / holdTimeSmoothing;
    m_waiting.usage(Eligibility::PrimaryOnly).setExpectedHold(m_holdTime);
    m_waiting.usage(Eligibility::Any).setExpectedHold(m_holdTime);
    if (const auto it = m_endpoints.find(endpoint); it != m_endpoints.end()) {
        auto& view = it->second;
        // Permits of an endpoint that was removed and came back meanwhile are not counted.
        view.inUse = std::max(0, view.inUse - 1);
        const auto used = view.inUseByAccount.find(account);
        if (used != view.inUseByAccount.end() && --used->second == 0)
            view.inUseByAccount.erase(used);
    }
    grantWaiting();
}

bool ServiceScheduler::isOverShare(const PermitCharge& charge) const
{
    const auto& usage = m_waiting.usage(charge.eligibility);
    const auto* account = usage.find(charge.account);
    return account != nullptr && usage.isOverShare(*account);
}

std::size_t ServiceScheduler::accountsOverShare() const
{
    return m_waiting.usage(Eligibility::PrimaryOnly).accountsOverShare() + m_waiting.usage(Eligibility::Any).accountsOverShare();
}

WaitingQueue::Iterator ServiceScheduler::nextServable()
{
    const auto isServable = [this](const PermitRequest& request) { return bestEndpoint(request).has_value(); };
    return (m_queuedGrants + 1) % oldestFirstInterval == 0 ? m_waiting.oldest(isServable) : m_waiting.first(isServable);
}

bool ServiceScheduler::hasFreePermit() const
{
    return std::ranges::any_of(m_endpoints, [](const auto& item) { return item.second.isUsable && item.second.inUse < item.second.limit; });
}

void ServiceScheduler::grantWaiting()
{
    while (!m_waiting.isEmpty() && hasFreePermit()) {
        const auto it = nextServable();
        if (it == m_waiting.end())
            return;
        const auto endpoint = *bestEndpoint(it->request);
        takePermit(m_endpoints[endpoint], it->request);
        ++m_queuedGrants;
        recordGrant(*it->account, it->request);
        const auto onGranted = std::move(it->onGranted);
        it->onRemoved();
        m_waiting.remove(it);
        onGranted(endpoint);
    }
}

void ServiceScheduler::recordGrant(AccountUsage::Account& account, const PermitRequest& request)
{
    auto& usage = m_waiting.usage(request.eligibility);
    m_grantShares.record({ usage.isOverShare(account), request.priority });
    usage.recordGrant(account);
}

double ServiceScheduler::shareAvailableTo(const RequestRank& rank) const
{
    return std::max(1.0 - m_grantShares.shareBefore(rank), 1.0 / oldestFirstInterval);
}

std::chrono::milliseconds ServiceScheduler::expectedWait(const PermitRequest& request) const
{
    int permits = 0;
    bool hasFree = false;
    std::vector<std::pair<const std::string*, const EndpointView*>> eligible;
    for (const auto& [id, endpoint] : m_endpoints) {
        if (!isEligible(id, endpoint, request))
            continue;
        eligible.emplace_back(&id, &endpoint);
        permits += limitFor(endpoint, request);
        hasFree = hasFree || endpoint.inUse < limitFor(endpoint, request);
    }
    if (permits == 0)
        return std::chrono::milliseconds::max();
    const auto ahead = m_waiting.countAhead(request, [&](const PermitRequest& waiting) {
        return std::ranges::any_of(eligible, [&](const auto& item) { return isEligible(*item.first, *item.second, waiting); });
    });
    if (ahead == 0 && hasFree)
        return std::chrono::milliseconds(0);
    // Requests of earlier ranks that arrive later are also served first.
    const auto wait = std::chrono::duration<double, std::micro>(m_holdTime) * static_cast<double>(ahead + 1) / permits / shareAvailableTo(m_waiting.rankOfNew(request));
    return std::chrono::duration_cast<std::chrono::milliseconds>(wait);
}

} // namespace kumquatbank
