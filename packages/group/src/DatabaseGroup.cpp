#include "kumquatbank/group/DatabaseGroup.h"

#include "GroupSupervisor.h"
#include "ReadService.h"
#include "TransactionService.h"
#include "WriteService.h"

#include <algorithm>

namespace kumquatbank {

namespace {

    // Interval at which a drain checks for open transactions and requests.
    constexpr Milliseconds drainPollInterval { 20 };

} // namespace

class DatabaseGroup::Impl {
public:
    Impl(DatabaseDefinition definition, DatabaseGroupOptions options, CauseLedger& causes)
        : context(std::move(definition), std::move(options), causes)
        , reads(context)
        , writes(context)
        , transactions(context)
        , supervisor(context)
    {
    }

    ~Impl() { stop(); }

    void stop()
    {
        isClosed = true;
        context.claim.stop();
        waitForRequests();
        supervisor.stop();
        context.transactions.closeAll();
        for (const auto& endpoint : context.endpoints)
            endpoint->stop();
    }

    void waitForRequests()
    {
        context.view.wake();
        while (activeRequests > 0)
            context.view.waitUntil(Deadline::after(drainPollInterval), [this] { return activeRequests == 0; });
    }

    Result<CallerAnswer> serve(const CallerRequest& request, const CatalogueEntry& entry,
        const SessionToken& session, std::size_t index, std::size_t count, RequestTrace& trace);
    Result<CallerAnswer> resolveCommit(const CallerRequest& request, const CatalogueEntry& entry,
        const SessionToken& session, RequestTrace& trace);
    Result<void> validate(const CallerRequest& request, const CatalogueEntry& entry) const;

    GroupContext context;
    ReadService reads;
    WriteService writes;
    TransactionService transactions;
    GroupSupervisor supervisor;
    std::atomic<int> activeRequests { 0 };
    std::atomic<bool> isDraining { false };
    std::atomic<bool> isClosed { false };
};

Result<void> DatabaseGroup::Impl::validate(const CallerRequest& request, const CatalogueEntry& entry) const
{
    if (request.deadline.hasPassed())
        return notRun(
            FailureCode::DeadlinePassed, "the deadline passed before the request was started", Cause::Deadline);
    if (!entry.accepts(request.kind, !request.transaction.empty()))
        return notRun(FailureCode::BadRequest,
            "entry '" + entry.name + "' does not accept a " + std::string(requestKindName(request.kind)),
            Cause::BadRequest);
    if (isClosed)
        return notRun(FailureCode::NotHolder, "this process no longer serves the database", Cause::Draining);
    if (isDraining && request.kind == RequestKind::Begin)
        return notRun(FailureCode::Unavailable, "this process is shutting down", Cause::Draining);
    return {};
}

Result<CallerAnswer> DatabaseGroup::Impl::serve(const CallerRequest& request, const CatalogueEntry& entry,
    const SessionToken& session, std::size_t index, std::size_t count, RequestTrace& trace)
{
    const auto validated = validate(request, entry);
    if (!validated)
        return tl::unexpected(validated.error());
    if (!request.transaction.empty())
        return transactions.run(request, session, trace);

    const bool isRead = request.kind == RequestKind::Read;
    const auto claimed = context.waitForClaim(isRead, request.deadline, trace);
    if (!claimed)
        return tl::unexpected(claimed.error());
    auto permit = context.limiter.acquire(entry, index, count);
    if (!permit)
        return tl::unexpected(permit.error());
    if (isRead)
        return reads.run(request, entry, session, trace);
    if (request.kind == RequestKind::Begin)
        return transactions.begin(request, entry, session, std::move(*permit), trace);
    return writes.run(request, entry, session, trace);
}

Result<CallerAnswer> DatabaseGroup::Impl::resolveCommit(const CallerRequest& request, const CatalogueEntry& entry,
    const SessionToken& session, RequestTrace& trace)
{
    const auto validated = validate(request, entry);
    if (!validated)
        return tl::unexpected(validated.error());
    const auto claimed = context.waitForClaim(false, request.deadline, trace);
    if (!claimed)
        return tl::unexpected(claimed.error());
    auto permit = context.limiter.acquire(entry, 0, 1);
    if (!permit)
        return tl::unexpected(permit.error());
    return transactions.resolveCommit(request, entry, session, std::move(*permit), trace);
}

DatabaseGroup::DatabaseGroup(DatabaseDefinition definition, DatabaseGroupOptions options, CauseLedger& causes)
    : m_impl(std::make_unique<Impl>(std::move(definition), std::move(options), causes))
{
}

DatabaseGroup::~DatabaseGroup() = default;

void DatabaseGroup::start()
{
    for (const auto& endpoint : m_impl->context.endpoints)
        endpoint->start();
    m_impl->supervisor.start();
}

void DatabaseGroup::drain(Milliseconds idleTimeout)
{
    auto& context = m_impl->context;
    m_impl->isDraining = true;
    context.claim.stop();
    while (context.transactions.size() > 0) {
        context.transactions.closeIdle(idleTimeout);
        context.view.waitUntil(Deadline::after(drainPollInterval), [] { return false; });
    }
    m_impl->stop();
}

bool DatabaseGroup::isHolder() const { return !m_impl->isClosed && m_impl->context.claim.isHeld(); }

std::string DatabaseGroup::knownHolder() const { return m_impl->context.claim.knownHolder(); }

void DatabaseGroup::reclaim() { m_impl->context.claim.endBackoff(); }

void DatabaseGroup::requestClaim() { m_impl->context.claim.request(); }

Result<CallerAnswer> DatabaseGroup::run(const CallerRequest& request, const CatalogueEntry& entry,
    const SessionToken& session, std::size_t index, std::size_t count)
{
    ++m_impl->activeRequests;
    RequestTrace trace(m_impl->context.causes, entry, m_impl->context.definition.name,
        m_impl->context.options.self.place, m_impl->context.options.delayThreshold);
    auto result = trace.finish(m_impl->serve(request, entry, session, index, count, trace));
    --m_impl->activeRequests;
    return result;
}

Result<CallerAnswer> DatabaseGroup::resolveCommit(
    const CallerRequest& request, const CatalogueEntry& entry, const SessionToken& session)
{
    ++m_impl->activeRequests;
    auto& context = m_impl->context;
    RequestTrace trace(context.causes, entry, context.definition.name, context.options.self.place,
        context.options.delayThreshold);
    auto result = m_impl->resolveCommit(request, entry, session, trace);
    --m_impl->activeRequests;
    return trace.finish(std::move(result));
}

std::vector<EndpointState> DatabaseGroup::endpoints() const
{
    std::vector<EndpointState> states;
    const auto& context = m_impl->context;
    const auto slots = context.view.slots();
    for (std::size_t n = 0; n < slots.size(); ++n) {
        const auto& definition = context.endpoints[n]->definition();
        states.push_back({ definition.slot, definition.address, definition.place, slots[n].isReachable,
            slots[n].isPrimary, slots[n].isLeaving, slots[n].promisedTerm, slots[n].position,
            context.view.age(n).value_or(Milliseconds::max()) });
    }
    return states;
}

nlohmann::json DatabaseGroup::state() const
{
    const auto& context = m_impl->context;
    const auto slots = context.view.slots();
    auto endpointsJson = nlohmann::json::array();
    std::size_t waiting = 0;
    std::size_t connections = 0;
    for (std::size_t n = 0; n < slots.size(); ++n) {
        auto json = context.endpoints[n]->state();
        json["isReachable"] = slots[n].isReachable;
        json["isSuspect"] = slots[n].isSuspect;
        json["isPrimary"] = slots[n].isPrimary;
        json["isLeaving"] = slots[n].isLeaving;
        json["promisedTerm"] = slots[n].promisedTerm;
        json["term"] = slots[n].position.term;
        json["position"] = slots[n].position.position;
        json["claim"] = slots[n].claim;
        json["claimHost"] = slots[n].claimHost;
        json["primaryContactMs"] = slots[n].primaryContactAge.count();
        json["catchUpMs"] = slots[n].catchUpTime.count();
        const auto age = context.view.age(n);
        json["lagMs"] = age ? nlohmann::json(age->count()) : nlohmann::json(nullptr);
        waiting += json.at("queue").at("waiting").get<std::size_t>();
        connections += json.at("pool").at("idle").get<std::size_t>() + json.at("pool").at("leased").get<std::size_t>();
        endpointsJson.push_back(std::move(json));
    }
    nlohmann::json json { { "database", context.definition.name }, { "endpoints", std::move(endpointsJson) },
        { "claim", context.claimNumber.load() }, { "isHolder", isHolder() },
        { "holder", isHolder() ? context.options.self.address.toString() : knownHolder() },
        { "mayPromote", isHolder() }, { "transactions", context.transactions.size() },
        { "promotions", context.promotion.state() } };
    if (const auto primary = context.view.primary())
        json["primary"] = { { "slot", primary->slot }, { "term", primary->term } };
    json["term"] = context.view.greatestTerm();
    json["waiting"] = waiting;
    json["connections"] = connections;
    json["lastGapMs"] = context.failoverGap.last().count();
    return json;
}

} // namespace kumquatbank
