#include "kumquatbank/proxy/ProxyProcess.h"

#include "ForwardingRouter.h"
#include "OperatorService.h"
#include "StateMetrics.h"
#include "StatementService.h"

#include <condition_variable>
#include <mutex>
#include <prometheus/exposer.h>
#include <thread>

namespace kumquatbank {

namespace {

    // Requests that wait for a holder may use a quarter of the threads; the others continue to serve other databases.
    constexpr std::ptrdiff_t holderWaitDivisor = 4;

    constexpr Milliseconds peerIdleTimeout { 60'000 };
    constexpr Milliseconds maintenanceInterval { 10'000 };

    constexpr Milliseconds causesFlushTimeout { 3000 };

    const log4cxx::LoggerPtr& logger()
    {
        static const auto instance = partLogger("process");
        return instance;
    }

    std::uint64_t newIncarnation()
    {
        // Wall-clock milliseconds: a restarted process at the same address gets a greater incarnation.
        return static_cast<std::uint64_t>(
            std::chrono::duration_cast<Milliseconds>(WallClock::now().time_since_epoch()).count());
    }

    AdmissionPolicy policyOf(const Settings& settings)
    {
        if (settings.admissionPolicy == "strict")
            return AdmissionPolicy::StrictPriority;
        if (settings.admissionPolicy == "fifo")
            return AdmissionPolicy::FirstComeFirstServed;
        return AdmissionPolicy::RankedWithFloors;
    }

} // namespace

class ProxyProcess::Impl {
public:
    explicit Impl(Settings settings);

    Result<void> start();
    void drain();

private:
    /// Closes idle links to peers; a host needs links only to the holders of its callers' databases.
    void maintainLinks(const std::stop_token& stop);
    MembershipOptions membershipOptions() const;
    DatabaseGroupOptions groupOptions();
    HttpResponse serveHttp(const HttpRequest& request);
    nlohmann::json servePeer(const PeerMessage& message);

    const Settings m_settings;
    const HostIdentity m_self;
    Catalogue m_catalogue;
    PeerClient m_peers;
    PlatformClient m_platform;
    CauseLedger m_causes;
    Membership m_membership;
    CauseFlusher m_causeFlusher;
    GroupRegistry m_registry;
    RequestResolver m_resolver;
    HolderService m_holder;
    ForwardingRouter m_router;
    std::shared_ptr<prometheus::Registry> m_metricsRegistry = std::make_shared<prometheus::Registry>();
    ServiceMetrics m_metrics;
    StatementService m_statements;
    OperatorService m_operators;
    std::shared_ptr<StateMetrics> m_stateMetrics;
    PeerServer m_peerServer;
    HttpServer m_httpServer;
    std::unique_ptr<prometheus::Exposer> m_exposer;
    std::mutex m_maintenanceMutex;
    std::condition_variable_any m_maintenanceWakeUp;
    std::jthread m_maintenanceThread;
};

ProxyProcess::Impl::Impl(Settings settings)
    : m_settings(std::move(settings))
    , m_self { m_settings.peerAddress, newIncarnation(), m_settings.place }
    , m_platform(m_settings.platformAddress, { .maxCallsPerSecond = m_settings.platformCallsPerSecond })
    , m_membership(membershipOptions(), m_catalogue, m_peers, m_platform)
    , m_causeFlusher(m_causes, m_platform, m_self, [this] { return m_membership.members().size(); })
    , m_registry(groupOptions(), m_catalogue, m_membership, m_causes)
    , m_resolver(m_catalogue, m_settings.deployment, m_settings.place, m_causes)
    , m_holder(m_self, m_registry, m_membership, m_peers)
    , m_router(m_self, m_membership, m_peers, m_holder, m_causes,
          static_cast<std::ptrdiff_t>(m_settings.callerThreads) / holderWaitDivisor)
    , m_metrics(*m_metricsRegistry)
    , m_statements(m_resolver, m_router, m_holder, m_metrics)
    , m_operators(m_self, m_settings.callerAddress, m_catalogue, m_membership, m_registry, m_peers, m_platform,
          m_causes, m_statements)
    , m_stateMetrics(std::make_shared<StateMetrics>([this] { return m_operators.state(); }))
    , m_peerServer(m_settings.peerAddress, m_settings.peerThreads,
          [this](const PeerMessage& message) { return servePeer(message); })
    , m_httpServer(m_settings.callerAddress, { .maxThreads = m_settings.callerThreads },
          [this](const HttpRequest& request) { return serveHttp(request); })
{
}

Result<void> ProxyProcess::Impl::start()
{
    try {
        m_exposer = std::make_unique<prometheus::Exposer>(m_settings.metricsAddress.toString(), 1);
        m_exposer->RegisterCollectable(m_metricsRegistry);
        m_exposer->RegisterCollectable(m_stateMetrics);
    } catch (const std::exception& e) {
        return notRun(FailureCode::Unavailable,
            "cannot listen on metricsAddress " + m_settings.metricsAddress.toString() + ": " + e.what());
    }
    if (auto started = m_peerServer.start(); !started)
        return started;
    if (auto started = m_httpServer.start(); !started) {
        m_peerServer.stop();
        return started;
    }
    m_membership.start();
    m_causeFlusher.start();
    m_registry.start();
    m_maintenanceThread = std::jthread([this](const std::stop_token& stop) { maintainLinks(stop); });
    LOG4CXX_INFO(logger(), "serving callers on " << m_settings.callerAddress.toString() << ", peers on " << m_settings.peerAddress.toString());
    return {};
}

void ProxyProcess::Impl::drain()
{
    LOG4CXX_INFO(logger(), "drains");
    m_operators.beginDrain();
    m_httpServer.announceClose();
    m_membership.announceLeaving();
    // Time for the load balancer and the peers to detect the drain; all requests are served until then.
    std::this_thread::sleep_for(m_settings.drainNotice);
    m_registry.drainAll();
    m_statements.waitUntilIdle();
    m_httpServer.stop();
    m_causeFlusher.stop(causesFlushTimeout);
    m_membership.stop();
    m_exposer.reset();
    LOG4CXX_INFO(logger(), "drained and stopped");
}

void ProxyProcess::Impl::maintainLinks(const std::stop_token& stop)
{
    while (!stop.stop_requested()) {
        {
            std::unique_lock lock(m_maintenanceMutex);
            m_maintenanceWakeUp.wait_for(lock, stop, maintenanceInterval, [] { return false; });
        }
        m_peers.closeIdle(peerIdleTimeout);
    }
}

MembershipOptions ProxyProcess::Impl::membershipOptions() const
{
    MembershipOptions options;
    options.self = m_self;
    options.seeds = m_settings.seeds;
    options.gossipInterval = m_settings.gossipInterval;
    return options;
}

DatabaseGroupOptions ProxyProcess::Impl::groupOptions()
{
    DatabaseGroupOptions options;
    options.self = m_self;
    options.deployment = m_settings.deployment;
    options.probeInterval = m_settings.probeInterval;
    options.probeTimeout = m_settings.probeTimeout;
    options.delayThreshold = m_settings.delayThreshold;
    options.transactionIdle = m_settings.transactionIdle;
    options.policy = policyOf(m_settings);
    options.confirmByReplica = m_settings.confirmByReplica;
    options.isEndpointLeaving
        = [this](const HostAddress& endpoint) { return m_membership.isEndpointLeaving(endpoint); };
    return options;
}

HttpResponse ProxyProcess::Impl::serveHttp(const HttpRequest& request)
{
    if (request.path != "/v1/statement")
        return m_operators.serve(request);
    if (request.method != "POST")
        return { 405, R"({"error":"use POST"})" };
    return m_statements.serve(request.body);
}

nlohmann::json ProxyProcess::Impl::servePeer(const PeerMessage& message)
{
    switch (message.type) {
    case PeerMessageType::Forward:
        return m_statements.serveForwarded(message.body);
    case PeerMessageType::Ping:
        return nlohmann::json::object();
    case PeerMessageType::Inspect:
        return m_operators.serveInspect(message.body);
    case PeerMessageType::Exchange:
    case PeerMessageType::CataloguePush:
    case PeerMessageType::IndirectProbe:
    case PeerMessageType::Snapshot:
        return m_membership.handle(message);
    }
    return nlohmann::json::object();
}

ProxyProcess::ProxyProcess(Settings settings)
    : m_impl(std::make_unique<Impl>(std::move(settings)))
{
}

ProxyProcess::~ProxyProcess() = default;

Result<void> ProxyProcess::start() { return m_impl->start(); }

void ProxyProcess::drain() { m_impl->drain(); }

} // namespace kumquatbank
