#include "kumquatbank/pooler/PoolerProcess.h"

#include "ConnectionBorrower.h"
#include "ConnectionLender.h"
#include "DescriptorPlan.h"
#include "HostDirectory.h"
#include "LimitService.h"
#include "PeerService.h"
#include "PromotionController.h"
#include "RouteExplainer.h"
#include "SessionList.h"
#include "SettingsFile.h"
#include "StoreSync.h"
#include "kumquatbank/engine/engine.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <malloc.h>

namespace kumquatbank {

using std::chrono::milliseconds;

namespace {

    constexpr milliseconds maintenanceInterval { 100 };
    constexpr milliseconds settingsCheckInterval { 1000 };
    /// A maintenance round that is later than this means that the process was paused.
    constexpr milliseconds pauseThreshold { 700 };
    /// Interval of the checks while the process stops.
    constexpr milliseconds stopCheckInterval { 20 };
    /// Time after a new version in which idle transactions are checked for a withdrawn access: the grace period, and a
    /// statement that ends after it.
    constexpr milliseconds withdrawalCheckPeriod { 10'000 };
    constexpr int logFlushTimeoutMs = 100;
    /// Blocks from this size on are returned to the system when they are freed. By default, the allocator raises this
    /// threshold to the size of the largest block freed, and keeps the memory of long messages in its heap.
    constexpr int returnedBlockBytes = 128 << 10;
    /// Of a request to the process itself. The product's own requests have no body.
    constexpr std::uint64_t maxRequestBytes = 16 << 10;

} // namespace

class PoolerProcess::Impl {
public:
    Impl(asio::io_context& io, PoolerSettings settings, std::string settingsFile)
        : m_io(io)
        , m_settings(std::move(settings))
        , m_settingsFile(std::move(settingsFile))
        , m_registry(m_io, m_settings.host, m_metrics)
        , m_store(std::make_shared<ObjectStore>(m_io, m_settings.storeAddress))
        , m_sync(m_io, m_store, m_registry, m_metrics)
        , m_hosts(m_io, m_store, m_settings, m_registry, m_metrics)
        , m_peers(m_io, m_hosts, m_registry, m_sync)
        , m_borrower(m_io, m_hosts, m_settings, m_metrics)
        , m_limits(m_io, m_hosts, m_settings, m_registry, m_metrics)
        , m_lender(m_registry, m_limits, m_metrics)
        , m_promotions(m_io, m_store, m_settings, m_registry, m_peers, m_metrics)
        , m_signals(m_io, SIGTERM, SIGINT, SIGHUP)
    {
    }

    void start()
    {
        EventLog::setHost(m_settings.host);
        EventLog::setRateLimits(m_settings.logLinesPerSecond, m_settings.failureLinesPerSecond);
        m_registry.setEndpointTimes(m_settings.databaseDrainTime, m_settings.memberRetention);
        if (m_settings.endpointPacing)
            m_registry.enablePacing();
        MemoryBudget::ofProcess().setProcessMemory(static_cast<std::size_t>(m_settings.memoryMb));
        mallopt(M_MMAP_THRESHOLD, returnedBlockBytes);
        mallopt(M_TRIM_THRESHOLD, returnedBlockBytes);
        const int descriptors = DescriptorPlan::processLimit(m_settings.maxDescriptors);
        m_plan = DescriptorPlan::of(descriptors);
        m_lender.setChannelLimit(m_plan.loans);
        EventLog::info("limits", { { "memory_mb", m_settings.memoryMb }, { "memory_budget", MemoryBudget::ofProcess().total() }, { "descriptors", descriptors }, { "clients", m_plan.clients }, { "unread_bytes_per_client", m_plan.unreadBytesPerClient(static_cast<std::size_t>(m_settings.memoryMb)) }, { "peers", m_plan.peers }, { "loans", m_plan.loans }, { "probes", m_plan.probes } });
        EventLog::info("start", { { "version", KUMQUATBANK_VERSION }, { "data_centre", m_settings.dataCentre }, { "clients", m_settings.clientAddress.toString() }, { "ready", m_settings.readyAddress.toString() }, { "peers", m_settings.peerAddress.toString() }, { "metrics", m_settings.metricsAddress.toString() }, { "store", m_settings.storeAddress.toString() }, { "promotions", m_settings.promotionAddress.toString() }, { "grace_s", m_settings.grace.count() } });
        const auto unreadBytes = m_plan.unreadBytesPerClient(static_cast<std::size_t>(m_settings.memoryMb));
        m_clients.emplace(
            m_io, m_settings.clientAddress, [this](asio::ip::tcp::socket socket) { accept(std::move(socket)); }, unreadBytes);
        m_ready.emplace(
            m_io, m_settings.readyAddress, [this](HttpRequest request) { return answerReady(std::move(request)); }, httpLimits(m_plan.probes));
        m_peerListener.emplace(
            m_io, m_settings.peerAddress, [this](HttpRequest request) { return m_peers.answer(std::move(request)); }, httpLimits(m_plan.peers));
        m_metricsListener.emplace(
            m_io, m_settings.metricsAddress, [this](HttpRequest request) { return answerMetrics(std::move(request)); }, httpLimits(m_plan.probes));
        if (m_settings.loanAddress) {
            m_registry.setBorrower(m_borrower);
            m_loanListener.emplace(m_io, *m_settings.loanAddress, [this](asio::ip::tcp::socket socket) { acceptBorrower(std::move(socket)); });
        }
        m_registry.setLimits(m_limits);
        m_limits.start();
        m_sync.start();
        m_hosts.start();
        m_peers.start();
        m_promotions.start();
        keepRunning(m_io, "maintenance", [this] { return runMaintenance(); });
        keepRunning(m_io, "watch_settings", [this] { return watchSettings(); });
    }

    void run()
    {
        start();
        keepRunning(m_io, "signals", [this] { return handleSignals(); });
        m_io.run();
        EventLog::info("stop", { { "sessions", m_gate.open } });
        EventLog::flushAll(logFlushTimeoutMs);
    }

    /// Reports not ready at once. Sessions end after an answer, idle ones after a third of the grace period. What is still
    /// run, and when a session ends, is decided by StopSchedule; every request that was read gets a complete answer.
    Task<void> drain()
    {
        const auto since = BootClock::now();
        EventLog::info("drain", { { "sessions", m_gate.open }, { "grace_s", m_settings.grace.count() } });
        const auto& stop = m_gate.stop.emplace(since, m_settings.grace);
        m_lender.stopLending(stop);
        m_registry.endConfigWait();
        for (const auto& [name, service] : m_registry.services())
            service->stopHolding();
        while (BootClock::now() < stop.answersEnd()) {
            for (const auto& session : m_sessions.all())
                session->advanceStop();
            m_lender.closeUnusableLoans();
            if (BootClock::now() >= stop.idleSessionsEnd() && m_gate.open == 0 && m_lender.openLoans() == 0)
                break;
            co_await sleepFor(m_io, stopCheckInterval);
        }
        m_clients->close();
        const auto countUnfinished = [this] { return std::ranges::count_if(m_sessions.all(), &ClientSession::hasUnfinishedRequest); };
        // Sessions whose close was announced last still have a part of the notice time.
        while (BootClock::now() < stop.finalAnswers() && m_gate.open > 0) {
            for (const auto& session : m_sessions.all())
                session->advanceStop();
            co_await sleepFor(m_io, stopCheckInterval);
        }
        const auto unfinished = countUnfinished();
        for (const auto& session : m_sessions.all())
            asio::co_spawn(m_io, session->answerUnfinished(), LogFailure("unfinished_answer"));
        // Lets the answers of this and the last iterations of the event loop be sent.
        if (m_gate.open > 0)
            co_await sleepFor(m_io, stopCheckInterval);
        for (const auto& session : m_sessions.all())
            session->close();
        EventLog::info("drained", { { "sessions", m_gate.open }, { "unfinished", unfinished }, { "loans", m_lender.openLoans() }, { "took_ms", toMs(BootClock::now() - since) } });
    }

private:
    HttpLimits httpLimits(std::size_t connections)
    {
        return { connections, maxRequestBytes, [this](std::string_view reason) { m_metrics.clientRefused(reason); } };
    }

    /// Transactions that are running a statement meanwhile are ended by their next one.
    void endWithdrawnTransactions(BootTime now)
    {
        if (!m_registry.config() || now - m_registry.configActiveSince() > withdrawalCheckPeriod)
            return;
        for (const auto& session : m_sessions.all())
            session->abortIfWithdrawn();
    }

    void accept(asio::ip::tcp::socket socket)
    {
        if (!m_sessions.makeRoom(m_plan.clients)) {
            m_metrics.clientRefused("descriptors");
            LineChannel channel(std::move(socket), WireDialect::maxMessageBytes);
            channel.tryWrite(WireDialect::error(ErrorCode::Busy, "the host has too many connections; retry after 500 ms"));
            return;
        }
        LineChannel::enableDeadPeerDetection(socket, clientSilenceLimit);
        auto session = std::make_shared<ClientSession>(m_io, std::move(socket), m_registry, m_metrics, m_gate);
        m_sessions.add(session);
        asio::co_spawn(m_io, session->run(), LogFailure("session"));
    }

    void acceptBorrower(asio::ip::tcp::socket socket)
    {
        LineChannel::enableDeadPeerDetection(socket, borrowerSilenceLimit);
        asio::co_spawn(m_io, m_lender.serve(LineChannel(std::move(socket), WireDialect::maxMessageBytes)), LogFailure("lender"));
    }

    bool isReady() const { return !m_gate.isStopping() && m_registry.config() && m_registry.hasEndpoints(); }

    Task<HttpResponse> answerReady(HttpRequest request) const
    {
        if (request.target != "/ready")
            co_return HttpResponse { 404, R"({"error":"unknown path"})" };
        co_return isReady() ? HttpResponse { 200, R"({"ready":true})" } : HttpResponse { 503, R"({"ready":false})" };
    }

    Task<HttpResponse> answerMetrics(HttpRequest request)
    {
        if (request.target == "/metrics")
            co_return HttpResponse { 200, m_metrics.serialize(), "text/plain; version=0.0.4" };
        if (request.target == "/state") {
            auto state = m_peers.describeState();
            state["limits"] = m_limits.describe();
            co_return HttpResponse { 200, state.dump() };
        }
        if (const auto query = RouteQuery::parse(request.target))
            co_return HttpResponse { 200, m_routes.explain(*query).dump() };
        co_return HttpResponse { 404, R"({"error":"unknown path"})" };
    }

    Task<void> runMaintenance()
    {
        auto last = BootClock::now();
        while (true) {
            co_await sleepFor(m_io, maintenanceInterval);
            const auto now = BootClock::now();
            m_sync.recordTick(now);
            if (now - last > maintenanceInterval + pauseThreshold) {
                EventLog::warn("process_paused", { { "for_ms", toMs(now - last) } });
                m_promotions.recordProcessPause();
            }
            last = now;
            const auto era = std::max(m_store->era(), m_sync.endpointRevision().era);
            m_metrics.setStoreEra(era);
            m_hosts.recordEra(era);
            m_limits.refresh();
            for (const auto& [name, service] : m_registry.services()) {
                asio::co_spawn(m_io, service->runMaintenance(), LogFailure("service_maintenance"));
                if (const auto primary = service->primary())
                    m_metrics.setPrimarySilence(name, std::chrono::duration<double>(now - primary->lastAnswer).count());
                m_metrics.setWaiting(name, static_cast<double>(service->scheduler().waiting()));
                m_metrics.setIdleConnections(name, service->idleConnections());
                m_metrics.setAccountsOverShare(name, static_cast<double>(service->scheduler().accountsOverShare()));
            }
            endWithdrawnTransactions(now);
            m_metrics.logRefusals();
            EventLog::flush();
        }
    }

    Task<void> watchSettings()
    {
        auto loaded = m_settingsFile.loadIfChanged();
        // The settings that the process started with were read before it handled SIGHUP.
        if (loaded && *loaded && **loaded == m_settings)
            loaded.reset();
        while (true) {
            if (loaded)
                applySettings("file changed", *loaded);
            co_await sleepFor(m_io, settingsCheckInterval);
            loaded = m_settingsFile.loadIfChanged();
        }
    }

    void applySettings(std::string_view trigger, const Result<PoolerSettings>& settings)
    {
        if (!settings) {
            EventLog::error("reload_failed", { { "trigger", trigger }, { "error", settings.error().message } });
            return;
        }
        EventLog::info("reload", { { "trigger", trigger }, { "changed", *settings != m_settings } });
        if (settings->storeAddress != m_settings.storeAddress) {
            m_store = std::make_shared<ObjectStore>(m_io, settings->storeAddress);
            m_sync.setStore(m_store);
            m_hosts.setStore(m_store);
            m_promotions.setStore(m_store);
        }
        if (settings->promotionAddress != m_settings.promotionAddress)
            m_promotions.setPromotionAddress(settings->promotionAddress);
        EventLog::setRateLimits(settings->logLinesPerSecond, settings->failureLinesPerSecond);
        m_registry.setEndpointTimes(settings->databaseDrainTime, settings->memberRetention);
        MemoryBudget::ofProcess().setProcessMemory(static_cast<std::size_t>(settings->memoryMb));
        // Addresses of this process's own listeners, and descriptors, take effect at the next start.
        m_settings = *settings;
    }

    Task<void> handleSignals()
    {
        while (true) {
            const auto [ec, signal] = co_await m_signals.async_wait(asTuple);
            if (ec)
                co_return;
            if (signal == SIGHUP) {
                applySettings("SIGHUP", m_settingsFile.load());
                continue;
            }
            co_await drain();
            m_io.stop();
            co_return;
        }
    }

    static constexpr milliseconds clientSilenceLimit { 10'000 };
    /// Short, because a failed borrower must not hold a connection that others wait for.
    static constexpr milliseconds borrowerSilenceLimit { 3000 };

    asio::io_context& m_io;
    PoolerSettings m_settings;
    SettingsFile m_settingsFile;
    PoolerMetrics m_metrics;
    SessionTracker m_gate;
    DescriptorPlan m_plan;
    ServiceRegistry m_registry;
    std::shared_ptr<ObjectStore> m_store;
    StoreSync m_sync;
    HostDirectory m_hosts;
    PeerService m_peers;
    RouteExplainer m_routes { m_registry, m_hosts };
    ConnectionBorrower m_borrower;
    LimitService m_limits;
    ConnectionLender m_lender;
    PromotionController m_promotions;
    asio::signal_set m_signals;
    std::optional<TcpListener> m_clients;
    std::optional<TcpListener> m_loanListener;
    std::optional<HttpListener> m_ready;
    std::optional<HttpListener> m_peerListener;
    std::optional<HttpListener> m_metricsListener;
    SessionList m_sessions;
};

PoolerProcess::PoolerProcess(asio::io_context& io, PoolerSettings settings, std::string settingsFile)
    : m_impl(std::make_unique<Impl>(io, std::move(settings), std::move(settingsFile)))
{
}

PoolerProcess::~PoolerProcess() = default;

void PoolerProcess::start() { m_impl->start(); }

void PoolerProcess::run() { m_impl->run(); }

Task<void> PoolerProcess::drain() { return m_impl->drain(); }

} // namespace kumquatbank
