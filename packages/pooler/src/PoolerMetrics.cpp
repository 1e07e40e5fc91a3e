#include "PoolerMetrics.h"

#include "kumquatbank/engine/EventLog.h"
#include "kumquatbank/engine/MemoryBudget.h"

#include <prometheus/text_serializer.h>

namespace kumquatbank {

namespace {

    template <typename Builder>
    auto& family(prometheus::Registry& registry, Builder builder, const char* name, const char* help)
    {
        return builder.Name(name).Help(help).Register(registry);
    }

    const prometheus::Histogram::BucketBoundaries latencyBuckets { 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3 };

    double seconds(std::chrono::nanoseconds duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace

PoolerMetrics::PoolerMetrics()
    : m_statements(family(m_registry, prometheus::BuildCounter(), "kumquatbank_statements_total", "Statements by route and outcome"))
    , m_statementSeconds(family(m_registry, prometheus::BuildHistogram(), "kumquatbank_statement_seconds", "Time to the final answer"))
    , m_queueSeconds(family(m_registry, prometheus::BuildHistogram(), "kumquatbank_queue_seconds", "Time waited for a connection"))
    , m_connections(family(m_registry, prometheus::BuildCounter(), "kumquatbank_connections_total", "Connection attempts to endpoints"))
    , m_loans(family(m_registry, prometheus::BuildCounter(), "kumquatbank_loans_total", "Connections that other hosts asked for, by service and outcome"))
    , m_borrowed(family(m_registry, prometheus::BuildCounter(), "kumquatbank_borrowed_connections_total", "Connections that other hosts were asked for, by outcome"))
    , m_storeCalls(family(m_registry, prometheus::BuildCounter(), "kumquatbank_store_calls_total", "Calls to the platform's store"))
    , m_promotions(family(m_registry, prometheus::BuildCounter(), "kumquatbank_promotions_total", "Promotion calls by outcome"))
    , m_retries(family(m_registry, prometheus::BuildCounter(), "kumquatbank_retries_total", "Statements that were sent again after nothing ran"))
    , m_refused(family(m_registry, prometheus::BuildCounter(), "kumquatbank_clients_refused_total", "Clients that were refused or closed because they take up too much, by reason"))
    , m_primarySilence(family(m_registry, prometheus::BuildGauge(), "kumquatbank_primary_silence_seconds", "Time since the primary last answered"))
    , m_waiting(family(m_registry, prometheus::BuildGauge(), "kumquatbank_waiting_requests", "Requests that wait for a connection"))
    , m_sessions(family(m_registry, prometheus::BuildGauge(), "kumquatbank_sessions", "Open client sessions").Add({}))
    , m_configVersion(family(m_registry, prometheus::BuildGauge(), "kumquatbank_config_version", "Version of the configuration in force").Add({}))
    , m_storeEra(family(m_registry, prometheus::BuildGauge(), "kumquatbank_store_era", "Era of the newest answer of the store; rises when it comes back from an older copy").Add({}))
    , m_droppedLogLines(family(m_registry, prometheus::BuildGauge(), "kumquatbank_dropped_log_lines", "Log lines left out since the start").Add({}))
    , m_memoryHeld(family(m_registry, prometheus::BuildGauge(), "kumquatbank_memory_held_bytes", "Memory of input, output and session state that the budget counts").Add({}))
{
}

void PoolerMetrics::statementAnswered(const std::string& route, std::string_view outcome, std::chrono::nanoseconds total, std::chrono::nanoseconds queued)
{
    auto& series = m_routes[route];
    if (series.total == nullptr) {
        series.total = &m_statementSeconds.Add({ { "route", route } }, latencyBuckets);
        series.queue = &m_queueSeconds.Add({ { "route", route } }, latencyBuckets);
    }
    auto it = series.byOutcome.find(outcome);
    if (it == series.byOutcome.end()) {
        auto& counter = m_statements.Add({ { "route", route }, { "outcome", std::string(outcome) } });
        it = series.byOutcome.emplace(outcome, &counter).first;
    }
    it->second->Increment();
    series.total->Observe(seconds(total));
    series.queue->Observe(seconds(queued));
}

void PoolerMetrics::connectionOpened(const std::string& service, bool succeeded)
{
    m_connections.Add({ { "service", service }, { "outcome", succeeded ? "ok" : "failed" } }).Increment();
}

void PoolerMetrics::loanAnswered(const std::string& service, bool granted)
{
    m_loans.Add({ { "service", service }, { "outcome", granted ? "granted" : "refused" } }).Increment();
}

void PoolerMetrics::loanRequestCompleted(std::string_view outcome) { m_borrowed.Add({ { "outcome", std::string(outcome) } }).Increment(); }

void PoolerMetrics::storeCall(std::string_view call, std::string_view status)
{
    m_storeCalls.Add({ { "call", std::string(call) }, { "status", std::string(status) } }).Increment();
}

void PoolerMetrics::promotionCompleted(std::string_view outcome) { m_promotions.Add({ { "outcome", std::string(outcome) } }).Increment(); }
void PoolerMetrics::statementRetried(std::string_view reason) { m_retries.Add({ { "reason", std::string(reason) } }).Increment(); }
void PoolerMetrics::clientRefused(std::string_view reason)
{
    m_refused.Add({ { "reason", std::string(reason) } }).Increment();
    m_refusalLog.record(reason);
}
void PoolerMetrics::sessionOpened() { m_sessions.Increment(); }
void PoolerMetrics::sessionClosed() { m_sessions.Decrement(); }
void PoolerMetrics::setConfigVersion(std::int64_t version) { m_configVersion.Set(static_cast<double>(version)); }
void PoolerMetrics::setStoreEra(std::uint64_t era) { m_storeEra.Set(static_cast<double>(era)); }
void PoolerMetrics::setPrimarySilence(const std::string& service, double age) { m_primarySilence.Add({ { "service", service } }).Set(age); }
void PoolerMetrics::setWaiting(const std::string& service, double requests) { m_waiting.Add({ { "service", service } }).Set(requests); }

std::string PoolerMetrics::serialize()
{
    m_memoryHeld.Set(static_cast<double>(MemoryBudget::ofProcess().used()));
    m_droppedLogLines.Set(static_cast<double>(EventLog::droppedLines()));
    return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

} // namespace kumquatbank
