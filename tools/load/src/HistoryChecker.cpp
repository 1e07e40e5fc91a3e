#include "HistoryChecker.h"

#include <algorithm>
#include <set>
#include <unordered_map>

namespace kumquatbank::load {

namespace {

    /// Where a value is in the log.
    struct Occurrence {
        std::uint64_t position = 0;
        std::string key;
    };

    using Occurrences = std::unordered_map<std::string, std::vector<Occurrence>>;

    Occurrences indexLog(const nlohmann::json& log, const std::string& runName, Violations& violations)
    {
        Occurrences occurrences;
        for (const auto& record : log) {
            const auto position = record.at("position").get<std::uint64_t>();
            std::set<std::string> values;
            for (const auto& operation : record.at("operations")) {
                auto value = operation.at("value").get<std::string>();
                if (!value.starts_with(runName))
                    continue;
                occurrences[value].push_back({ position, operation.at("key").get<std::string>() });
                values.insert(std::move(value));
            }
            if (values.size() > 1)
                violations.add(&Violations::mixed,
                    "mixed: record " + std::to_string(position) + " holds " + *values.begin() + " and "
                        + *values.rbegin());
        }
        return occurrences;
    }

    /// True when the operation is in the log exactly once and whole.
    bool isWhole(const Operation& operation, const std::vector<Occurrence>& found)
    {
        if (!operation.isTransaction)
            return found.size() == 1 && found[0].key == operation.key;
        return found.size() == 2 && found[0].position == found[1].position && found[0].key == operation.key
            && found[1].key == operation.secondKey();
    }

    void checkOperation(const Operation& operation, const std::vector<Occurrence>& found, Violations& violations)
    {
        const std::size_t expected = operation.isTransaction ? 2 : 1;
        const auto& value = operation.value;
        if (found.empty()) {
            if (operation.outcome == Outcome::Confirmed)
                violations.add(&Violations::lost, "lost: " + value);
            return;
        }
        if (operation.outcome == Outcome::NotRun)
            violations.add(&Violations::notRunButRun,
                "not run but run: " + value + " at " + std::to_string(found[0].position));
        if (found.size() > expected)
            violations.add(&Violations::doubled,
                "doubled: " + value + " at " + std::to_string(found.front().position) + " and "
                    + std::to_string(found.back().position));
        else if (!isWhole(operation, found))
            violations.add(&Violations::torn, "torn: " + value + " at " + std::to_string(found[0].position));
    }

} // namespace

Violations checkHistory(const std::vector<Operation>& operations, std::size_t database, const nlohmann::json& dump,
    const std::string& runName)
{
    Violations violations;
    auto occurrences = indexLog(dump.at("log"), runName, violations);
    for (const auto& operation : operations) {
        if (operation.database == database)
            checkOperation(operation, occurrences[operation.value], violations);
    }
    return violations;
}

} // namespace kumquatbank::load
