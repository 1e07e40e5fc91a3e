#include "LoadRun.h"

#include "Caller.h"
#include "ControlClient.h"
#include "HistoryChecker.h"

#include <algorithm>
#include <thread>

namespace kumquatbank::load {

namespace {

    // A group may be in a failover when the load ends.
    constexpr Milliseconds primaryWait { 15'000 };

    void runCallers(const LoadOptions& options, History& history, Statistics& statistics)
    {
        SessionPool sessions(options.databases.size(), options.runName);
        const auto end = Clock::now() + options.duration;
        std::vector<std::jthread> threads;
        for (std::size_t item = 0; item < options.mix.size(); ++item) {
            for (unsigned number = 0; number < options.mix[item].callers; ++number) {
                threads.emplace_back([&, item, number] {
                    Caller({ options, sessions, history, statistics, end }, item, number).run();
                });
            }
        }
        std::this_thread::sleep_until(end);
        statistics.finish();
    }

} // namespace

LoadResult runLoad(const LoadOptions& options)
{
    History history;
    LoadResult result;
    result.statistics = std::make_unique<Statistics>(options.mix.size(), options.databases.size());
    runCallers(options, history, *result.statistics);

    const auto& operations = history.operations();
    const auto countOf = [&](Outcome outcome) {
        return static_cast<std::uint64_t>(std::ranges::count(operations, outcome, &Operation::outcome));
    };
    result.confirmed = countOf(Outcome::Confirmed);
    result.notRun = countOf(Outcome::NotRun);
    result.uncertain = countOf(Outcome::Uncertain);

    result.violations.merge(result.statistics->violations());
    for (std::size_t n = 0; n < options.databases.size(); ++n) {
        const auto dump = dumpPrimary(options.databases[n], primaryWait);
        if (dump.is_null())
            result.violations.add(
                &Violations::unchecked, "unchecked: no primary of " + options.databases[n].name + " answers");
        else
            result.violations.merge(checkHistory(operations, n, dump, options.runName));
    }
    return result;
}

} // namespace kumquatbank::load
