#include "LogExplainer.h"

#include <CppUTest/TestHarness.h>
#include <sstream>

using namespace kumquatbank;

TEST_GROUP(LogExplainer)
{
    std::string explain(const std::string& request, const std::string& log)
    {
        LogExplainer explainer(request);
        std::istringstream in(log);
        explainer.read(in);
        std::ostringstream out;
        found = explainer.print(out);
        return out.str();
    }

    bool found = false;
};

// Guards against an explanation from another host's beliefs, or from beliefs that came later.
TEST(LogExplainer, ShowsWhatTheRequestsHostBelievedAtThatMoment)
{
    const auto text = explain("r1", R"(
  1.0 a {"at_ms":100,"host":"a","event":"primary_changed","service":"s","to":"p1"}
  1.1 b {"at_ms":110,"host":"b","event":"primary_changed","service":"s","to":"foreign"}
  1.1 a {"at_ms":115,"host":"a","event":"primary_changed","service":"other","to":"p9"}
  1.2 a {"at_ms":120,"host":"a","event":"statement","request":"r1","service":"s","outcome":"busy"}
  1.3 a {"at_ms":130,"host":"a","event":"primary_changed","service":"s","to":"later"}
)");
    CHECK_TRUE(found);
    CHECK_TRUE(text.find("outcome=\"busy\"") != std::string::npos);
    CHECK_TRUE(text.find("\"p1\"") != std::string::npos);
    CHECK_TRUE(text.find("20 ms before") != std::string::npos);
    for (const auto* wrong : { "foreign", "p9", "later" })
        CHECK_TRUE_TEXT(text.find(wrong) == std::string::npos, wrong);
}

TEST(LogExplainer, OrdersTheLinesOfSeveralHostsByTime)
{
    const auto text = explain("r1", R"({"at_ms":200,"host":"b","event":"statement","request":"r1"}
{"at_ms":100,"host":"a","event":"statement","request":"r1"}
)");
    CHECK_TRUE(text.find("100 a") < text.find("200 b"));
}

TEST(LogExplainer, SaysWhenNothingIsFoundAndCountsUnreadableLines)
{
    const auto text = explain("r1", "not json\n{\"at_ms\":1}\n{broken\n[1]\n");
    CHECK_FALSE(found);
    CHECK_TRUE(text.find("no line of request 'r1'") != std::string::npos);
    CHECK_TRUE(text.find("4 lines") != std::string::npos);
}
