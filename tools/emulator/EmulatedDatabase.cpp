#include "EmulatedDatabase.h"

#include <fmt/format.h>

namespace kumquatbank {

namespace {

    constexpr std::chrono::seconds slotWait { 5 };
    constexpr std::chrono::milliseconds confirmationCheckInterval { 1 };

    std::string_view takeWord(std::string_view& rest)
    {
        rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
        const auto word = rest.substr(0, rest.find(' '));
        rest.remove_prefix(word.size());
        return word;
    }

    /// Returns the first word of a command, behind the position that it may require.
    std::string commandWord(std::string_view text)
    {
        auto word = takeWord(text);
        if (word == "AFTER") {
            takeWord(text);
            word = takeWord(text);
        }
        return std::string(word);
    }

    LogPosition parsePosition(std::string_view text)
    {
        const auto dot = text.find('.');
        return { std::stoull(std::string(text.substr(0, dot))), std::stoull(std::string(text.substr(dot + 1))) };
    }

} // namespace

struct EmulatedDatabase::Session {
    Session(LineChannel opened, std::uint64_t connectionNumber)
        : channel(std::move(opened))
        , number(connectionNumber)
    {
    }

    LineChannel channel;
    std::uint64_t number;
    std::string host; ///< As the caller names itself.
    bool isStarted = false;
    std::map<std::string, std::string> values;
    std::map<std::string, Statement> prepared;
    TransactionState state = TransactionState::None;
    std::uint64_t transaction = 0;
    bool isReadOnly = false;
    Term term = 0;
    std::map<std::string, std::string> changes;
    // Before the transaction.
    std::map<std::string, std::string> earlierValues;
    std::map<std::string, Statement> earlierPrepared;
};

/// Frees a slot that was taken. A commit keeps its slot until it is confirmed.
class EmulatedDatabase::SlotHolder {
public:
    explicit SlotHolder(EmulatedDatabase& database)
        : m_database(database)
    {
    }
    ~SlotHolder() { m_database.freeSlot(); }
    SlotHolder(const SlotHolder&) = delete;
    SlotHolder& operator=(const SlotHolder&) = delete;

private:
    EmulatedDatabase& m_database;
};

EmulatedDatabase::EmulatedDatabase(asio::io_context& io, EndpointEntry entry, std::shared_ptr<EmulatedService> service)
    : m_io(io)
    , m_entry(std::move(entry))
    , m_service(std::move(service))
{
    m_service->addMember(m_entry.id);
    listen();
}

EmulatedDatabase::~EmulatedDatabase() = default;

void EmulatedDatabase::listen()
{
    m_listener = std::make_unique<TcpListener>(m_io, m_entry.address, [this](asio::ip::tcp::socket socket) {
        asio::co_spawn(m_io, serve(std::move(socket)), asio::detached);
    });
}

void EmulatedDatabase::restart()
{
    listen();
    m_service->log(m_entry.id).isDeaf = false;
    m_service->log(m_entry.id).isPaused = false;
    m_service->catchUp(m_entry.id);
    m_service->regainLead(m_entry.id);
}

void EmulatedDatabase::crash()
{
    m_listener->close();
    m_listener.reset();
    for (const auto& session : m_sessions)
        session->channel.close();
    if (m_service->isPrimary(m_entry.id))
        m_service->loseLead();
    m_service->log(m_entry.id).isDeaf = true;
}

Task<bool> EmulatedDatabase::takeSlot()
{
    if (m_busySlots >= m_entry.slots) {
        if (static_cast<int>(m_slotWaiters.size()) >= m_behaviour.queue)
            co_return false;
        const auto waiter = std::make_shared<AutoResetEvent>(m_io);
        m_slotWaiters.push_back(waiter);
        if (!co_await waiter->wait(BootClock::now() + slotWait)) {
            std::erase(m_slotWaiters, waiter);
            co_return false;
        }
    }
    ++m_busySlots;
    co_return true;
}

void EmulatedDatabase::freeSlot()
{
    --m_busySlots;
    if (m_slotWaiters.empty())
        return;
    const auto next = m_slotWaiters.front();
    m_slotWaiters.pop_front();
    next->wake();
}

std::string EmulatedDatabase::position()
{
    auto& log = m_service->log(m_entry.id);
    log.apply(BootClock::now());
    const auto applied = log.appliedPosition(m_service->term());
    return fmt::format("{}.{}", applied.term, applied.position);
}

std::string EmulatedDatabase::ready(const Session& session, bool isWrong)
{
    const auto state = session.state == TransactionState::None ? 'I' : session.state == TransactionState::Open ? 'T'
                                                                                                               : 'E';
    const auto wrongState = session.state == TransactionState::None ? 'T' : 'I';
    return fmt::format("READY {} {}\r\n", isWrong ? wrongState : state, position());
}

std::optional<CommandDisturbance> EmulatedDatabase::takeDisturbance(const std::string& word)
{
    const auto it = m_behaviour.disturbances.find(word);
    if (it == m_behaviour.disturbances.end() || it->second.count == 0)
        return std::nullopt;
    --it->second.count;
    return it->second;
}

void EmulatedDatabase::rollBack(Session& session)
{
    if (m_behaviour.forgetsUncommitted && session.state != TransactionState::None) {
        session.values = session.earlierValues;
        session.prepared = session.earlierPrepared;
    }
    session.state = TransactionState::None;
    session.changes.clear();
}

std::string EmulatedDatabase::refuse(Session& session, std::string_view code)
{
    if (session.state == TransactionState::Open)
        session.state = TransactionState::Failed;
    return fmt::format("ERR {} {}\r\n", code, m_entry.id);
}

bool EmulatedDatabase::hasLostLead(const Session& session) const
{
    return !m_service->isPrimary(m_entry.id) || m_service->term() != session.term;
}

std::string EmulatedDatabase::statusRow()
{
    auto& log = m_service->log(m_entry.id);
    const auto received = log.receivedPosition(m_service->term());
    return fmt::format("ROW {} {} {}.{} {} {} {} {}\r\nDONE -\r\n", m_service->isPrimary(m_entry.id) ? "primary" : "replica", m_service->term(), received.term, received.position, m_service->term(), log.lag.count(), m_busySlots, m_connections);
}

void EmulatedDatabase::record(const Session& session, const std::string& id, const std::string& text, BootTime receivedAt)
{
    m_ran.push_back({ id, text, m_entry.id, session.number, session.state == TransactionState::None ? 0 : session.transaction, session.values, receivedAt, session.host });
}

std::string EmulatedDatabase::runOwnCommand(Session& session, std::string_view word, std::string_view rest)
{
    const bool takesSlot = word == "STATUS" || word == "DEMOTE" || word == "PAUSE" || word == "RESUME";
    if (takesSlot && m_busySlots >= m_entry.slots)
        return refuse(session, "BUSY");
    if (word == "STATUS")
        return statusRow();
    if (word == "RESET") {
        session.values.clear();
        session.prepared.clear();
        return "DONE -\r\n";
    }
    if (word == "DEMOTE") {
        const auto term = std::stoull(std::string(takeWord(rest)));
        if (m_service->isPrimary(m_entry.id) && m_service->term() < term)
            m_service->demote();
        return statusRow();
    }
    if ((word == "PAUSE" || word == "RESUME") && m_behaviour.refusesPause)
        return refuse(session, "READONLY");
    if (word == "PAUSE") {
        const auto term = std::stoull(std::string(takeWord(rest)));
        if (m_service->isPrimary(m_entry.id) || term <= m_service->term())
            return refuse(session, "MALFORMED");
        m_service->log(m_entry.id).isPaused = true;
        return statusRow();
    }
    if (word == "RESUME") {
        auto& log = m_service->log(m_entry.id);
        log.isPaused = false;
        if (!log.isDeaf)
            m_service->catchUp(m_entry.id);
        return statusRow();
    }
    return refuse(session, "MALFORMED");
}

Task<bool> EmulatedDatabase::commit(std::map<std::string, std::string> changes, std::string id)
{
    const auto at = m_service->commit(std::move(changes), id);
    while (!m_service->isConfirmed(at)) {
        if (m_service->isRolledBack(at, id) || !m_listener)
            co_return false;
        co_await sleepFor(m_io, confirmationCheckInterval);
        m_service->deliver();
    }
    if (m_service->isRolledBack(at, id))
        co_return false;
    m_service->acknowledge(id);
    co_return true;
}

Task<std::string> EmulatedDatabase::run(Session& session, const std::string& id, std::string text)
{
    auto rest = std::string_view(text);
    auto word = takeWord(rest);
    if (word == "AFTER") {
        const auto required = parsePosition(takeWord(rest));
        auto& log = m_service->log(m_entry.id);
        log.apply(BootClock::now());
        if (log.appliedPosition(m_service->term()) < required)
            co_return refuse(session, "LAGGING");
        rest.remove_prefix(1);
        text = std::string(rest);
        rest = text;
        word = takeWord(rest);
    }
    const auto message = WireDialect::parseClientLine(fmt::format("QUERY {} {}", id, text));
    if (!message || !message->statement)
        co_return runOwnCommand(session, word, rest);
    auto statement = *message->statement;
    const bool ends = statement.kind == StatementKind::Commit || statement.kind == StatementKind::Rollback;
    if (session.state == TransactionState::Failed && !ends)
        co_return refuse(session, "MALFORMED");
    if (session.state == TransactionState::Open && !session.isReadOnly && !ends && hasLostLead(session))
        co_return refuse(session, "READONLY");

    switch (statement.kind) {
    case StatementKind::SetValue:
        session.values[statement.name] = statement.argument;
        co_return "DONE -\r\n";
    case StatementKind::Prepare:
        session.prepared[statement.name] = statement;
        co_return "DONE -\r\n";
    case StatementKind::Deallocate:
        session.prepared.erase(statement.name);
        co_return "DONE -\r\n";
    case StatementKind::Begin:
    case StatementKind::BeginReadOnly:
        if (statement.kind == StatementKind::Begin && !m_service->isPrimary(m_entry.id))
            co_return refuse(session, "READONLY");
        session.isReadOnly = statement.kind == StatementKind::BeginReadOnly;
        session.state = TransactionState::Open;
        session.transaction = ++m_nextTransaction;
        session.term = m_service->term();
        session.changes.clear();
        session.earlierValues = session.values;
        session.earlierPrepared = session.prepared;
        co_return "DONE -\r\n";
    case StatementKind::Rollback:
        rollBack(session);
        co_return "DONE -\r\n";
    default:
        break;
    }

    std::string item(takeWord(rest));
    bool writes = statement.kind == StatementKind::Write;
    if (statement.kind == StatementKind::Execute) {
        const auto it = session.prepared.find(statement.name);
        if (it == session.prepared.end())
            co_return refuse(session, "NOSTMT");
        writes = it->second.preparesWrite;
        item = takeWord(rest);
    }
    const auto receivedAt = BootClock::now();
    if (!co_await takeSlot())
        co_return refuse(session, "BUSY");
    const SlotHolder slot(*this);
    co_await sleepFor(m_io, m_behaviour.work);
    const bool inPlainTransaction = session.state == TransactionState::Open && !session.isReadOnly;
    const bool commitsNothing = statement.kind == StatementKind::Commit && session.changes.empty();
    const bool needsLead = (writes && session.state == TransactionState::None) || inPlainTransaction;
    const bool hasLead = session.state == TransactionState::None ? m_service->isPrimary(m_entry.id) : !hasLostLead(session);
    if (needsLead && !hasLead && !commitsNothing) {
        if (statement.kind == StatementKind::Commit)
            rollBack(session);
        co_return refuse(session, "READONLY");
    }
    if (writes && session.state == TransactionState::Open && session.isReadOnly)
        co_return refuse(session, "READONLY");
    record(session, id, text, receivedAt);
    if (statement.kind == StatementKind::Commit) {
        if (session.state == TransactionState::Failed) {
            rollBack(session);
            co_return refuse(session, "ABORTED");
        }
        session.state = TransactionState::None;
        auto changes = std::exchange(session.changes, {});
        if (!changes.empty()) {
            const bool isKept = co_await commit(std::move(changes), id);
            if (!isKept)
                co_return std::string();
        }
    } else if (writes) {
        const std::string value(rest.substr(std::min<std::size_t>(rest.size(), 1)));
        if (session.state == TransactionState::Open) {
            session.changes[item] = value;
        } else {
            std::map<std::string, std::string> changes;
            changes[item] = value;
            const bool isKept = co_await commit(std::move(changes), id);
            if (!isKept)
                co_return std::string();
        }
    }
    auto& log = m_service->log(m_entry.id);
    log.apply(BootClock::now());
    std::string row;
    if (!writes && statement.kind != StatementKind::Commit) {
        const auto own = session.changes.find(item);
        const auto found = log.items.find(item);
        row = fmt::format("ROW {}\r\n", own != session.changes.end() ? own->second : found == log.items.end() ? ""
                                                                                                              : found->second);
    }
    co_return row + fmt::format("DONE {}.{}\r\n", m_entry.id, m_ran.size());
}

Task<void> EmulatedDatabase::answer(Session& session, std::string line)
{
    const auto until = BootClock::now() + slotWait;
    auto rest = std::string_view(line);
    const auto word = takeWord(rest);
    if (!session.isStarted) {
        const std::string service(takeWord(rest));
        const auto client = takeWord(rest);
        const auto id = takeWord(rest);
        std::string refusal;
        if (client.empty())
            refusal = "ERR NOAUTH\r\n";
        else if (word != "START" || service != m_service->name() || (!id.empty() && id != m_entry.id))
            refusal = "ERR MISROUTED\r\n";
        else if (m_connections > m_behaviour.maxConnections)
            refusal = "ERR TOOMANY\r\n";
        if (!refusal.empty()) {
            co_await session.channel.write(refusal, until);
            session.channel.close();
            co_return;
        }
        const bool hasSlot = co_await takeSlot();
        if (hasSlot) {
            co_await sleepFor(m_io, m_behaviour.connect);
            freeSlot();
        }
        session.isStarted = true;
        co_await session.channel.write(ready(session), until);
        co_return;
    }
    const std::string id(takeWord(rest));
    const std::string text(rest.substr(std::min<std::size_t>(rest.size(), 1)));
    const auto before = m_ran.size();
    const auto command = commandWord(text);
    ++m_commands[command];
    m_roundTrips += session.channel.hasBufferedInput() ? 0 : 1;
    const auto disturbance = takeDisturbance(command);
    const auto happens = [&](CommandDisturbance::Kind kind) { return disturbance && disturbance->kind == kind; };
    std::string result;
    if (happens(CommandDisturbance::Kind::Refuse))
        result = refuse(session, session.state == TransactionState::Failed ? "MALFORMED" : disturbance->code);
    else
        result = co_await run(session, id, text);
    if (result.empty() || happens(CommandDisturbance::Kind::CutBefore)) {
        session.channel.close();
        co_return;
    }
    if (m_ran.size() > before && m_behaviour.answersToLose > 0) {
        --m_behaviour.answersToLose;
        session.channel.close();
        co_return;
    }
    auto reply = result + ready(session, happens(CommandDisturbance::Kind::WrongState));
    if (happens(CommandDisturbance::Kind::CutInside))
        reply.resize(reply.size() / 2);
    if (happens(CommandDisturbance::Kind::AnswerTwice))
        reply += reply;
    co_await session.channel.write(reply, until);
    if (happens(CommandDisturbance::Kind::CutInside) || happens(CommandDisturbance::Kind::CutAfter))
        session.channel.close();
}

Task<void> EmulatedDatabase::serve(asio::ip::tcp::socket socket)
{
    ++m_connections;
    m_mostConnections = std::max(m_mostConnections, m_connections);
    // Answers to commands that were sent together are written one by one.
    boost::system::error_code ec; // Ignored: a socket without this option is still usable.
    socket.set_option(asio::ip::tcp::no_delay(true), ec);
    const auto session = std::make_shared<Session>(LineChannel(std::move(socket), WireDialect::maxMessageBytes), ++m_nextConnection);
    m_sessions.insert(session);
    std::string_view line;
    while (co_await session->channel.readLine(line, BootTime::max()) == ChannelStatus::Ok) {
        if (line.starts_with("START ")) {
            auto rest = line;
            for (int n = 0; n < 2; ++n)
                takeWord(rest);
            session->host = takeWord(rest);
        }
        if (m_behaviour.isSilent || m_behaviour.unheardHosts.contains(session->host))
            continue;
        std::string copy(line);
        co_await answer(*session, std::move(copy));
    }
    m_sessions.erase(session);
    --m_connections;
}

} // namespace kumquatbank
