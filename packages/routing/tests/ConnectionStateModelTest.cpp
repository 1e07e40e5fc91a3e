#include "kumquatbank/routing/ConnectionState.h"

#include <CppUTest/TestHarness.h>
#include <array>
#include <fmt/format.h>
#include <random>

using namespace kumquatbank;

namespace {

using Kind = ConnectionCommand::Kind;

constexpr int runs = 400;
constexpr int stepsPerRun = 120;

/// A database that refuses any command at any time, and that takes back or keeps what a rolled back transaction has set.
class ModelDatabase {
public:
    explicit ModelDatabase(std::mt19937& random)
        : m_random(random)
        , m_forgetsUncommitted(random() % 2 == 0)
    {
    }

    struct Answer {
        std::optional<ErrorCode> code;
        TransactionState state = TransactionState::None;
    };

    Answer run(const ConnectionCommand& command)
    {
        const bool ends = command.kind == Kind::Commit || command.kind == Kind::Rollback;
        if (m_state == TransactionState::Failed && !ends)
            return { ErrorCode::Malformed, m_state };
        if (m_random() % 6 == 0)
            return refuse(command);
        switch (command.kind) {
        case Kind::Begin:
            m_earlierValues = values;
            m_earlierPrepared = prepared;
            m_state = TransactionState::Open;
            break;
        case Kind::Commit:
            if (m_state == TransactionState::Failed) {
                rollBack();
                return { ErrorCode::Aborted, m_state };
            }
            m_state = TransactionState::None;
            break;
        case Kind::Rollback:
            rollBack();
            break;
        case Kind::SetValue:
            values[command.name] = command.value;
            break;
        case Kind::Prepare:
            prepared.insert(command.name);
            break;
        case Kind::Reset:
            values.clear();
            prepared.clear();
            break;
        case Kind::Execute:
            if (!prepared.contains(command.name))
                return refuse(command, ErrorCode::UnknownStatement);
            break;
        default:
            break;
        }
        return { std::nullopt, m_state };
    }

    SessionState::Values values;
    std::set<std::string> prepared;

private:
    Answer refuse(const ConnectionCommand& command, std::optional<ErrorCode> reason = std::nullopt)
    {
        static constexpr std::array codes { ErrorCode::ReadOnly, ErrorCode::Busy, ErrorCode::Lagging, ErrorCode::Failed, ErrorCode::Timeout };
        const auto code = reason.value_or(codes[m_random() % codes.size()]);
        // A command that may have run has done so at times.
        if (mayHaveRun(code) && m_random() % 2 == 0) {
            if (command.kind == Kind::SetValue)
                values[command.name] = command.value;
            else if (command.kind == Kind::Prepare)
                prepared.insert(command.name);
            else if (command.kind == Kind::Reset)
                prepared.clear();
        }
        if (m_state == TransactionState::Open)
            m_state = TransactionState::Failed;
        // Some databases end a transaction with the error itself.
        if (m_state == TransactionState::Failed && m_random() % 3 == 0)
            rollBack();
        return { code, m_state };
    }

    void rollBack()
    {
        if (m_forgetsUncommitted && m_state != TransactionState::None) {
            values = m_earlierValues;
            prepared = m_earlierPrepared;
        }
        m_state = TransactionState::None;
    }

    std::mt19937& m_random;
    bool m_forgetsUncommitted;
    TransactionState m_state = TransactionState::None;
    SessionState::Values m_earlierValues;
    std::set<std::string> m_earlierPrepared;
};

ConnectionCommand drawCommand(std::mt19937& random, bool isInTransaction)
{
    const auto name = fmt::format("n{}", random() % 3);
    switch (random() % 8) {
    case 0:
        return isInTransaction ? ConnectionCommand { Kind::Commit } : ConnectionCommand { Kind::Begin };
    case 1:
        return isInTransaction ? ConnectionCommand { Kind::Rollback } : ConnectionCommand { Kind::Begin };
    case 2:
        return { Kind::SetValue, name, fmt::format("v{}", random() % 2) };
    case 3:
    case 4:
        return { Kind::Prepare, name };
    case 5:
        return random() % 4 == 0 ? ConnectionCommand { Kind::Reset } : ConnectionCommand { Kind::Statement };
    default:
        return { Kind::Execute, name };
    }
}

} // namespace

TEST_GROUP(ConnectionStateModel) {};

// Guards against any order of commands, refusals and rollbacks after which a connection that would be handed on holds other
// values than it is believed to, or lacks a prepared statement.
TEST(ConnectionStateModel, AReusableConnectionHoldsWhatItIsBelievedToHold)
{
    int reusable = 0;
    for (unsigned seed = 1; seed <= runs; ++seed) {
        std::mt19937 random(seed);
        ModelDatabase database(random);
        ConnectionState connection;
        for (int step = 0; step < stepsPerRun && !connection.isInDoubt(); ++step) {
            std::vector<ConnectionCommand> batch;
            if (connection.needsCleanUp() && random() % 4 == 0) {
                if (connection.transaction() != TransactionState::None)
                    batch.push_back({ Kind::Rollback });
                if (connection.isResetDue() || connection.hasUncommittedState())
                    batch.push_back({ Kind::Reset });
            } else {
                for (auto n = 1 + random() % 3; n > 0; --n)
                    batch.push_back(drawCommand(random, connection.transaction() != TransactionState::None));
            }
            for (const auto& command : batch)
                connection.recordSent(command);
            for (const auto& command : batch) {
                const auto answer = database.run(command);
                connection.recordReply(answer.code, answer.state);
            }
            if (!connection.isReusable())
                continue;
            ++reusable;
            SessionState session;
            session.values = database.values;
            CHECK_TRUE_TEXT(connection.hasSameValuesAs(session), fmt::format("values, seed {} step {}", seed, step).c_str());
            for (const auto* const name : { "n0", "n1", "n2" })
                CHECK_TRUE_TEXT(!connection.hasPrepared(name) || database.prepared.contains(name), fmt::format("{}, seed {} step {}", name, seed, step).c_str());
        }
    }
    // The check means something only if connections are reusable often.
    CHECK_TRUE(reusable > runs * 5);
}
