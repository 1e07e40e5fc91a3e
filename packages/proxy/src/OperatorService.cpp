#include "OperatorService.h"

#include <charconv>

namespace kumquatbank {

namespace {

    using Json = nlohmann::json;

    constexpr Milliseconds inspectTimeout { 3000 };

    HttpResponse jsonResponse(int status, const Json& body) { return { status, body.dump(2) + "\n" }; }

    HttpResponse errorResponse(int status, const std::string& message)
    {
        return jsonResponse(status, { { "error", message } });
    }

    std::optional<WallTime> parseUnixSeconds(const std::string& text)
    {
        std::int64_t seconds = 0;
        const auto* end = text.data() + text.size();
        const auto [parsedEnd, ec] = std::from_chars(text.data(), end, seconds);
        if (ec != std::errc {} || parsedEnd != end)
            return std::nullopt;
        return WallTime(std::chrono::seconds(seconds));
    }

    std::optional<WallTime> queryTime(const HttpRequest& request, const std::string& name)
    {
        const auto it = request.query.find(name);
        return it == request.query.end() ? std::nullopt : parseUnixSeconds(it->second);
    }

} // namespace

OperatorService::OperatorService(HostIdentity self, HostAddress callerAddress, Catalogue& catalogue,
    Membership& membership, GroupRegistry& registry, PeerClient& peers, PlatformClient& platform,
    CauseLedger& causes, StatementService& statements)
    : m_self(std::move(self))
    , m_callerAddress(std::move(callerAddress))
    , m_catalogue(catalogue)
    , m_membership(membership)
    , m_registry(registry)
    , m_peers(peers)
    , m_platform(platform)
    , m_causes(causes)
    , m_statements(statements)
{
}

HttpResponse OperatorService::serve(const HttpRequest& request)
{
    const auto peer = request.query.find("peer");
    if (peer != request.query.end() && peer->second != m_self.address.toString())
        return serveFromPeer(request, peer->second);
    return serveLocal(request);
}

nlohmann::json OperatorService::serveInspect(const Json& body)
{
    try {
        const auto response = serveLocal({ "GET", body.at("path").get<std::string>(),
            body.at("query").get<std::map<std::string, std::string>>(), {} });
        return { { "status", response.status }, { "body", response.body } };
    } catch (const Json::exception&) {
        return { { "status", 400 }, { "body", "" } };
    }
}

HttpResponse OperatorService::serveLocal(const HttpRequest& request)
{
    if (request.path == "/live")
        return jsonResponse(200, { { "live", true } });
    if (request.path == "/ready")
        return serveReady();
    if (request.path == "/state")
        return jsonResponse(200, state());
    if (request.path == "/causes")
        return serveCauses(request);
    return errorResponse(404, "unknown path '" + request.path + "'");
}

HttpResponse OperatorService::serveFromPeer(const HttpRequest& request, const std::string& peer)
{
    const auto address = HostAddress::parse(peer);
    if (!address)
        return errorResponse(400, address.error().message);
    const Json body = { { "path", request.path }, { "query", request.query } };
    const auto reply
        = m_peers.call(*address, PeerMessage { PeerMessageType::Inspect, m_self, body }, inspectTimeout);
    if (!reply)
        return errorResponse(502, "peer " + peer + " did not answer: " + reply.error().message);
    return { reply->value("status", 502), reply->value("body", "") };
}

HttpResponse OperatorService::serveCauses(const HttpRequest& request) const
{
    const auto from = queryTime(request, "from");
    const auto to = queryTime(request, "to");
    if (!from || !to || *from >= *to)
        return errorResponse(400, "query parameters from and to must be Unix times in seconds, with from before to");
    return jsonResponse(200, CauseBatch { m_self, m_causes.rows(*from, *to), 0 });
}

HttpResponse OperatorService::serveReady() const
{
    const bool isSynchronized = m_membership.isSynchronized();
    const bool isReady = isSynchronized && !m_isDraining;
    return jsonResponse(isReady ? 200 : 503,
        { { "ready", isReady }, { "catalogue", isSynchronized }, { "draining", m_isDraining.load() } });
}

nlohmann::json OperatorService::state() const
{
    Json json = m_membership.state();
    json["host"] = m_self.address.toString();
    json["callerAddress"] = m_callerAddress.toString();
    json["incarnation"] = m_self.incarnation;
    json["place"] = m_self.place;
    json["draining"] = m_isDraining.load();
    json["catalogueRevision"] = m_catalogue.revision();
    json["requestsInProgress"] = m_statements.inProgress();
    json["platform"] = { { "calls", m_platform.callCount() }, { "refused", m_platform.refusedCount() },
        { "down", m_platform.isDown() } };
    json["controlBytes"] = m_peers.controlBytes();
    json["groups"] = Json::array();
    for (const auto& [database, group] : m_registry.held())
        json["groups"].push_back(group->state());
    return json;
}

} // namespace kumquatbank
