#include "kumquatbank/group/DatabaseGroup.h"

#include "GroupSupervisor.h"
#include "ReadService.h"
#include "TransactionService.h"
#include "WriteService.h"

#include <algorithm>

namespace kumquatbank {

namespace {

    // Interval at which a drain looks for work that is still open.
    constexpr Milliseconds drainPoll { 20 };

} // namespace

class DatabaseGroup::Impl {
public:
    Impl(DatabaseDefinition definition, DatabaseGroupOptions options, CauseLedger& causes)
        : parts(std::move(definition), std::move(options), causes)
        , reads(parts)
        , writes(parts)
        , transactions(parts)
        , supervisor(parts)
    {
    }

    ~Impl() { stop(); }

    void stop()
    {
        isClosed = true;
        parts.claim.stop();
        waitForRequests();
        supervisor.stop();
        parts.transactions.closeAll();
        for (const auto& endpoint : parts.endpoints)
            endpoint->stop();
    }

    void waitForRequests()
    {
        parts.view.wake();
        while (openRequests > 0)
            parts.view.waitUntil(Deadline::after(drainPoll), [this] { return openRequests == 0; });
    }

    Result<CallerAnswer> serve(const CallerRequest& request, const CatalogueEntry& entry,
        const SessionToken& session, std::size_t index, std::size_t count, RequestTrace& trace);
    Result<CallerAnswer> settleCommit(const CallerRequest& request, const CatalogueEntry& entry,
        const SessionToken& session, RequestTrace& trace);
    Result<void> check(const CallerRequest& request, const CatalogueEntry& entry) const;

    GroupParts parts;
    ReadService reads;
    WriteService writes;
    TransactionService transactions;
    GroupSupervisor supervisor;
    std::atomic<int> openRequests { 0 };
    std::atomic<bool> isDraining { false };
    std::atomic<bool> isClosed { false };
};

Result<void> DatabaseGroup::Impl::check(const CallerRequest& request, const CatalogueEntry& entry) const
{
    if (request.deadline.hasPassed())
        return notRun(
            FailureCode::DeadlinePassed, "the deadline passed before the request was run", Cause::Deadline);
    if (!entry.accepts(request.kind, !request.transaction.empty()))
        return notRun(FailureCode::BadRequest,
            "entry '" + entry.name + "' does not accept a " + std::string(requestKindName(request.kind)),
            Cause::BadRequest);
    if (isClosed)
        return notRun(FailureCode::NotHolder, "this process gave the database up", Cause::Draining);
    if (isDraining && request.kind == RequestKind::Begin)
        return notRun(FailureCode::Unavailable, "this process is shutting down", Cause::Draining);
    return {};
}

Result<CallerAnswer> DatabaseGroup::Impl::serve(const CallerRequest& request, const CatalogueEntry& entry,
    const SessionToken& session, std::size_t index, std::size_t count, RequestTrace& trace)
{
    const auto checked = check(request, entry);
    if (!checked)
        return tl::unexpected(checked.error());
    if (!request.transaction.empty())
        return transactions.run(request, session, trace);

    const bool isRead = request.kind == RequestKind::Read;
    const auto held = parts.requireHolder(isRead, request.deadline, trace);
    if (!held)
        return tl::unexpected(held.error());
    auto permit = parts.limiter.acquire(entry, index, count);
    if (!permit)
        return tl::unexpected(permit.error());
    if (isRead)
        return reads.run(request, entry, session, trace);
    if (request.kind == RequestKind::Begin)
        return transactions.begin(request, entry, session, std::move(*permit), trace);
    return writes.run(request, entry, session, trace);
}

Result<CallerAnswer> DatabaseGroup::Impl::settleCommit(const CallerRequest& request, const CatalogueEntry& entry,
    const SessionToken& session, RequestTrace& trace)
{
    const auto checked = check(request, entry);
    if (!checked)
        return tl::unexpected(checked.error());
    const auto held = parts.requireHolder(false, request.deadline, trace);
    if (!held)
        return tl::unexpected(held.error());
    auto permit = parts.limiter.acquire(entry, 0, 1);
    if (!permit)
        return tl::unexpected(permit.error());
    return transactions.settleCommit(request, entry, session, std::move(*permit), trace);
}

DatabaseGroup::DatabaseGroup(DatabaseDefinition definition, DatabaseGroupOptions options, CauseLedger& causes)
    : m_impl(std::make_unique<Impl>(std::move(definition), std::move(options), causes))
{
}

DatabaseGroup::~DatabaseGroup() = default;

void DatabaseGroup::start()
{
    for (const auto& endpoint : m_impl->parts.endpoints)
        endpoint->start();
    m_impl->supervisor.start();
}

void DatabaseGroup::drain(Milliseconds idle)
{
    auto& parts = m_impl->parts;
    m_impl->isDraining = true;
    parts.claim.stop();
    while (parts.transactions.size() > 0) {
        parts.transactions.closeIdle(idle);
        parts.view.waitUntil(Deadline::after(drainPoll), [] { return false; });
    }
    m_impl->stop();
}

bool DatabaseGroup::isHolder() const { return !m_impl->isClosed && m_impl->parts.claim.isHeld(); }

std::string DatabaseGroup::knownHolder() const { return m_impl->parts.claim.knownHolder(); }

void DatabaseGroup::reclaim() { m_impl->parts.claim.allowNow(); }

void DatabaseGroup::requestClaim() { m_impl->parts.claim.request(); }

Result<CallerAnswer> DatabaseGroup::run(const CallerRequest& request, const CatalogueEntry& entry,
    const SessionToken& session, std::size_t index, std::size_t count)
{
    ++m_impl->openRequests;
    RequestTrace trace(m_impl->parts.causes, entry, m_impl->parts.definition.name, m_impl->parts.options.self.place,
        m_impl->parts.options.delayThreshold);
    auto result = trace.finish(m_impl->serve(request, entry, session, index, count, trace));
    --m_impl->openRequests;
    return result;
}

Result<CallerAnswer> DatabaseGroup::settleCommit(
    const CallerRequest& request, const CatalogueEntry& entry, const SessionToken& session)
{
    ++m_impl->openRequests;
    auto& parts = m_impl->parts;
    RequestTrace trace(parts.causes, entry, parts.definition.name, parts.options.self.place,
        parts.options.delayThreshold);
    auto result = m_impl->settleCommit(request, entry, session, trace);
    --m_impl->openRequests;
    return trace.finish(std::move(result));
}

std::vector<EndpointState> DatabaseGroup::endpoints() const
{
    std::vector<EndpointState> states;
    const auto& parts = m_impl->parts;
    const auto slots = parts.view.slots();
    for (std::size_t n = 0; n < slots.size(); ++n) {
        const auto& definition = parts.endpoints[n]->definition();
        states.push_back({ definition.slot, definition.address, definition.place, slots[n].isReachable,
            slots[n].isPrimary, slots[n].isLeaving, slots[n].promisedTerm, slots[n].position,
            parts.view.age(n).value_or(Milliseconds::max()) });
    }
    return states;
}

nlohmann::json DatabaseGroup::state() const
{
    const auto& parts = m_impl->parts;
    const auto slots = parts.view.slots();
    auto endpointsJson = nlohmann::json::array();
    std::size_t waiting = 0;
    std::size_t connections = 0;
    for (std::size_t n = 0; n < slots.size(); ++n) {
        auto json = parts.endpoints[n]->state();
        json["isReachable"] = slots[n].isReachable;
        json["isSuspect"] = slots[n].isSuspect;
        json["isPrimary"] = slots[n].isPrimary;
        json["isLeaving"] = slots[n].isLeaving;
        json["promisedTerm"] = slots[n].promisedTerm;
        json["term"] = slots[n].position.term;
        json["position"] = slots[n].position.position;
        json["claim"] = slots[n].claim;
        json["claimHost"] = slots[n].claimHost;
        json["primaryContactMs"] = slots[n].primaryContact.count();
        json["catchUpMs"] = slots[n].catchUp.count();
        const auto age = parts.view.age(n);
        json["lagMs"] = age ? nlohmann::json(age->count()) : nlohmann::json(nullptr);
        waiting += json.at("queue").at("waiting").get<std::size_t>();
        connections += json.at("pool").at("idle").get<std::size_t>() + json.at("pool").at("leased").get<std::size_t>();
        endpointsJson.push_back(std::move(json));
    }
    nlohmann::json json { { "database", parts.definition.name }, { "endpoints", std::move(endpointsJson) },
        { "claim", parts.claimNumber.load() }, { "isHolder", isHolder() },
        { "holder", isHolder() ? parts.options.self.address.toString() : knownHolder() },
        { "mayPromote", isHolder() }, { "transactions", parts.transactions.size() },
        { "promotions", parts.promotion.state() } };
    if (const auto primary = parts.view.primary())
        json["primary"] = { { "slot", primary->slot }, { "term", primary->term } };
    json["term"] = parts.view.greatestTerm();
    json["waiting"] = waiting;
    json["connections"] = connections;
    json["lastGapMs"] = parts.failoverGap.last().count();
    return json;
}

} // namespace kumquatbank
