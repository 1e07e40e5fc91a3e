#include "StateMetrics.h"

#include <array>
#include <prometheus/client_metric.h>
#include <prometheus/metric_family.h>
#include <prometheus/metric_type.h>

namespace kumquatbank {

namespace {

    using Json = nlohmann::json;
    using prometheus::ClientMetric;
    using prometheus::MetricFamily;
    using prometheus::MetricType;

    MetricFamily makeFamily(const std::string& name, const std::string& help)
    {
        return { name, help, MetricType::Gauge, {} };
    }

    ClientMetric makeGauge(double value, std::vector<ClientMetric::Label> labels = {})
    {
        ClientMetric metric;
        metric.gauge.value = value;
        metric.label = std::move(labels);
        return metric;
    }

    /// Gauge of a number in the state dump: JSON pointer, metric name and help.
    struct StateGauge {
        const char* pointer;
        const char* name;
        const char* help;
    };

    constexpr std::array topLevelGauges {
        StateGauge { "/catalogueRevision", "kumquatbank_catalogue_revision", "Revision of the catalogue in force" },
        StateGauge { "/requestsInProgress", "kumquatbank_requests_in_progress", "Requests being served" },
        StateGauge { "/platform/calls", "kumquatbank_platform_calls", "Calls to the platform since the start" },
        StateGauge { "/platform/refused", "kumquatbank_platform_calls_refused",
            "Calls not made because of the budget or the backoff" },
        StateGauge { "/controlBytes", "kumquatbank_control_bytes", "Bytes of control messages since the start" },
    };

    /// Gauges of each group; the JSON pointers are relative to the group's state.
    constexpr std::array groupGauges {
        StateGauge { "/claim", "kumquatbank_group_claim", "Claim number of the held database" },
        StateGauge { "/term", "kumquatbank_group_term", "Term of the database's primary" },
        StateGauge { "/promotions/count", "kumquatbank_group_promotions", "Promotions done since the group was taken" },
        StateGauge { "/lastGapMs", "kumquatbank_group_failover_gap_milliseconds",
            "Time without a primary at the last failover" },
        StateGauge { "/waiting", "kumquatbank_group_waiting", "Requests waiting for a connection" },
        StateGauge { "/connections", "kumquatbank_group_connections", "Open connections to endpoints" },
    };

    void addNumber(MetricFamily& family, const Json& json, const char* pointer, std::vector<ClientMetric::Label> labels)
    {
        const Json::json_pointer path(pointer);
        if (json.contains(path) && json.at(path).is_number())
            family.metric.push_back(makeGauge(json.at(path).get<double>(), std::move(labels)));
    }

} // namespace

StateMetrics::StateMetrics(std::function<Json()> readState)
    : m_readState(std::move(readState))
{
}

std::vector<MetricFamily> StateMetrics::Collect() const
{
    const auto state = m_readState();
    std::vector<MetricFamily> families;
    for (const auto& it : topLevelGauges) {
        families.push_back(makeFamily(it.name, it.help));
        addNumber(families.back(), state, it.pointer, {});
    }
    const auto groups = state.value("groups", Json::array());
    for (const auto& it : groupGauges) {
        families.push_back(makeFamily(it.name, it.help));
        for (const auto& group : groups)
            addNumber(families.back(), group, it.pointer, { { "database", group.value("database", "") } });
    }
    return families;
}

} // namespace kumquatbank
