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

// Guards against a refused session that cannot be explained: it has no request.
TEST(LogExplainer, ExplainsWhyAKeyWasRefused)
{
    const auto* log = R"({"at_ms":90,"host":"a","event":"config_in_force","version":7}
{"at_ms":91,"host":"a","event":"account_entry_rejected","version":7,"reason":"a key of account 'x' also belongs to another account"}
{"at_ms":92,"host":"b","event":"account_entry_rejected","version":7,"reason":"foreign"}
{"at_ms":80,"host":"a","event":"account_entry_rejected","version":6,"reason":"older"}
{"at_ms":100,"host":"a","event":"session_refused","session":12,"reason":"unknown key","config_version":7}
{"at_ms":100,"host":"a","event":"session_refused","session":13,"reason":"no key","config_version":7}
{"at_ms":110,"host":"a","event":"statement","request":"r1","session":4,"outcome":"unauthorized","config_version":7}
)";
    for (const auto* subject : { "session:12", "r1" }) {
        const auto text = explain(subject, log);
        CHECK_TRUE_TEXT(found, subject);
        CHECK_TRUE_TEXT(text.find("no account has the client's key") != std::string::npos, subject);
        CHECK_TRUE_TEXT(text.find("also belongs to another account") != std::string::npos, subject);
        for (const auto* wrong : { "foreign", "older", "sent no key" })
            CHECK_TRUE_TEXT(text.find(wrong) == std::string::npos, wrong);
    }
    CHECK_TRUE(explain("session:13", log).find("sent no key") != std::string::npos);
    explain("session:14", log);
    CHECK_FALSE(found);
}

TEST(LogExplainer, CountsTheRefusalsOfAnAccount)
{
    const auto text = explain("account:acme", R"({"at_ms":1,"host":"a","event":"statement","request":"r1","account":"acme","outcome":"ok","reason":"answered"}
{"at_ms":2,"host":"a","event":"statement","request":"r2","account":"acme","outcome":"busy","reason":"queue is too long"}
{"at_ms":3,"host":"b","event":"statement","request":"r3","account":"acme","outcome":"timeout","reason":"no answer"}
{"at_ms":5,"host":"a","event":"statement","request":"r4","account":"acme","outcome":"busy","reason":"queue is too long"}
{"at_ms":6,"host":"a","event":"statement","request":"r5","account":"bolt","outcome":"busy","reason":"queue is too long"}
)");
    STRCMP_EQUAL("2 a outcome=busy reason=\"queue is too long\" from 2 to 5, newest request r4\n1 b outcome=timeout reason=\"no answer\" from 3 to 3, newest request r3\n", text.c_str());
    explain("account:none", "");
    CHECK_FALSE(found);
}
