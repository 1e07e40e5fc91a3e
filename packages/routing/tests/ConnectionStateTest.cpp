#include "kumquatbank/routing/ConnectionState.h"

#include <CppUTest/TestHarness.h>
#include <array>

using namespace kumquatbank;

namespace {

using Kind = ConnectionCommand::Kind;
constexpr auto none = TransactionState::None;
constexpr auto open = TransactionState::Open;
constexpr auto failed = TransactionState::Failed;

} // namespace

TEST_GROUP(ConnectionBelief)
{
    SessionState session;
    ConnectionState connection;

    void answer(ConnectionCommand command, TransactionState after, std::optional<ErrorCode> code = std::nullopt)
    {
        connection.recordSent(std::move(command));
        connection.recordReply(code, after);
    }
    void set(const std::string& name, const std::string& value) { answer({ Kind::SetValue, name, value }, connection.transaction()); }
    void begin() { answer({ Kind::Begin }, open); }
};

// Guards against a connection that keeps the memory of sessions that have ended.
TEST(ConnectionBelief, AConnectionWithLongValuesIsNotSmallUntilAReset)
{
    CHECK_TRUE(connection.isSmall());
    set("a", std::string(20'000, 'x'));
    CHECK_FALSE(connection.isSmall());
    set("a", "1");
    CHECK_TRUE(connection.isSmall());
    set("b", std::string(20'000, 'x'));
    CHECK_FALSE(connection.isReusable());
    answer({ Kind::Reset }, none);
    CHECK_TRUE(connection.isSmall());
}

TEST(ConnectionBelief, SetsOnlyDifferingValues)
{
    session.values = { { "a", "1" }, { "b", "2" } };
    set("a", "1");
    const auto missing = connection.missingValues(session);
    LONGS_EQUAL(1, missing.size());
    STRCMP_EQUAL("2", missing.at("b").c_str());
    CHECK_FALSE(connection.needsReset(session));
}

// Guards against a value that another client left on the connection and that changes the effect of this client's statements.
TEST(ConnectionBelief, ValueOfAnotherSessionRequiresAResetAndAllValues)
{
    session.values = { { "a", "1" } };
    set("a", "1");
    set("foreign", "x");
    CHECK_TRUE(connection.needsReset(session));
    LONGS_EQUAL(1, connection.missingValues(session).size());
    answer({ Kind::Reset }, none);
    CHECK_FALSE(connection.needsReset(session));
}

TEST(ConnectionBelief, ResetClearsPreparedStatements)
{
    answer({ Kind::Prepare, "r1" }, none);
    CHECK_TRUE(connection.hasPrepared("r1"));
    answer({ Kind::Reset }, none);
    CHECK_FALSE(connection.hasPrepared("r1"));
}

// Guards against a command being taken for done when it is sent, or when its answer is an error.
TEST(ConnectionBelief, OnlyASuccessChangesWhatIsHeld)
{
    answer({ Kind::Prepare, "kept" }, none);
    set("kept", "1");
    for (const auto code : { ErrorCode::ReadOnly, ErrorCode::Busy, ErrorCode::Malformed, ErrorCode::Lagging }) {
        answer({ Kind::Prepare, "refused" }, none, code);
        answer({ Kind::SetValue, "kept", "2" }, none, code);
        answer({ Kind::Reset }, none, code);
        CHECK_FALSE(connection.hasPrepared("refused"));
        CHECK_TRUE(connection.hasPrepared("kept"));
        session.values = { { "kept", "1" } };
        CHECK_TRUE(connection.hasSameValuesAs(session));
        CHECK_TRUE(connection.isReusable());
    }
    connection.recordSent({ Kind::Prepare, "sent" });
    CHECK_FALSE(connection.hasPrepared("sent"));
    CHECK_FALSE(connection.isReusable());
}

// Guards against a refusal that may have run: whether the value or the name is held is then not known.
TEST(ConnectionBelief, ACommandThatMayHaveRunLeavesADoubt)
{
    for (const auto kind : { Kind::SetValue, Kind::Prepare, Kind::Reset, Kind::Unknown }) {
        for (const auto code : { ErrorCode::Failed, ErrorCode::Timeout, ErrorCode::InDoubt, ErrorCode::Other }) {
            connection = {};
            answer({ kind, "name", "value" }, none, code);
            CHECK_TRUE(connection.isInDoubt());
            CHECK_FALSE(connection.isReusable());
            CHECK_FALSE(connection.needsCleanUp());
        }
    }
    connection = {};
    answer({ Kind::Statement }, none, ErrorCode::Failed);
    CHECK_FALSE(connection.isInDoubt());
}

// Guards against replies being assigned to other commands of a batch than their own.
TEST(ConnectionBelief, AnswersOfABatchApplyInTheOrderOfItsCommands)
{
    begin();
    connection.recordSent({ Kind::Prepare, "r1" });
    connection.recordSent({ Kind::Execute, "r1" });
    CHECK_TRUE(connection.recordReply(ErrorCode::ReadOnly, failed).kind == Kind::Prepare);
    CHECK_TRUE(connection.recordReply(ErrorCode::Malformed, failed).kind == Kind::Execute);
    CHECK_FALSE(connection.hasPrepared("r1"));
    CHECK_FALSE(connection.isInDoubt());
    CHECK_TRUE(connection.needsCleanUp());
    answer({ Kind::Rollback }, none);
    CHECK_TRUE(connection.isReusable());
}

// Guards against trusting a name that a RESET, which is still to be answered, may remove.
TEST(ConnectionBelief, APendingResetMakesNamesUncertain)
{
    answer({ Kind::Prepare, "r1" }, none);
    connection.recordSent({ Kind::Reset });
    CHECK_FALSE(connection.hasPrepared("r1"));
    connection.recordReply(ErrorCode::Busy, none);
    CHECK_TRUE(connection.hasPrepared("r1"));
}

// Guards against a wrong belief that lasts as long as its connection, whatever its cause.
TEST(ConnectionBelief, AnUnknownNameThatShouldBeHeldLeavesADoubt)
{
    answer({ Kind::Execute, "r1" }, none, ErrorCode::UnknownStatement);
    CHECK_FALSE(connection.isInDoubt());
    answer({ Kind::Execute, "r1" }, none);
    CHECK_TRUE(connection.hasPrepared("r1"));
    answer({ Kind::Execute, "r1" }, none, ErrorCode::UnknownStatement);
    CHECK_TRUE(connection.isInDoubt());
}

// Guards against trusting what was set in a transaction that was rolled back; databases may take it back or keep it.
TEST(ConnectionBelief, StateOfATransactionThatWasNotCommittedNeedsAReset)
{
    for (const auto& command : { ConnectionCommand { Kind::SetValue, "a", "1" }, ConnectionCommand { Kind::Prepare, "r1" }, ConnectionCommand { Kind::Reset } }) {
        for (const auto end : { Kind::Rollback, Kind::Commit, Kind::Statement }) {
            connection = {};
            begin();
            answer(command, open);
            CHECK_TRUE(connection.hasUncommittedState());
            answer({ end }, none, end == Kind::Rollback ? std::nullopt : std::optional(ErrorCode::Aborted));
            CHECK_TRUE(connection.isResetDue());
            CHECK_FALSE(connection.isReusable());
            CHECK_FALSE(connection.hasPrepared("r1"));
            CHECK_TRUE(connection.needsCleanUp());
            CHECK_TRUE(connection.needsReset(session));
            answer({ Kind::Reset }, none);
            CHECK_TRUE(connection.isReusable());
        }
    }
    connection = {};
    begin();
    answer({ Kind::Prepare, "r1" }, open);
    answer({ Kind::Commit }, none);
    CHECK_TRUE(connection.hasPrepared("r1"));
    CHECK_TRUE(connection.isReusable());
}

// Guards against a connection whose database is in another transaction state than the answers allow.
TEST(ConnectionBelief, AnUnexpectedTransactionStateLeavesADoubt)
{
    struct Case {
        TransactionState before;
        Kind command;
        std::optional<ErrorCode> code;
        TransactionState after;
        bool isExpected;
    };
    const std::array cases {
        Case { none, Kind::Statement, {}, none, true },
        Case { none, Kind::Statement, {}, open, false },
        Case { none, Kind::Statement, ErrorCode::Malformed, failed, false },
        Case { none, Kind::Prepare, ErrorCode::Busy, open, false },
        Case { none, Kind::Begin, {}, none, false },
        Case { none, Kind::Begin, {}, failed, false },
        Case { none, Kind::Begin, ErrorCode::ReadOnly, none, true },
        Case { none, Kind::Begin, ErrorCode::ReadOnly, open, false },
        Case { none, Kind::Rollback, ErrorCode::Malformed, none, true },
        Case { none, Kind::Rollback, {}, open, false },
        Case { open, Kind::Statement, {}, none, false },
        Case { open, Kind::Statement, {}, failed, false },
        Case { open, Kind::Statement, ErrorCode::Busy, open, true },
        Case { open, Kind::Statement, ErrorCode::ReadOnly, failed, true },
        Case { open, Kind::Statement, ErrorCode::Aborted, none, true },
        Case { open, Kind::Commit, {}, none, true },
        Case { open, Kind::Commit, {}, open, false },
        Case { open, Kind::Commit, ErrorCode::Busy, open, true },
        Case { open, Kind::Rollback, {}, none, true },
        Case { open, Kind::Rollback, {}, failed, false },
        Case { failed, Kind::Statement, ErrorCode::Malformed, failed, true },
        Case { failed, Kind::Statement, {}, failed, false },
        Case { failed, Kind::Statement, ErrorCode::Malformed, open, false },
        Case { failed, Kind::Rollback, {}, none, true },
    };
    for (const auto& it : cases) {
        connection = {};
        if (it.before != none)
            begin();
        if (it.before == failed)
            answer({ Kind::Statement }, failed, ErrorCode::ReadOnly);
        answer({ it.command, "name" }, it.after, it.code);
        CHECK_EQUAL_TEXT(!it.isExpected, connection.isInDoubt(), connectionCommandName(it.command).data());
        if (!it.isExpected)
            CHECK_FALSE(connection.isReusable() || connection.needsCleanUp());
    }
}

// Guards against an answer to no command being taken for the answer to the next one.
TEST(ConnectionBelief, AnAnswerToNoCommandLeavesADoubt)
{
    connection.recordReply(std::nullopt, none);
    CHECK_TRUE(connection.isInDoubt());
    CHECK_FALSE(connection.isReusable());
}
