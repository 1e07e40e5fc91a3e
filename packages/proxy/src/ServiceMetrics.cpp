#include "ServiceMetrics.h"

namespace kumquatbank {

namespace {

    const prometheus::Histogram::BucketBoundaries latencyBuckets { 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
        0.2, 0.5, 1, 2, 5, 10 };

    constexpr std::array allVerdicts { Verdict::Answered, Verdict::NotRun, Verdict::MayHaveRun };

    std::string rankLabel(Rank rank) { return std::to_string(static_cast<int>(rank)); }

} // namespace

ServiceMetrics::ServiceMetrics(prometheus::Registry& registry)
    : m_requests(prometheus::BuildCounter()
                     .Name("kumquatbank_requests_total")
                     .Help("Requests of callers by rank and verdict")
                     .Register(registry))
    , m_refusals(prometheus::BuildCounter()
                     .Name("kumquatbank_refusals_total")
                     .Help("Requests without an answer by entry, owner and cause")
                     .Register(registry))
{
    auto& latency = prometheus::BuildHistogram()
                        .Name("kumquatbank_request_seconds")
                        .Help("Time from a caller's request to its final answer by rank")
                        .Register(registry);
    auto& reads = prometheus::BuildCounter()
                      .Name("kumquatbank_reads_total")
                      .Help("Answered reads by who served them")
                      .Register(registry);
    for (const auto rank : allRanks) {
        m_latency[rankIndex(rank)] = &latency.Add({ { "rank", rankLabel(rank) } }, latencyBuckets);
        for (std::size_t n = 0; n < allVerdicts.size(); ++n)
            m_verdicts[rankIndex(rank)][n] = &m_requests.Add(
                { { "rank", rankLabel(rank) }, { "verdict", std::string(verdictName(allVerdicts[n])) } });
    }
    m_replicaReads = &reads.Add({ { "served_by", "replica" } });
    m_primaryReads = &reads.Add({ { "served_by", "primary" } });
}

void ServiceMetrics::recordRequest(const CatalogueEntry& entry, const CallerRequest& request,
    const Result<CallerAnswer>& answer, Clock::duration latency)
{
    const auto rank = rankIndex(entry.rank);
    const auto verdict = answer ? Verdict::Answered : answer.error().verdict;
    m_verdicts[rank][static_cast<std::size_t>(verdict)]->Increment();
    m_latency[rank]->Observe(std::chrono::duration<double>(latency).count());
    if (answer) {
        if (request.kind == RequestKind::Read)
            (answer->servedBy == ServedBy::Replica ? m_replicaReads : m_primaryReads)->Increment();
        return;
    }
    m_refusals
        .Add({ { "entry", entry.name }, { "owner", entry.owner },
            { "cause", std::string(causeName(answer.error().cause)) } })
        .Increment();
}

} // namespace kumquatbank
