#include "LimitMessage.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatbank;
using std::chrono::milliseconds;

namespace {

std::string_view withoutLineEnd(std::string_view line) { return line.substr(0, line.size() - 2); }

} // namespace

TEST_GROUP(LimitMessage) {};

TEST(LimitMessage, RequestRoundTrips)
{
    LimitRequest request;
    request.host = "h";
    request.hosts = 87;
    request.stamp = LimitStamp { 0xFFFF'FFFF'FFFF'FFF0U, BootTime(std::chrono::nanoseconds(123'456'789'012'345'678)) };
    request.wants = { { "a", 3 }, { "b", 0.25 } };
    const auto line = LimitMessage::formatRequest(request);
    CHECK_TRUE(LimitMessage::isRequest(line));
    const auto parsed = LimitMessage::parseRequest(withoutLineEnd(line));
    CHECK_TRUE(parsed && parsed->host == "h" && parsed->hosts == 87 && !parsed->isExchange);
    CHECK_TRUE(parsed->stamp == request.stamp && parsed->wants == request.wants);
    request.isExchange = true;
    CHECK_TRUE(LimitMessage::parseRequest(withoutLineEnd(LimitMessage::formatRequest(request)))->isExchange);
}

TEST(LimitMessage, ReplyRoundTrips)
{
    LimitReply reply;
    reply.stamp = { 7, BootTime(std::chrono::nanoseconds(9)) };
    reply.hosts = 3;
    reply.grants = { { "a", 2.5 } };
    reply.retryAfter = { { "b", milliseconds(120) } };
    const auto parsed = LimitMessage::parseReply(withoutLineEnd(LimitMessage::formatReply(reply)));
    CHECK_TRUE(parsed && parsed->stamp == reply.stamp && parsed->hosts == 3);
    CHECK_TRUE(parsed->grants == reply.grants && parsed->retryAfter == reply.retryAfter);
}

// Guards against a crash on lines of another program or of another version of this one.
TEST(LimitMessage, MalformedLinesAreRejected)
{
    for (const char* line : { "", "LOAN ASK {}", "LIMIT ", "LIMIT {}", "LIMIT []", R"(LIMIT {"host":7,"hosts":1})", R"(LIMIT {"host":"h","hosts":1,"stamp":[]})", R"(LIMIT {"host":"h","hosts":1,"stamp":3})", R"(LIMIT {"host":"h","hosts":1,"wants":[1]})" })
        CHECK_FALSE(LimitMessage::parseRequest(line).has_value());
    for (const char* line : { "", "LIMITREPLY ", "LIMITREPLY {}", R"(LIMITREPLY {"hosts":1,"stamp":[1]})", R"(LIMITREPLY {"hosts":1,"stamp":[1,2],"retryAfterMs":[1]})" })
        CHECK_FALSE(LimitMessage::parseReply(line).has_value());
}
