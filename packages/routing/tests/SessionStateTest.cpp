#include "kumquatbank/routing/SessionState.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatbank;

TEST_GROUP(SessionState)
{
    SessionState session;
};

// Guards against a session whose values grow without a bound, and against one that is refused for replacing its own.
TEST(SessionState, ValuesAndPreparedStatementsAreBoundedTogether)
{
    const auto statement = [](StatementKind kind, std::string name, std::size_t bytes) {
        Statement made;
        made.kind = kind;
        made.name = std::move(name);
        made.argument = std::string(bytes, 'x');
        return made;
    };
    const auto longest = statement(StatementKind::SetValue, "long", 1 << 20);
    CHECK_TRUE(session.admits(longest));
    session.apply(longest);
    CHECK_TRUE(session.admits(longest));
    CHECK_FALSE(session.admits(statement(StatementKind::Prepare, "other", 1 << 20)));
    session.apply(statement(StatementKind::SetValue, "long", 1));
    for (std::size_t n = 1; n < SessionState::maxNames; ++n)
        session.apply(statement(n % 2 == 0 ? StatementKind::SetValue : StatementKind::Prepare, std::to_string(n), 10));
    CHECK_FALSE(session.admits(statement(StatementKind::SetValue, "new", 1)));
    CHECK_TRUE(session.admits(statement(StatementKind::SetValue, "long", 2)));
    session.apply(statement(StatementKind::Deallocate, "1", 0));
    CHECK_TRUE(session.admits(statement(StatementKind::SetValue, "new", 1)));
}

// The bound would drift if a replaced or removed entry were counted further.
TEST(SessionState, RemovedEntriesAreNotCounted)
{
    Statement prepare;
    prepare.kind = StatementKind::Prepare;
    prepare.name = "name";
    for (const auto* shape : { "READ item", "READ another item" }) {
        prepare.argument = shape;
        session.apply(prepare);
        LONGS_EQUAL(prepare.name.size() + prepare.argument.size() + SessionState::bytesPerName, session.bytes);
    }
    prepare.kind = StatementKind::Deallocate;
    session.apply(prepare);
    LONGS_EQUAL(0, session.bytes);
}

// Two clients may choose the same name for different statements; on a shared connection the names must not collide.
TEST(SessionState, ConnectionNamesDependOnKindAndShape)
{
    CHECK_TRUE(preparedConnectionName(false, "q1") == preparedConnectionName(false, "q1"));
    CHECK_FALSE(preparedConnectionName(false, "q1") == preparedConnectionName(true, "q1"));
    CHECK_FALSE(preparedConnectionName(false, "q1") == preparedConnectionName(false, "q2"));
}
