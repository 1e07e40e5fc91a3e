#include "ForwardMessage.h"
#include "HolderService.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatbank;

namespace {

CallerRequest makeCommit(const std::string& idempotencyKey)
{
    CallerRequest request;
    request.requestId = "r1";
    request.entry = "save";
    request.database = "db";
    request.kind = RequestKind::Commit;
    request.transaction = "127.0.0.1:7200/t1";
    request.idempotencyKey = idempotencyKey;
    request.deadline = Deadline::after(Milliseconds(1000));
    return request;
}

} // namespace

TEST_GROUP(ForwardMessage) {};

// Guards against a forwarded request losing its idempotency key, transaction, candidates or remaining time.
TEST(ForwardMessage, RoundTripsThroughJson)
{
    const ForwardMessage message { makeCommit("k1"), 1, { { "127.0.0.1", 1 } }, { { "127.0.0.1", 2 } } };
    const auto read = decodeForward(encodeForward(message));
    CHECK_TRUE(read.has_value());
    STRCMP_EQUAL("k1", read->request.idempotencyKey.c_str());
    STRCMP_EQUAL("127.0.0.1:7200/t1", read->request.transaction.c_str());
    CHECK_TRUE(read->request.deadline.remaining() <= Milliseconds(1000));
    CHECK_TRUE(read->request.deadline.remaining() > Milliseconds(900));
    LONGS_EQUAL(1, read->hopCount);
    CHECK_TRUE(read->unreachable == message.unreachable);
    CHECK_TRUE(read->declined == message.declined);
}

// Guards against a malformed reply being interpreted as proof that the request did not run.
TEST(ForwardMessage, UnreadableReplyMayHaveRun)
{
    CHECK_TRUE(decodeReply(nlohmann::json::object()).answer.error().verdict == Verdict::MayHaveRun);
    CHECK_TRUE(decodeReply({ { "answer", 5 } }).answer.error().verdict == Verdict::MayHaveRun);
    CHECK_TRUE(decodeReply(nlohmann::json::array()).answer.error().verdict == Verdict::MayHaveRun);
}

// Guards against answering not_run to a commit that may have run, because its transaction no longer exists.
TEST(ForwardMessage, CommitWithAKeyIsUnresolvedWhenItsTransactionIsUnknown)
{
    const ForwardReply gone { notRun(FailureCode::UnknownTransaction, "gone") };
    CHECK_TRUE(isUnresolvedCommit(gone, makeCommit("k1")));
    CHECK_FALSE(isUnresolvedCommit(gone, makeCommit("")));
    const ForwardReply rejected { notRun(FailureCode::StatementError, "rejected") };
    CHECK_FALSE(isUnresolvedCommit(rejected, makeCommit("k1")));
    const ForwardReply broken { mayHaveRun(FailureCode::ConnectionLost, "broken"), false, true };
    CHECK_TRUE(isUnresolvedCommit(broken, makeCommit("k1")));
}
