#include "kumquatbank/routing/SessionState.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatbank;

TEST_GROUP(SessionState)
{
    SessionState session;
    ConnectionState connection;
};

TEST(SessionState, SetsOnlyDifferingValues)
{
    session.values = { { "a", "1" }, { "b", "2" } };
    connection.recordValue("a", "1");
    const auto missing = connection.missingValues(session);
    LONGS_EQUAL(1, missing.size());
    STRCMP_EQUAL("2", missing.at("b").c_str());
    CHECK_FALSE(connection.needsReset(session));
}

// A value that another client left on the connection would change the effect of this client's statements.
TEST(SessionState, ValueOfAnotherSessionRequiresAResetAndAllValues)
{
    session.values = { { "a", "1" } };
    connection.recordValue("a", "1");
    connection.recordValue("foreign", "x");
    CHECK_TRUE(connection.needsReset(session));
    LONGS_EQUAL(1, connection.missingValues(session).size());
    connection.recordReset();
    CHECK_FALSE(connection.needsReset(session));
}

TEST(SessionState, ResetClearsPreparedStatements)
{
    connection.recordPrepared("r1");
    CHECK_TRUE(connection.hasPrepared("r1"));
    connection.recordReset();
    CHECK_FALSE(connection.hasPrepared("r1"));
}

// Two clients may choose the same name for different statements; on a shared connection the names must not collide.
TEST(SessionState, ConnectionNamesDependOnKindAndShape)
{
    CHECK_TRUE(preparedConnectionName(false, "q1") == preparedConnectionName(false, "q1"));
    CHECK_FALSE(preparedConnectionName(false, "q1") == preparedConnectionName(true, "q1"));
    CHECK_FALSE(preparedConnectionName(false, "q1") == preparedConnectionName(false, "q2"));
}
