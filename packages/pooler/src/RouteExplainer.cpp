#include "RouteExplainer.h"

#include <boost/url.hpp>
#include <fmt/format.h>

namespace kumquatbank {

namespace {

    using Json = nlohmann::json;
    using View = ServiceScheduler::EndpointView;

    constexpr std::array<std::string_view, 3> kindNames { "read", "write", "transaction" };

    Json refuse(std::string_view reason) { return { { "outcome", "refused" }, { "reason", reason } }; }

    std::string remaining(BootTime until, BootTime now) { return fmt::format(" for {} ms more", toMs(until - now)); }

    /// Why the scheduler does not use the endpoint for any request.
    std::string describeUnusable(const DatabaseService& service, const Endpoint& endpoint, BootTime now)
    {
        if (endpoint.entry.isDraining)
            return "it is leaving";
        if (now < endpoint.unusableUntil)
            return "no connection could be opened; left out" + remaining(endpoint.unusableUntil, now);
        if (now < endpoint.fullUntil)
            return "it accepts no more connections" + remaining(endpoint.fullUntil, now);
        return endpoint.entry.id == service.lastPrimary() ? "the primary does not answer" : "it is not usable";
    }

    /// Why the endpoint is not the one that the request would get; empty if nothing is against it.
    std::string describeObstacle(const DatabaseService& service, const Endpoint& endpoint, const View* view, bool isRead, BootTime now)
    {
        if (view == nullptr)
            return "its entry has gone";
        if (!isRead && !view->isPrimary)
            return "it is not the primary";
        if (!view->isUsable)
            return describeUnusable(service, endpoint, now);
        if (isRead && !view->isPrimary && now < endpoint.laggingUntil)
            return "it lagged; no reads with a position" + remaining(endpoint.laggingUntil, now);
        if (isRead && view->isEjected)
            return "it fails far more statements than its peers; only probes";
        if (view->inUse >= view->limit)
            return fmt::format("all {} uses are taken", view->limit);
        return {};
    }

    Json describeCandidate(const DatabaseService& service, const Endpoint& endpoint, bool isChosen, bool isRead, BootTime now)
    {
        const auto& views = service.scheduler().endpoints();
        const auto it = views.find(endpoint.entry.id);
        const auto* view = it == views.end() ? nullptr : &it->second;
        auto reason = describeObstacle(service, endpoint, view, isRead, now);
        if (reason.empty())
            reason = isChosen ? "lowest cost" : "another endpoint has a lower cost, or its free uses are kept for writes";
        Json candidate { { "endpoint", endpoint.entry.id }, { "chosen", isChosen }, { "reason", reason } };
        if (view != nullptr)
            candidate.update({ { "primary", view->isPrimary }, { "inUse", view->inUse }, { "limit", view->limit }, { "answerUs", view->answerTime.count() }, { "openingUs", view->openingCost.count() } });
        const auto* pacing = service.pacing();
        if (const auto* pace = pacing == nullptr ? nullptr : pacing->pace(endpoint.entry.id))
            candidate.update({ { "pace", pace->limit() }, { "fullPace", pace->full() } });
        return candidate;
    }

} // namespace

std::optional<RouteQuery> RouteQuery::parse(const std::string& target)
{
    const auto url = boost::urls::parse_origin_form(target);
    if (!url || url->path() != "/route")
        return std::nullopt;
    const auto parameter = [&url](const char* name) {
        const auto it = url->params().find(name);
        return it == url->params().end() ? std::string() : std::string((*it).value);
    };
    const auto kind = std::ranges::find(kindNames, parameter("kind"));
    RouteQuery query { parameter("account"), parameter("database"), Kind::Read };
    if (kind == kindNames.end() || query.database.empty())
        return std::nullopt;
    query.kind = static_cast<Kind>(kind - kindNames.begin());
    return query;
}

nlohmann::json RouteExplainer::explain(const RouteQuery& query) const
{
    const auto config = m_registry.config();
    if (!config)
        return refuse("no configuration is known yet");
    const auto* route = config->findRoute(query.database);
    if (route == nullptr)
        return refuse("no route for this database");
    const bool isKnown = config->accounts.contains(query.account);
    if (config->hasAccounts && !isKnown && !route->isPublic)
        return refuse("the route is not public, and no such account is known");
    const auto service = m_registry.find(route->service);
    auto explained = service ? explainOn(*service, *route, query) : refuse("no endpoint of the service is known");
    explained["configVersion"] = config->version;
    explained["account"] = isKnown ? query.account : std::string();
    explained["route"] = { { "name", route->name }, { "service", route->service }, { "consistency", readPolicyName(route->policy) }, { "maxStalenessMs", route->maxStaleness.count() }, { "priority", route->priority }, { "targetLatencyMs", route->targetLatency.count() } };
    return explained;
}

nlohmann::json RouteExplainer::explainOn(const DatabaseService& service, const Route& route, const RouteQuery& query) const
{
    const auto now = BootClock::now();
    const bool isRead = query.kind == RouteQuery::Kind::Read && route.policy != ReadPolicy::Primary;
    PermitRequest request;
    request.eligibility = isRead ? Eligibility::Any : Eligibility::PrimaryOnly;
    request.priority = route.priority;
    if (isRead)
        request.excluded = service.laggingEndpoints();
    Json explained { { "outcome", "sent" } };
    if (isRead) {
        const auto floor = service.currentFloor(route.maxStaleness, {});
        explained["position"] = floor ? Json(*floor) : Json();
        explained["positionNote"] = floor ? "at least; a session's own commits raise it under read_your_writes" : "no recent one is known; the primary would be asked, or the lender would send one";
    }
    const auto best = service.scheduler().bestEndpoint(request);
    const auto wait = service.scheduler().expectedWait(request);
    const bool hasNoEndpoint = wait == std::chrono::milliseconds::max();
    explained["waiting"] = service.scheduler().waiting();
    explained["expectedWaitMs"] = hasNoEndpoint ? Json() : Json(wait.count());
    if (hasNoEndpoint)
        explained["outcome"] = "waits for an endpoint";
    else if (wait > std::chrono::milliseconds(0) || !best)
        explained["outcome"] = "waits for a connection";
    const bool isBorrowed = service.isLent() && service.holderRank() != std::size_t { 0 };
    if (isBorrowed) {
        const auto holders = m_hosts.placement().topHoldersPerRegion(service.name());
        auto& lenders = explained["lenders"] = Json::array();
        for (const auto& holder : holders)
            lenders.push_back(holder.name);
        explained["outcome"] = "borrows a connection; the lender of this region decides by its own state";
    }
    auto& candidates = explained["candidates"] = Json::array();
    for (const auto& [id, endpoint] : service.endpoints())
        candidates.push_back(describeCandidate(service, *endpoint, best == id, isRead, now));
    return explained;
}

} // namespace kumquatbank
