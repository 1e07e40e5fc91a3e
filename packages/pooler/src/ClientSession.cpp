#include "ClientSession.h"

#include "kumquatbank/engine/EventLog.h"

#include <fmt/format.h>

namespace kumquatbank {

using std::chrono::milliseconds;

namespace {

    /// Time limit for a client's first line.
    constexpr milliseconds startTimeout { 5000 };
    /// Time for the configuration to arrive. Clients wait two seconds for their first answer.
    constexpr milliseconds configWait { 1500 };
    /// A client that reads no data for this long is disconnected.
    constexpr milliseconds writeTimeout { 10'000 };
    /// An end of the client's input that follows a queued request within this time belongs to a client that sends no further
    /// request and reads the answer. A client that gives up does so later.
    constexpr milliseconds halfCloseGrace { 50 };
    /// A closing session waits this long for its client to read all data.
    constexpr milliseconds closeTimeout { 500 };

    /// Counted for each session: the object, its coroutines, its input buffer, small values and small messages. About what a
    /// session adds to the process's resident memory.
    constexpr std::size_t sessionBytes = 8 << 10;

    /// Sent while no request is outstanding; on it, a client closes its session and goes to another host. A request that it
    /// sends before it has read this gets it as the first part of its answer.
    std::string formatCloseNotice() { return StatementRunner::refuseAsStopping().body; }

} // namespace

ClientSession::ClientSession(asio::io_context& io, asio::ip::tcp::socket socket, ServiceRegistry& registry, PoolerMetrics& metrics, SessionTracker& tracker)
    : m_channel(std::move(socket), WireDialect::maxMessageBytes)
    , m_watch(m_channel, halfCloseGrace)
    , m_io(io)
    , m_registry(registry)
    , m_metrics(metrics)
    , m_tracker(tracker)
    , m_runner(io, registry, metrics, tracker)
    , m_number(++tracker.opened)
    , m_openedAt(BootClock::now())
{
    m_channel.setMemoryHolder(*this);
    m_runner.setMemoryHolder(*this);
    ++m_tracker.open;
    m_runner.setClientWatch(m_watch);
    m_metrics.sessionOpened();
}

ClientSession::~ClientSession()
{
    MemoryBudget::ofProcess().setAccount(*this, {});
    --m_tracker.open;
    m_metrics.sessionClosed();
}

SessionStep ClientSession::nextStep() const
{
    if (!m_tracker.stop)
        return SessionStep::Keep;
    return m_tracker.stop->nextStep({ m_runner.isInTransaction(), m_channel.hasInput(), m_hasRefused, m_waitsSince, m_closeAnnouncedAt, m_hasRefusedAfterAnnouncement }, BootClock::now());
}

void ClientSession::advanceStop()
{
    if (!m_isIdle)
        return;
    if (!m_channel.hasInput() && m_runner.abortIfStopping())
        EventLog::info("transaction_ended_by_stop", { { "session", m_number }, { "database", m_database } });
    switch (nextStep()) {
    case SessionStep::Keep:
        break;
    case SessionStep::AnnounceClose:
        if (m_channel.tryWrite(formatCloseNotice()))
            m_closeAnnouncedAt = BootClock::now();
        break;
    case SessionStep::Close:
        m_channel.close();
        break;
    }
}

void ClientSession::abortIfWithdrawn()
{
    if (m_isIdle && !m_channel.hasInput() && m_runner.abortIfWithdrawn())
        EventLog::info("transaction_withdrawn", { { "session", m_number }, { "database", m_database } });
}

Task<void> ClientSession::answerUnfinished()
{
    const auto keepAlive = shared_from_this();
    if (m_request == nullptr || m_isSending)
        co_return;
    m_isSending = true;
    const auto reason = m_tracker.isStopping() ? std::string_view("the host is stopping") : std::string_view("the host could not complete a request of the session");
    const auto answer = m_runner.describeUnfinished(*m_request, reason);
    EventLog::warn("statement_unfinished", { { "request", m_request->id }, { "session", m_number }, { "database", m_database }, { "outcome", errorCodeName(*answer.code) } });
    auto text = answer.body + WireDialect::ready(answer.state);
    auto state = answer.state;
    std::string_view line;
    while (m_channel.tryReadLine(line)) {
        const auto behind = WireDialect::parseClientLine(line);
        if (!behind || behind->kind != ClientMessage::Kind::Query)
            break;
        const auto refusal = StatementRunner::refuseBehindUnfinished(*behind, state, reason);
        EventLog::warn("statement_unfinished", { { "request", behind->id }, { "session", m_number }, { "database", m_database }, { "outcome", refusal.code ? errorCodeName(*refusal.code) : "ok" } });
        text += refusal.body + WireDialect::ready(refusal.state);
        state = refusal.state;
    }
    co_await send(text);
}

Task<bool> ClientSession::send(const std::string& text)
{
    co_return co_await m_channel.write(text, BootClock::now() + writeTimeout) == ChannelStatus::Ok;
}

Task<void> ClientSession::closeGracefully()
{
    m_channel.shutdownSend();
    std::string_view line;
    // Closing a socket with unread input resets the connection, and the client could lose the last answer. A client that
    // sends a request nevertheless is told by the reset.
    if (co_await m_channel.readLine(line, BootClock::now() + closeTimeout) == ChannelStatus::Ok) {
        const auto message = WireDialect::parseClientLine(line);
        EventLog::warn("request_dropped", { { "request", message ? message->id : std::string() }, { "session", m_number }, { "database", m_database }, { "reason", "the session has ended" } });
    }
    m_channel.close();
}

Task<bool> ClientSession::readMessage(std::string_view& line)
{
    while (true) {
        const auto idleLimit = m_runner.isInTransaction() && m_runner.transactionState() == TransactionState::Open ? m_runner.idleLimit() : std::nullopt;
        m_isIdle = true;
        m_waitsSince = BootClock::now();
        const auto status = co_await m_channel.readLine(line, idleLimit ? BootClock::now() + *idleLimit : BootTime::max());
        m_isIdle = false;
        if (status == ChannelStatus::Ok) {
            if (heldMemory() > 0)
                MemoryBudget::ofProcess().recordMovement(*this, BootClock::now());
            co_return true;
        }
        if (status == ChannelStatus::Incomplete) {
            m_metrics.clientRefused("incomplete");
            co_await send(WireDialect::error(ErrorCode::Timeout, "the message was not completed in time"));
        }
        if (status == ChannelStatus::TimedOut) {
            EventLog::warn("transaction_idle", { { "session", m_number }, { "database", m_database }, { "limit_ms", idleLimit->count() } });
            m_runner.abortTransaction("the transaction exceeded the idle limit");
            continue;
        }
        if (status == ChannelStatus::TooLong) {
            m_metrics.clientRefused("too_long");
            co_await send(WireDialect::error(ErrorCode::TooLarge, "the line exceeds 1 MiB"));
        }
        co_return false;
    }
}

Task<bool> ClientSession::startSession()
{
    if (!m_ownHold.resize(MemoryUse::State, sessionBytes)) {
        closeForMemory();
        co_return false;
    }
    std::string_view line;
    const auto status = co_await m_channel.readLine(line, BootClock::now() + startTimeout);
    if (status != ChannelStatus::Ok) {
        if (status == ChannelStatus::TimedOut) {
            m_metrics.clientRefused("silent");
            co_await send(WireDialect::error(ErrorCode::Timeout, "no START in time"));
        }
        if (status == ChannelStatus::TooLong) {
            m_metrics.clientRefused("too_long");
            co_await send(WireDialect::error(ErrorCode::TooLarge, "the line exceeds 1 MiB"));
        }
        co_return false;
    }
    const auto message = WireDialect::parseClientLine(line);
    if (!message || message->kind != ClientMessage::Kind::Start) {
        co_await send(WireDialect::error(ErrorCode::Malformed, "the first line of a session must be START"));
        co_return false;
    }
    m_database = message->database;
    if (m_tracker.stop && !m_tracker.stop->admitsSession(BootClock::now())) {
        EventLog::warn("session_refused", { { "session", m_number }, { "database", m_database }, { "reason", "the host is stopping" } });
        const auto refused = formatCloseNotice();
        co_await send(refused);
        co_return false;
    }
    if (!co_await m_registry.waitForConfig(BootClock::now() + configWait)) {
        EventLog::warn("session_refused", { { "session", m_number }, { "database", m_database }, { "reason", "no configuration received yet" } });
        co_await send(WireDialect::error(ErrorCode::Busy, "no configuration received yet; retry after 500 ms"));
        co_return false;
    }
    if (m_registry.config()->findRoute(m_database) == nullptr) {
        EventLog::warn("session_refused", { { "session", m_number }, { "database", m_database }, { "reason", "no route for this database" }, { "config_version", m_registry.config()->version } });
        co_await send(WireDialect::error(ErrorCode::UnknownDatabase, "no route for this database"));
        co_return false;
    }
    if (!message->key.empty())
        m_key = KeyDigest::of(message->key);
    m_runner.setKey(m_key);
    const auto config = m_registry.config();
    if (!config->identify(*config->findRoute(m_database), m_key).isAllowed) {
        EventLog::warn("session_refused", { { "session", m_number }, { "database", m_database }, { "reason", m_key ? "unknown key" : "no key" }, { "config_version", config->version } });
        m_metrics.accessRefused(m_key ? AccessRefusal::UnknownKey : AccessRefusal::NoKey);
        co_await send(WireDialect::error(ErrorCode::Unauthorized, "the key is not known"));
        co_return false;
    }
    if (const auto identity = config->identify(*config->findRoute(m_database), m_key); identity.account != nullptr)
        MemoryBudget::ofProcess().setAccount(*this, identity.account->name);
    m_isStarted = true;
    co_return co_await send(WireDialect::ready(TransactionState::None));
}

Task<void> ClientSession::run()
{
    const auto keepAlive = shared_from_this();
    if (co_await startSession()) {
        std::string_view line;
        while (co_await readMessage(line)) {
            MemoryHold work(this);
            const auto bytes = workBytes(line.size());
            if (bytes > 0) {
                const bool hasRoom = co_await reserveWork(work, bytes);
                if (!hasRoom) {
                    const bool isRefused = co_await refuseLongMessage(line);
                    if (!isRefused)
                        break;
                    continue;
                }
            }
            const auto message = WireDialect::parseClientLine(line);
            if (message && message->kind == ClientMessage::Kind::Bye)
                break;
            if (!message || message->kind == ClientMessage::Kind::Start) {
                StatementAnswer answer;
                answer.setError(ErrorCode::Malformed, "the line is not a valid message");
                answer.state = m_runner.transactionState();
                const auto text = formatAnswer(answer);
                const bool isSent = co_await send(text);
                if (!isSent)
                    break;
                continue;
            }
            const bool isAnswered = co_await answerQuery(*message);
            if (!isAnswered)
                break;
        }
    }
    if (m_channel.isOpen())
        co_await closeGracefully();
}

Task<bool> ClientSession::answerQuery(const ClientMessage& message)
{
    const auto since = BootClock::now();
    StatementAnswer answer;
    std::string failure;
    m_request = &message;
    if (m_closeAnnouncedAt) {
        answer = StatementRunner::refuseAsStopping();
    } else if (message.statement) {
        try {
            answer = co_await m_runner.run(m_database, message.id, *message.statement);
        } catch (const std::exception& e) {
            failure = fmt::format("exception: {}", e.what());
        }
    } else {
        answer.code = ErrorCode::Malformed;
        answer.reason = "the text is not a valid statement";
        answer.body = WireDialect::error(ErrorCode::Malformed, "the text is not a valid statement");
        answer.state = m_runner.transactionState();
    }
    if (!failure.empty()) {
        // The state of the session is unknown now, so it ends with this answer.
        EventLog::error("statement_failed", { { "request", message.id }, { "session", m_number }, { "database", m_database }, { "error", failure } });
        co_await answerUnfinished();
        m_request = nullptr;
        co_return false;
    }
    logAnswer(message, answer, since);
    if (m_watch.hasDisconnected()) {
        m_runner.abortTransaction(disconnectedReason);
        answer.endsSession = true;
    }
    if (std::exchange(m_isSending, true))
        co_return false; // The process ends, and the request has been answered.
    const auto text = formatAnswer(answer);
    const bool isSent = co_await send(text);
    m_isSending = false;
    m_request = nullptr;
    co_return isSent && !answer.endsSession;
}

std::string ClientSession::formatAnswer(StatementAnswer& answer)
{
    m_hasRefused = m_hasRefused || (m_tracker.isStopping() && answer.code == ErrorCode::Busy);
    const bool wasSentAhead = m_closeAnnouncedAt && !std::exchange(m_hasRefusedAfterAnnouncement, true);
    return (wasSentAhead ? std::string() : std::move(answer.body)) + WireDialect::ready(answer.state);
}

void ClientSession::logAnswer(const ClientMessage& message, const StatementAnswer& answer, BootTime since) const
{
    const auto total = BootClock::now() - since;
    const auto outcome = answer.code ? errorCodeName(*answer.code) : std::string_view("ok");
    const bool isLocal = !answer.code && answer.attempts == 0 && answer.endpoint.empty();
    if (isLocal)
        return;
    m_metrics.statementAnswered(m_database, outcome, total, answer.queued);
    m_metrics.accountAnswered(answer.account, !answer.code);
    const auto config = m_registry.config();
    const auto* route = config ? config->findRoute(m_database) : nullptr;
    const auto floor = answer.floor ? fmt::format("{}.{}", answer.floor->term, answer.floor->position) : std::string();
    const auto service = route != nullptr ? m_registry.find(route->service) : nullptr;
    const auto kind = message.statement ? statementKindName(message.statement->kind) : std::string_view("malformed");
    const EventLog::Fields fields {
        { "request", message.id },
        { "session", m_number },
        { "database", m_database },
        { "route", route != nullptr ? std::string_view(route->name) : std::string_view() },
        { "service", route != nullptr ? std::string_view(route->service) : std::string_view() },
        { "statement", kind },
        { "outcome", outcome },
        { "account", answer.account },
        { "reason", answer.reason },
        { "endpoint", answer.endpoint },
        { "lender", answer.lender },
        { "floor", floor },
        { "attempts", answer.attempts },
        { "queued_ms", toMs(answer.queued) },
        { "total_ms", toMs(total) },
        { "config_version", config ? config->version : 0 },
        { "primary", service ? std::string_view(service->lastPrimary()) : std::string_view() },
        { "waiting", service ? service->scheduler().waiting() : 0 },
    };
    if (answer.code)
        EventLog::warn("statement", fields);
    else
        EventLog::served("statement", fields);
}

} // namespace kumquatbank
