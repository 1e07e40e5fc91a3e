#include "LoadReport.h"

#include <algorithm>
#include <iomanip>

namespace kumquatbank::load {

namespace {

    constexpr double medianShare = 0.5;
    constexpr double tailShare = 0.99;

    TryCounts countsOfRank(const LoadOptions& options, const LoadResult& result, Rank rank)
    {
        TryCounts counts;
        for (std::size_t item = 0; item < options.mix.size(); ++item) {
            if (options.mix[item].rank == rank)
                counts.merge(result.statistics->counts(item));
        }
        return counts;
    }

    double seconds(const LoadOptions& options)
    {
        return std::chrono::duration<double>(options.duration).count();
    }

    double replicaShare(const LoadResult& result)
    {
        const auto reads = static_cast<double>(result.statistics->reads());
        return reads > 0 ? static_cast<double>(result.statistics->replicaReads()) / reads : 0;
    }

    nlohmann::json countsJson(const LoadOptions& options, TryCounts counts)
    {
        return { { "operations", counts.operations }, { "served", counts.served }, { "refused", counts.refused },
            { "mayHaveRun", counts.mayHaveRun }, { "unreachable", counts.unreachable },
            { "servedPerSecond", static_cast<double>(counts.served) / seconds(options) },
            { "p50Ms", counts.percentile(medianShare) }, { "p99Ms", counts.percentile(tailShare) },
            { "maxMs", counts.percentile(1) } };
    }

} // namespace

void printReport(std::ostream& out, const LoadOptions& options, const LoadResult& result)
{
    out << std::fixed << std::setprecision(2);
    out << "rank    served   refused  may_have_run  unreachable  served/s    p50 ms    p99 ms\n";
    for (const auto rank : allRanks) {
        auto counts = countsOfRank(options, result, rank);
        if (counts.operations == 0)
            continue;
        out << std::setw(4) << static_cast<int>(rank) << std::setw(10) << counts.served << std::setw(10)
            << counts.refused << std::setw(14) << counts.mayHaveRun << std::setw(13) << counts.unreachable
            << std::setw(10) << static_cast<double>(counts.served) / seconds(options) << std::setw(10)
            << counts.percentile(medianShare) << std::setw(10) << counts.percentile(tailShare) << '\n';
    }
    out << "reads served by replicas: " << 100 * replicaShare(result) << " % of " << result.statistics->reads() << '\n';
    out << "writes and transactions: " << result.confirmed << " confirmed, " << result.notRun << " not run, "
        << result.uncertain << " uncertain\n";
    for (std::size_t n = 0; n < options.databases.size(); ++n) {
        const auto gap = result.statistics->longestWriteGap(n);
        out << "longest gap between successful writes on " << options.databases[n].name << ": ";
        if (gap)
            out << gap->count() << " ms\n";
        else
            out << "no write succeeded\n";
    }
    const auto& violations = result.violations;
    out << "violations: " << violations.lost << " lost, " << violations.doubled << " doubled, "
        << violations.notRunButRun << " not run but run, " << violations.stale << " stale, " << violations.crossed
        << " crossed, " << violations.torn << " torn, " << violations.mixed << " mixed, " << violations.unchecked
        << " unchecked databases\n";
    for (const auto& example : violations.examples)
        out << "  " << example << '\n';
}

nlohmann::json reportJson(const LoadOptions& options, const LoadResult& result)
{
    nlohmann::json json { { "run", options.runName }, { "seed", options.seed }, { "seconds", seconds(options) },
        { "reads", result.statistics->reads() }, { "replicaShare", replicaShare(result) },
        { "confirmed", result.confirmed }, { "notRun", result.notRun }, { "uncertain", result.uncertain },
        { "violations", result.violations }, { "ranks", nlohmann::json::object() },
        { "entries", nlohmann::json::array() }, { "writeGapMs", nlohmann::json::object() } };
    for (const auto rank : allRanks) {
        const auto counts = countsOfRank(options, result, rank);
        if (counts.operations > 0)
            json["ranks"][std::to_string(static_cast<int>(rank))] = countsJson(options, counts);
    }
    for (std::size_t item = 0; item < options.mix.size(); ++item) {
        auto counts = countsJson(options, result.statistics->counts(item));
        counts["entry"] = options.mix[item].entry;
        json["entries"].push_back(std::move(counts));
    }
    for (std::size_t n = 0; n < options.databases.size(); ++n) {
        const auto gap = result.statistics->longestWriteGap(n);
        json["writeGapMs"][options.databases[n].name] = gap ? nlohmann::json(gap->count()) : nlohmann::json();
    }
    return json;
}

} // namespace kumquatbank::load
