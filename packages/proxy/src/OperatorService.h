#pragma once

#include "GroupRegistry.h"
#include "StatementService.h"

#include <atomic>

namespace kumquatbank {

/// Serves health, state dump and causes to operators, for this process or, with ?peer=ip:port, for another one.
/// Thread-safe.
class OperatorService {
public:
    OperatorService(HostIdentity self, HostAddress callerAddress, Catalogue& catalogue, Membership& membership,
        GroupRegistry& registry, PeerClient& peers, PlatformClient& platform, CauseLedger& causes,
        StatementService& statements);

    /// Answers GET /live, /ready, /state and /causes; 404 for any other path.
    HttpResponse serve(const HttpRequest& request);

    /// Answers an Inspect message: {"path", "query"} gives {"status", "body"}.
    nlohmann::json serveInspect(const nlohmann::json& body);

    /// Makes /ready report false permanently.
    void beginDrain() { m_isDraining = true; }

    /// Describes this process: members, catalogue revision, groups, queues, platform calls.
    nlohmann::json state() const;

private:
    HttpResponse serveLocal(const HttpRequest& request);
    HttpResponse serveFromPeer(const HttpRequest& request, const std::string& peer);
    HttpResponse serveCauses(const HttpRequest& request) const;
    HttpResponse serveReady() const;

    const HostIdentity m_self;
    const HostAddress m_callerAddress;
    Catalogue& m_catalogue;
    Membership& m_membership;
    GroupRegistry& m_registry;
    PeerClient& m_peers;
    PlatformClient& m_platform;
    CauseLedger& m_causes;
    StatementService& m_statements;
    std::atomic<bool> m_isDraining = false;
};

} // namespace kumquatbank
