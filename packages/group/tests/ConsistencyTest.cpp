#include "GroupFixture.h"

#include "WriteConfirmation.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace kumquatbank;

namespace {

CallerRequest transactionRequest(RequestKind kind, const std::string& id, const std::string& statement = "")
{
    CallerRequest request;
    request.kind = kind;
    request.transaction = id;
    request.statement = statement;
    request.deadline = Deadline::after(Milliseconds(3000));
    return request;
}

nlohmann::json rows(const Result<CallerAnswer>& answer)
{
    return answer ? answer->result.at("rows") : nlohmann::json(answer.error().message);
}

} // namespace

TEST_GROUP(Consistency) {};

// Guards against a session that reads data older than its own change from a lagging replica.
TEST(Consistency, LaggingReplicasNeverGiveStaleReadsInASession)
{
    StandInGroup group(Milliseconds(30));
    group.slot(2).control({ { "fault", "lag" }, { "ms", 1500 } });
    TestHolder holder(group);
    CHECK_TRUE(holder.waitUntilReady());
    unsigned fromReplica = 0;
    for (int n = 0; n < 60; ++n) {
        const auto value = std::to_string(n);
        const auto written = holder.write("put k " + value);
        CHECK_TRUE(written.has_value());
        const auto read = holder.read("get k", written->session);
        CHECK_EQUAL(nlohmann::json::array({ value }), rows(read));
        fromReplica += read->servedBy == ServedBy::Replica ? 1 : 0;
    }
    CHECK_TRUE(fromReplica >= 57);
}

// Guards against a read that returns data older than its maximum age.
TEST(Consistency, MaxAgeExcludesReplicasThatAreTooFarBehind)
{
    StandInGroup group;
    TestHolder holder(group);
    CHECK_TRUE(holder.waitUntilReady());
    group.slot(1).control({ { "fault", "lag" }, { "ms", 5000 } });
    group.slot(2).control({ { "fault", "lag" }, { "ms", 900 } });
    holder.entry.maxAge = Milliseconds(2500);
    std::thread delayedWriter([&] { holder.write("put k new", Milliseconds(4000)); });
    std::this_thread::sleep_for(Milliseconds(3000));
    for (int n = 0; n < 20; ++n)
        CHECK_EQUAL(nlohmann::json::array({ "new" }), rows(holder.read("get k")));
    delayedWriter.join();
}

// Guards against a change that runs twice when its answer is lost and the primary is replaced.
TEST(Consistency, RepeatedIdempotencyKeyRunsOnceAcrossAPromotion)
{
    StandInGroup group;
    TestHolder holder(group);
    CHECK_TRUE(holder.waitUntilReady());
    const auto first = holder.write("append k once", Milliseconds(3000), "key-1");
    CHECK_TRUE(first.has_value());
    CHECK_FALSE(first->repeated);
    group.slot(0).kill();
    const auto second = holder.write("append k once", Milliseconds(8000), "key-1");
    CHECK_TRUE(second.has_value());
    CHECK_TRUE(second->repeated);
}

// Guards against a request that is repeated with its key on the same primary at once, and against a lost answer that is
// reported as not run.
TEST(Consistency, LostAnswerWithAKeyIsRepeatedAtTheNewPrimaryOnly)
{
    StandInGroup group;
    TestHolder holder(group);
    CHECK_TRUE(holder.waitUntilReady());
    Result<CallerAnswer> answer = notRun(FailureCode::Internal, "not started");
    std::thread caller([&] { answer = holder.write("sleep 300;append k one", Milliseconds(8000), "key"); });
    std::this_thread::sleep_for(Milliseconds(100));
    group.slot(0).kill();
    caller.join();
    CHECK_TRUE(answer.has_value());
    const auto primary = holder.group().state().at("primary").at("slot").get<std::size_t>();
    const std::vector<std::string> expected { "one" };
    CHECK_TRUE(group.values(primary, "k") == expected);

    const auto unkeyed = holder.write("sleep 1000;append k two", Milliseconds(200));
    CHECK_FALSE(unkeyed.has_value());
    CHECK_TRUE(unkeyed.error().verdict == Verdict::MayHaveRun);
}

// Guards against statements that read or join another transaction, and against changes of a transaction that was not
// committed.
TEST(Consistency, TransactionsAreNotMixed)
{
    StandInGroup group;
    TestHolder holder(group);
    CHECK_TRUE(holder.waitUntilReady());
    const auto one = holder.run(transactionRequest(RequestKind::Begin, ""));
    const auto two = holder.run(transactionRequest(RequestKind::Begin, ""));
    CHECK_TRUE(one.has_value() && two.has_value());
    CHECK_TRUE(one->transaction != two->transaction);
    CHECK_TRUE(holder.run(transactionRequest(RequestKind::Write, one->transaction, "append k one")).has_value());
    CHECK_TRUE(holder.run(transactionRequest(RequestKind::Write, two->transaction, "append k two")).has_value());
    CHECK_EQUAL(nlohmann::json::array({ "one" }),
        rows(holder.run(transactionRequest(RequestKind::Read, one->transaction, "get k"))));
    CHECK_TRUE(holder.run(transactionRequest(RequestKind::Rollback, two->transaction)).has_value());
    const auto committed = holder.run(transactionRequest(RequestKind::Commit, one->transaction));
    CHECK_TRUE(committed.has_value());
    CHECK_EQUAL(nlohmann::json::array({ "one" }), rows(holder.read("get k", committed->session)));

    const auto unknown = holder.run(transactionRequest(RequestKind::Commit, one->transaction));
    CHECK_FALSE(unknown.has_value());
    CHECK_TRUE(unknown.error().verdict == Verdict::NotRun);
    CHECK_TRUE(unknown.error().code == FailureCode::UnknownTransaction);

    // The connection of a transaction that is left open is closed instead of being used by the next caller.
    const auto lost = holder.run(transactionRequest(RequestKind::Begin, ""));
    CHECK_TRUE(holder.run(transactionRequest(RequestKind::Write, lost->transaction, "append k lost")).has_value());
    std::this_thread::sleep_for(Milliseconds(900));
    CHECK_FALSE(holder.run(transactionRequest(RequestKind::Commit, lost->transaction)).has_value());
    for (int n = 0; n < 5; ++n) {
        const auto next = holder.run(transactionRequest(RequestKind::Begin, ""));
        CHECK_TRUE(next.has_value());
        CHECK_TRUE(holder.run(transactionRequest(RequestKind::Commit, next->transaction)).has_value());
    }
    CHECK_TRUE(group.values(0, "k") == std::vector<std::string> { "one" });
}

// Guards against three wrong answers to a repeated commit: not run although the first attempt ran; not run although the
// first attempt runs later; and a confirmation of a commit that was rolled back. The last one occurs when the record
// that prevents the first attempt from running is taken for the record of the first attempt.
TEST(Consistency, RepeatedCommitIsResolvedByItsKey)
{
    StandInGroup group;
    TestHolder holder(group);
    CHECK_TRUE(holder.waitUntilReady());
    const auto begin = [&] {
        const auto begun = holder.run(transactionRequest(RequestKind::Begin, ""));
        CHECK_TRUE(begun.has_value());
        CHECK_TRUE(holder.run(transactionRequest(RequestKind::Write, begun->transaction, "append k v")).has_value());
        return begun->transaction;
    };
    const auto resolve = [&](CallerRequest commit) {
        commit.deadline = Deadline::after(Milliseconds(3000));
        return holder.group().resolveCommit(commit, holder.entry, SessionToken("test"));
    };

    auto ran = transactionRequest(RequestKind::Commit, begin());
    ran.idempotencyKey = "key-ran";
    CHECK_TRUE(holder.run(ran).has_value());
    const auto found = resolve(ran);
    CHECK_TRUE(found.has_value() && found->repeated);

    auto uncommitted = transactionRequest(RequestKind::Commit, begin());
    uncommitted.idempotencyKey = "key-late";
    const auto resolved = resolve(uncommitted);
    CHECK_FALSE(resolved.has_value());
    CHECK_TRUE(resolved.error().verdict == Verdict::NotRun);
    CHECK_TRUE(resolved.error().code == FailureCode::UnknownTransaction);
    const auto again = resolve(uncommitted);
    CHECK_FALSE(again.has_value());
    CHECK_TRUE(again.error().verdict == Verdict::NotRun);
    CHECK_TRUE(again.error().code == FailureCode::UnknownTransaction);
    uncommitted.deadline = Deadline::after(Milliseconds(3000));
    const auto lateCommit = holder.run(uncommitted);
    CHECK_FALSE(lateCommit.has_value());
    CHECK_TRUE(lateCommit.error().verdict == Verdict::NotRun);
    CHECK_TRUE(group.values(0, "k") == std::vector<std::string> { "v" });
}

// Guards against a planned shutdown that aborts open transactions or accepts new ones.
TEST(Consistency, DrainFinishesOpenTransactionsAndTakesNoNewOnes)
{
    StandInGroup group;
    TestHolder holder(group);
    CHECK_TRUE(holder.waitUntilReady());
    const auto open = holder.run(transactionRequest(RequestKind::Begin, ""));
    CHECK_TRUE(open.has_value());
    std::thread drain([&] { holder.group().drain(Milliseconds(400)); });
    std::this_thread::sleep_for(Milliseconds(100));
    const auto refused = holder.run(transactionRequest(RequestKind::Begin, ""));
    CHECK_FALSE(refused.has_value());
    CHECK_TRUE(refused.error().verdict == Verdict::NotRun && refused.error().cause == Cause::Draining);
    CHECK_TRUE(holder.run(transactionRequest(RequestKind::Write, open->transaction, "append k v")).has_value());
    CHECK_TRUE(holder.run(transactionRequest(RequestKind::Commit, open->transaction)).has_value());
    drain.join();
    const auto after = holder.read("get k");
    CHECK_FALSE(after.has_value());
    CHECK_TRUE(after.error().verdict == Verdict::NotRun);
    CHECK_TRUE(group.values(0, "k") == std::vector<std::string> { "v" });
}

// Guards against an acknowledgement based on an old report, after this process was paused while the primary was
// replaced.
TEST(Consistency, OldReportIsRefreshedBeforeAnAcknowledgement)
{
    StandInGroup group;
    ClaimNumber claim { 0 };
    std::vector<std::unique_ptr<EndpointControl>> controls;
    std::vector<EndpointControl*> pointers;
    for (const auto& slot : group.definition().slots) {
        controls.push_back(std::make_unique<EndpointControl>(slot.address, "host", claim));
        pointers.push_back(controls.back().get());
    }
    for (const std::size_t n : { 1U, 2U })
        CHECK_TRUE(controls[n]
                       ->call("fence", { { "term", 7 }, { "proposer", "other" } },
                           Deadline::after(Milliseconds(500)))
                       .has_value());
    GroupView view(3, 2);
    WriteConfirmation confirmation(view, pointers);
    const PrimaryView primary { 0, 1 };
    const LogPosition position { 1, 1 };
    view.applyReport(1, { 1, position, Clock::now() - Milliseconds(1500) });
    const auto stale = confirmation.confirm(primary, position, Deadline::after(Milliseconds(300)));
    CHECK_FALSE(stale.has_value());
    CHECK_TRUE(stale.error().verdict == Verdict::MayHaveRun);

    GroupView fresh(3, 2);
    WriteConfirmation other(fresh, pointers);
    fresh.applyReport(1, { 1, position, Clock::now() });
    CHECK_TRUE(other.confirm(primary, position, Deadline::after(Milliseconds(300))).has_value());
}
