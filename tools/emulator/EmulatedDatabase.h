#pragma once

#include "EmulatedService.h"
#include "kumquatbank/adapter/WireDialect.h"
#include "kumquatbank/engine/AutoResetEvent.h"
#include "kumquatbank/engine/LineChannel.h"
#include "kumquatbank/engine/TcpListener.h"
#include "kumquatbank/routing/EndpointEntry.h"

#include <deque>
#include <memory>
#include <set>

namespace kumquatbank {

/// What happens to the next commands of one kind, in the middle of a session.
struct CommandDisturbance {
    enum class Kind {
        Refuse, ///< Answered with `code`, without being run.
        CutBefore, ///< Run, and the connection ends before the answer.
        CutInside, ///< Run, and the connection ends in the middle of the answer.
        CutAfter, ///< Answered, and the connection ends.
        AnswerTwice, ///< Answered, and the same answer once more.
        WrongState, ///< Answered with another transaction state than the session has.
    };

    Kind kind = Kind::Refuse;
    int count = 1; ///< Commands that are still to be disturbed.
    std::string code = "READONLY";
};

/// How a database behaves; may change at any time.
struct DatabaseBehaviour {
    std::chrono::milliseconds work { 1 }; ///< Time that a read, write or commit holds a slot.
    std::chrono::milliseconds connect { 1 }; ///< Time that a new connection holds a slot.
    int maxConnections = 20;
    int queue = 24; ///< Statements that wait for a slot; more are refused.
    bool isSilent = false; ///< Accepts connections and answers nothing.
    std::set<std::string> unheardHosts {}; ///< What they send gets no answer, as over a link that is cut.
    bool refusesPause = false; ///< Does not know how to stop receiving.
    std::map<std::string, CommandDisturbance> disturbances {}; ///< By the first word of the command, such as PREPARE.
    bool forgetsUncommitted = false; ///< A rollback takes back values and prepared statements of its transaction.
    int answersToLose = 0; ///< So many answers to reads, writes and commits are lost after they ran.
};

/// A statement as a database ran it.
struct RanStatement {
    std::string id;
    std::string text;
    std::string database;
    std::uint64_t connection = 0;
    std::uint64_t transaction = 0; ///< 0 outside a transaction.
    std::map<std::string, std::string> values; ///< Of the session, at that moment.
    BootTime at {}; ///< When it was received.
    std::string account; ///< As the START of the connection named its client: an account or a host.
};

/// One database server: the wire protocol, slots, session values, prepared statements and transactions.
class EmulatedDatabase {
public:
    EmulatedDatabase(asio::io_context& io, EndpointEntry entry, std::shared_ptr<EmulatedService> service);
    ~EmulatedDatabase();

    EmulatedDatabase(const EmulatedDatabase&) = delete;
    EmulatedDatabase& operator=(const EmulatedDatabase&) = delete;

    const EndpointEntry& entry() const { return m_entry; }
    DatabaseBehaviour& behaviour() { return m_behaviour; }
    const std::vector<RanStatement>& ran() const { return m_ran; }
    /// Commands received so far, by their first word.
    const std::map<std::string, std::uint64_t>& commands() const { return m_commands; }
    /// Commands that were received so far without another one behind them, as the last ones of what was sent together.
    std::uint64_t roundTrips() const { return m_roundTrips; }
    int connections() const { return m_connections; }
    int mostConnections() const { return m_mostConnections; }
    /// Connections that were opened so far, also those that were refused.
    std::uint64_t openedConnections() const { return m_nextConnection; }
    /// Closes every connection and refuses new ones.
    void crash();
    /// Listens again after a crash, as a replica with the log it had.
    void restart();
    bool isRunning() const { return m_listener != nullptr; }

private:
    struct Session;
    class SlotHolder;

    void listen();
    Task<void> serve(asio::ip::tcp::socket socket);
    Task<void> answer(Session& session, std::string line);
    Task<std::string> run(Session& session, const std::string& id, std::string text);
    std::string runOwnCommand(Session& session, std::string_view word, std::string_view rest);
    /// Commits and waits until enough replicas have received it; false if it was rolled back or the database crashed meanwhile.
    Task<bool> commit(std::map<std::string, std::string> changes, std::string id);
    Task<bool> takeSlot();
    void freeSlot();
    std::string position();
    std::string ready(const Session& session, bool isWrong = false);
    /// Takes the disturbance of a command that begins with this word, if one is due.
    std::optional<CommandDisturbance> takeDisturbance(const std::string& word);
    /// Ends the transaction of a session without a commit.
    void rollBack(Session& session);
    std::string refuse(Session& session, std::string_view code);
    bool hasLostLead(const Session& session) const;
    std::string statusRow();
    void record(const Session& session, const std::string& id, const std::string& text, BootTime receivedAt);

    asio::io_context& m_io;
    EndpointEntry m_entry;
    std::shared_ptr<EmulatedService> m_service;
    DatabaseBehaviour m_behaviour;
    std::unique_ptr<TcpListener> m_listener;
    std::set<std::shared_ptr<Session>> m_sessions;
    std::vector<RanStatement> m_ran;
    std::map<std::string, std::uint64_t> m_commands;
    std::uint64_t m_roundTrips = 0;
    std::deque<std::shared_ptr<AutoResetEvent>> m_slotWaiters;
    int m_busySlots = 0;
    int m_connections = 0;
    int m_mostConnections = 0;
    std::uint64_t m_nextConnection = 0;
    std::uint64_t m_nextTransaction = 0;
};

} // namespace kumquatbank
