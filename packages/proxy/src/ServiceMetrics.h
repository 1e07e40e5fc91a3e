#pragma once

#include "kumquatbank/catalogue/catalogue.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace kumquatbank {

/// Prometheus metrics of the requests that callers sent to this process. Thread-safe.
class ServiceMetrics {
public:
    explicit ServiceMetrics(prometheus::Registry& registry);

    /// Records one finished request: its rank, verdict and latency, whether the primary or a replica served a read,
    /// and for a refusal its entry, owner and cause.
    void recordRequest(const CatalogueEntry& entry, const CallerRequest& request,
        const Result<CallerAnswer>& answer, Clock::duration latency);

private:
    prometheus::Family<prometheus::Counter>& m_requests;
    prometheus::Family<prometheus::Counter>& m_refusals;
    std::array<prometheus::Histogram*, rankCount> m_latency {};
    std::array<std::array<prometheus::Counter*, 3>, rankCount> m_verdicts {};
    prometheus::Counter* m_replicaReads = nullptr;
    prometheus::Counter* m_primaryReads = nullptr;
};

} // namespace kumquatbank
