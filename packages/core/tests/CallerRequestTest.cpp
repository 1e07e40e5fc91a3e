#include "kumquatbank/core/core.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatbank;

namespace {

nlohmann::json validRequest()
{
    return { { "requestId", "r1" }, { "entry", "save" }, { "database", "db" }, { "kind", "write" },
        { "statement", "put a 1" }, { "deadlineMs", 500 } };
}

FailureCode codeOf(const nlohmann::json& json)
{
    const auto request = parseCallerRequest(json);
    CHECK_FALSE(request.has_value());
    CHECK_TRUE(request.error().verdict == Verdict::NotRun);
    return request.error().code;
}

} // namespace

TEST_GROUP(CallerRequest) {};

TEST(CallerRequest, ReadsAValidRequest)
{
    const auto request = parseCallerRequest(validRequest());
    CHECK_TRUE(request.has_value());
    CHECK_TRUE(request->kind == RequestKind::Write);
    CHECK_TRUE(request->deadline.remaining() > Milliseconds(400));
}

// Guards against invalid input being run or answered without the verdict "not run".
TEST(CallerRequest, RefusesInvalidFields)
{
    CHECK_TRUE(codeOf(nlohmann::json::array()) == FailureCode::BadRequest);
    for (const auto* field : { "requestId", "entry", "database", "kind", "statement", "deadlineMs" }) {
        auto json = validRequest();
        json.erase(field);
        CHECK_TRUE(codeOf(json) == FailureCode::BadRequest);
    }
    auto json = validRequest();
    json["extra"] = 1;
    CHECK_TRUE(codeOf(json) == FailureCode::BadRequest);
    json = validRequest();
    json["statement"] = std::string(1024 * 1024 + 1, 'x');
    CHECK_TRUE(codeOf(json) == FailureCode::BadRequest);
    json = validRequest();
    json["kind"] = "commit";
    CHECK_TRUE(codeOf(json) == FailureCode::BadRequest);
}

// Guards against a request being run after its caller has stopped waiting.
TEST(CallerRequest, RefusesAPassedDeadline)
{
    auto json = validRequest();
    json["deadlineMs"] = 0;
    CHECK_TRUE(codeOf(json) == FailureCode::DeadlinePassed);
}

// Guards against a verdict growing stronger on its way between processes.
TEST(CallerRequest, FailureKeepsItsVerdictInJson)
{
    const Failure failure = mayHaveRun(FailureCode::Timeout, "late", Cause::EndpointSlow).value();
    const auto read = nlohmann::json(failure).get<Failure>();
    CHECK_TRUE(read.verdict == Verdict::MayHaveRun);
    CHECK_TRUE(read.code == FailureCode::Timeout);
    CHECK_TRUE(read.cause == Cause::EndpointSlow);
    CHECK_TRUE(nlohmann::json::object().get<Failure>().verdict == Verdict::MayHaveRun);
}
