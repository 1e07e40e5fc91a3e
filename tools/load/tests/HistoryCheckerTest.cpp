#include "HistoryChecker.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatbank::load;

namespace {

const std::string runName = "run";

/// A dump whose log holds one record for each list of (key, value) pairs.
nlohmann::json dumpOf(const std::vector<std::vector<std::pair<std::string, std::string>>>& records)
{
    auto log = nlohmann::json::array();
    for (const auto& record : records) {
        auto operations = nlohmann::json::array();
        for (const auto& [key, value] : record)
            operations.push_back({ { "type", "append" }, { "key", key }, { "value", value } });
        log.push_back({ { "position", log.size() + 1 }, { "operations", operations } });
    }
    return { { "log", log } };
}

Operation writeOf(const std::string& value, Outcome outcome)
{
    return { 0, "run-k", value, false, outcome };
}

Operation transactionOf(const std::string& value, Outcome outcome)
{
    return { 0, "run-k", value, true, outcome };
}

} // namespace

TEST_GROUP(HistoryChecker) {};

// Guards against a checker that reports a correct history.
TEST(HistoryChecker, AcceptsACorrectHistory)
{
    const auto dump = dumpOf({ { { "run-k", "run.1" } }, { { "run-k", "run.2" }, { "run-k/second", "run.2" } },
        { { "other", "x" }, { "other", "y" } }, { { "run-k", "run.3" } } });
    const auto found = checkHistory({ writeOf("run.1", Outcome::Confirmed), transactionOf("run.2", Outcome::Confirmed),
                                        writeOf("run.3", Outcome::Uncertain), writeOf("run.4", Outcome::Uncertain),
                                        writeOf("run.5", Outcome::NotRun), transactionOf("run.6", Outcome::NotRun) },
        0, dump, runName);
    LONGS_EQUAL(0, found.total());
}

// Guards against a lost, repeated or wrongly refused write going unnoticed.
TEST(HistoryChecker, CountsWriteViolations)
{
    const auto dump = dumpOf({ { { "run-k", "run.2" } }, { { "run-k", "run.2" } }, { { "run-k", "run.3" } },
        { { "run-k", "run.4" } }, { { "run-k", "run.4" } } });
    const auto found = checkHistory({ writeOf("run.1", Outcome::Confirmed), writeOf("run.2", Outcome::Confirmed),
                                        writeOf("run.3", Outcome::NotRun), writeOf("run.4", Outcome::Uncertain) },
        0, dump, runName);
    LONGS_EQUAL(1, found.lost);
    LONGS_EQUAL(2, found.doubled);
    LONGS_EQUAL(1, found.notRunButRun);
    LONGS_EQUAL(4, found.total());
}

// Guards against transactions that are applied in part, in two steps or together with another caller's.
TEST(HistoryChecker, CountsTransactionViolations)
{
    const auto dump = dumpOf({ { { "run-k", "run.1" } }, { { "run-k", "run.2" } }, { { "run-k/second", "run.2" } },
        { { "run-k", "run.3" }, { "run-k/second", "run.3" }, { "run-k", "run.4" } },
        { { "run-k", "run.5" }, { "run-k/second", "run.5" } } });
    const auto found
        = checkHistory({ transactionOf("run.1", Outcome::Uncertain), transactionOf("run.2", Outcome::Confirmed),
                           transactionOf("run.3", Outcome::Confirmed), writeOf("run.4", Outcome::Confirmed),
                           transactionOf("run.5", Outcome::NotRun), transactionOf("run.6", Outcome::Confirmed) },
            0, dump, runName);
    LONGS_EQUAL(2, found.torn);
    LONGS_EQUAL(1, found.mixed);
    LONGS_EQUAL(1, found.notRunButRun);
    LONGS_EQUAL(1, found.lost);
    LONGS_EQUAL(5, found.total());
}
