#pragma once

#include "RefusalLog.h"
#include "kumquatbank/routing/StatementError.h"

#include <chrono>
#include <map>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace kumquatbank {

/// Counters and latency histograms of one process. The series of a route are cached, so a lookup is cheap.
class PoolerMetrics {
public:
    PoolerMetrics();

    /// Records the final answer to a statement. @p outcome: "ok" or the name of the error code.
    void statementAnswered(const std::string& route, std::string_view outcome, std::chrono::nanoseconds total, std::chrono::nanoseconds queued);
    void connectionOpened(const std::string& service, bool succeeded);
    /// Records the answer to a loan request of another host.
    void loanAnswered(const std::string& service, bool granted);
    /// Records the outcome of a loan request to another host.
    void loanRequestCompleted(std::string_view outcome);
    void storeCall(std::string_view call, std::string_view status);
    void promotionCompleted(std::string_view outcome);
    void sessionOpened();
    void sessionClosed();
    void statementRetried(std::string_view reason);
    /// Records a client, of any address, that was refused or closed because it takes up too much.
    void clientRefused(std::string_view reason);
    /// Writes the due log lines about refused clients.
    void logRefusals() { m_refusalLog.writeDue(BootClock::now()); }
    void setConfigVersion(std::int64_t version);
    void setStoreEra(std::uint64_t era);
    void setPrimarySilence(const std::string& service, double seconds);
    void setWaiting(const std::string& service, double requests);

    /// Returns all metrics in the Prometheus text format.
    std::string serialize();

private:
    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter>& m_statements;
    prometheus::Family<prometheus::Histogram>& m_statementSeconds;
    prometheus::Family<prometheus::Histogram>& m_queueSeconds;
    prometheus::Family<prometheus::Counter>& m_connections;
    prometheus::Family<prometheus::Counter>& m_loans;
    prometheus::Family<prometheus::Counter>& m_borrowed;
    prometheus::Family<prometheus::Counter>& m_storeCalls;
    prometheus::Family<prometheus::Counter>& m_promotions;
    prometheus::Family<prometheus::Counter>& m_retries;
    prometheus::Family<prometheus::Counter>& m_refused;
    prometheus::Family<prometheus::Gauge>& m_primarySilence;
    prometheus::Family<prometheus::Gauge>& m_waiting;
    prometheus::Gauge& m_sessions;
    prometheus::Gauge& m_configVersion;
    prometheus::Gauge& m_storeEra;
    prometheus::Gauge& m_droppedLogLines;
    prometheus::Gauge& m_memoryHeld;
    RefusalLog m_refusalLog;

    struct RouteSeries {
        std::map<std::string, prometheus::Counter*, std::less<>> byOutcome;
        prometheus::Histogram* total = nullptr;
        prometheus::Histogram* queue = nullptr;
    };
    std::map<std::string, RouteSeries> m_routes;
};

} // namespace kumquatbank
