#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <prometheus/collectable.h>
#include <vector>

namespace kumquatbank {

/// Gauges computed from the state dump at each scrape. Thread-safe if @c readState is.
class StateMetrics : public prometheus::Collectable {
public:
    explicit StateMetrics(std::function<nlohmann::json()> readState);

    std::vector<prometheus::MetricFamily> Collect() const override; // NOLINT: named by the library

private:
    const std::function<nlohmann::json()> m_readState;
};

} // namespace kumquatbank
