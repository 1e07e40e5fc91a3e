#include "LoanMessage.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatbank;
using std::chrono::milliseconds;

namespace {

std::string_view withoutLineEnd(std::string_view line) { return line.substr(0, line.size() - 2); }

} // namespace

TEST_GROUP(LoanMessage) {};

TEST(LoanMessage, RequestRoundTrips)
{
    const LoanRequest request { "service", "account", Eligibility::PrimaryOnly, 2, milliseconds(300), milliseconds(1000), { "a", "b" }, milliseconds(1500), false };
    const auto line = LoanMessage::formatRequest(request);
    const auto parsed = LoanMessage::parseRequest(withoutLineEnd(line));
    CHECK_TRUE(parsed.has_value());
    CHECK_TRUE(parsed->service == request.service && parsed->account == request.account && parsed->eligibility == request.eligibility && parsed->priority == 2);
    CHECK_TRUE(parsed->maxWait == request.maxWait && parsed->answerTimeout == request.answerTimeout && parsed->excluded == request.excluded);
    CHECK_TRUE(parsed->maxStaleness == request.maxStaleness && !parsed->waitsForEndpoint);
}

TEST(LoanMessage, RepliesRoundTrip)
{
    const auto granted = LoanMessage::formatReply({ LoanReply::Kind::Granted, "i-7", PositionSample { "i-8", { 3, 1207 }, milliseconds(-4) }, milliseconds(0), {} });
    const auto loan = LoanMessage::parseReply(withoutLineEnd(granted));
    CHECK_TRUE(loan.endpoint == "i-7" && loan.sample && loan.sample->primary == "i-8");
    const LogPosition expected { 3, 1207 };
    CHECK_TRUE(loan.sample->position == expected && loan.sample->age == milliseconds(-4));
    const auto refused = LoanMessage::formatReply({ LoanReply::Kind::Refused, {}, {}, milliseconds(250), "queue" });
    const auto parsed = LoanMessage::parseReply(withoutLineEnd(refused));
    CHECK_TRUE(parsed.kind == LoanReply::Kind::Refused && parsed.retryAfter == milliseconds(250) && parsed.reason == "queue");
    for (const auto kind : { LoanReply::Kind::Queued, LoanReply::Kind::Leaving, LoanReply::Kind::Unreachable }) {
        const auto line = LoanMessage::formatReply({ kind, {}, {}, milliseconds(0), {} });
        CHECK_TRUE(LoanMessage::parseReply(withoutLineEnd(line)).kind == kind);
    }
}

// Guards against a crash on lines of another program or of another version of this one.
TEST(LoanMessage, MalformedLinesAreRejected)
{
    for (const char* line : { "", "GET / HTTP/1.1", "LOAN ASK ", "LOAN ASK {}", "LOAN ASK []", R"(LOAN ASK {"service":7})", "LOAN SAY {\"kind\":\"granted\"" }) {
        CHECK_FALSE(LoanMessage::parseRequest(line).has_value());
        CHECK_TRUE(LoanMessage::parseReply(line).kind == LoanReply::Kind::Unreadable);
    }
    CHECK_TRUE(LoanMessage::parseReply(R"(LOAN SAY {"kind":"granted"})").kind == LoanReply::Kind::Unreadable);
    CHECK_TRUE(LoanMessage::parseReply(R"(LOAN SAY {"kind":"granted","endpoint":"i","sample":7})").kind == LoanReply::Kind::Unreadable);
    CHECK_TRUE(LoanMessage::parseReply(R"(LOAN SAY {"kind":"lost"})").kind == LoanReply::Kind::Unreadable);
}
