#include "kumquatbank/core/core.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatbank;

TEST_GROUP(SessionToken) {};

// Guards against a token that loses a position on its way through the caller.
TEST(SessionToken, KeepsPositionsThroughEncoding)
{
    SessionToken token("prod");
    token.advance("db", { 3, 41 });
    const auto decoded = SessionToken::decode(token.encode(), "prod");
    CHECK_TRUE(decoded.has_value());
    CHECK_TRUE((decoded->required("db") == LogPosition { 3, 41 }));
    CHECK_TRUE((decoded->required("other") == LogPosition {}));
}

// Guards against a late answer moving the session back to an older position.
TEST(SessionToken, NeverMovesBack)
{
    SessionToken token("prod");
    token.advance("db", { 3, 41 });
    token.advance("db", { 2, 90 });
    CHECK_TRUE((token.required("db") == LogPosition { 3, 41 }));
}

// Guards against positions of one deployment being applied to another one's logs.
TEST(SessionToken, RefusesForeignAndBrokenTokens)
{
    const auto foreign = SessionToken::decode(SessionToken("test").encode(), "prod");
    CHECK_TRUE(foreign.error().code == FailureCode::ForeignToken);
    CHECK_TRUE(foreign.error().verdict == Verdict::NotRun);
    const auto broken = SessionToken::decode("####", "prod");
    CHECK_TRUE(broken.error().code == FailureCode::BadRequest);
    CHECK_TRUE(SessionToken::decode(std::string(17 * 1024, 'A'), "prod").error().code == FailureCode::BadRequest);
}

// Guards against a replica of a newer term that still lacks the session's record being used.
TEST(SessionToken, GreaterTermAloneDoesNotCover)
{
    CHECK_FALSE((LogPosition { 4, 40 }.covers({ 3, 41 })));
    CHECK_FALSE((LogPosition { 2, 60 }.covers({ 3, 41 })));
    CHECK_TRUE((LogPosition { 4, 41 }.covers({ 3, 41 })));
}
