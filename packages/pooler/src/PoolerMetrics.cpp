#include "PoolerMetrics.h"

#include "kumquatbank/engine/AnswerMemory.h"
#include "kumquatbank/engine/EventLog.h"
#include "kumquatbank/engine/MemoryBudget.h"

#include <array>
#include <prometheus/text_serializer.h>

namespace kumquatbank {

namespace {

    template <typename Builder>
    auto& family(prometheus::Registry& registry, Builder builder, const char* name, const char* help)
    {
        return builder.Name(name).Help(help).Register(registry);
    }

    const prometheus::Histogram::BucketBoundaries latencyBuckets { 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3 };

    /// Accounts with series of their own. Names come and go with versions of the configuration, and series stay.
    constexpr std::size_t maxAccountSeries = 512;
    constexpr std::string_view otherAccounts = "(others)";

    double seconds(std::chrono::nanoseconds duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace

PoolerMetrics::PoolerMetrics()
    : m_statements(family(m_registry, prometheus::BuildCounter(), "kumquatbank_statements_total", "Statements by route and outcome"))
    , m_statementSeconds(family(m_registry, prometheus::BuildHistogram(), "kumquatbank_statement_seconds", "Time to the final answer"))
    , m_queueSeconds(family(m_registry, prometheus::BuildHistogram(), "kumquatbank_queue_seconds", "Time waited for a connection"))
    , m_accountStatements(family(m_registry, prometheus::BuildCounter(), "kumquatbank_account_statements_total", "Statements by account, and whether they were served"))
    , m_accessRefusals(family(m_registry, prometheus::BuildCounter(), "kumquatbank_access_refusals_total", "Clients refused because of their key, by where this was found"))
    , m_connections(family(m_registry, prometheus::BuildCounter(), "kumquatbank_connections_total", "Connection attempts to endpoints"))
    , m_connectionsNeeded(family(m_registry, prometheus::BuildCounter(), "kumquatbank_connections_needed_total", "New connections that requests needed, by reason"))
    , m_connectionsClosed(family(m_registry, prometheus::BuildCounter(), "kumquatbank_connections_closed_total", "Connections to endpoints that were closed, by reason"))
    , m_refusedCommands(family(m_registry, prometheus::BuildCounter(), "kumquatbank_connection_commands_refused_total", "Commands of the proxy's own that endpoints refused, by command and code"))
    , m_idleConnections(family(m_registry, prometheus::BuildGauge(), "kumquatbank_idle_connections", "Idle connections to endpoints, by service"))
    , m_loans(family(m_registry, prometheus::BuildCounter(), "kumquatbank_loans_total", "Connections that other hosts asked for, by service and outcome"))
    , m_borrowed(family(m_registry, prometheus::BuildCounter(), "kumquatbank_borrowed_connections_total", "Connections that other hosts were asked for, by outcome"))
    , m_storeCalls(family(m_registry, prometheus::BuildCounter(), "kumquatbank_store_calls_total", "Calls to the platform's store"))
    , m_promotions(family(m_registry, prometheus::BuildCounter(), "kumquatbank_promotions_total", "Promotion calls by outcome"))
    , m_resumptions(family(m_registry, prometheus::BuildCounter(), "kumquatbank_resumptions_total", "Attempts to let endpoints resume that were stopped for a promotion, by outcome"))
    , m_retries(family(m_registry, prometheus::BuildCounter(), "kumquatbank_retries_total", "Statements that were sent again after nothing ran"))
    , m_limitDecisions(family(m_registry, prometheus::BuildCounter(), "kumquatbank_limit_decisions_total", "Operations of limited accounts by outcome"))
    , m_limitRequests(family(m_registry, prometheus::BuildCounter(), "kumquatbank_limit_requests_total", "Requests to the coordinator of limits by outcome"))
    , m_limitExchanges(family(m_registry, prometheus::BuildCounter(), "kumquatbank_limit_exchanges_total", "Requests of this coordinator to others by outcome"))
    , m_limitTokens(family(m_registry, prometheus::BuildCounter(), "kumquatbank_limit_tokens_total", "Tokens that this coordinator granted, by receiver"))
    , m_refused(family(m_registry, prometheus::BuildCounter(), "kumquatbank_clients_refused_total", "Clients that were refused or closed because they take up too much, by reason"))
    , m_primarySilence(family(m_registry, prometheus::BuildGauge(), "kumquatbank_primary_silence_seconds", "Time since the primary last answered"))
    , m_waiting(family(m_registry, prometheus::BuildGauge(), "kumquatbank_waiting_requests", "Requests that wait for a connection"))
    , m_pace(family(m_registry, prometheus::BuildGauge(), "kumquatbank_endpoint_pace", "Concurrent uses of an endpoint that its answers allow this host"))
    , m_fullPace(family(m_registry, prometheus::BuildGauge(), "kumquatbank_endpoint_pace_full", "Share of an endpoint's connections of this host"))
    , m_ejected(family(m_registry, prometheus::BuildGauge(), "kumquatbank_ejected_endpoints", "Endpoints that get no reads because they fail more than their peers"))
    , m_queueAnswers(family(m_registry, prometheus::BuildCounter(), "kumquatbank_queue_answers_total", "Requests of accounts for a connection, by outcome and by whether the account was over its share"))
    , m_abandoned(family(m_registry, prometheus::BuildCounter(), "kumquatbank_abandoned_requests_total", "Requests that left the queue because their sender had disconnected"))
    , m_refusedRetries(family(m_registry, prometheus::BuildCounter(), "kumquatbank_refused_retries_total", "Statements that were not sent again because the retry budget of the service is used up"))
    , m_accountsOverShare(family(m_registry, prometheus::BuildGauge(), "kumquatbank_accounts_over_share", "Accounts that have recently used more than their share of the granted time"))
    , m_answersWithoutRoom(family(m_registry, prometheus::BuildCounter(), "kumquatbank_answers_without_room_total", "Answers of the store and of other hosts for which there was no memory, by reader"))
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

void PoolerMetrics::accountAnswered(const std::string& account, bool isOk)
{
    if (account.empty())
        return;
    auto it = m_accounts.find(account);
    if (it == m_accounts.end())
        it = m_accounts.try_emplace(m_accounts.size() < maxAccountSeries ? account : std::string(otherAccounts)).first;
    auto*& counter = isOk ? it->second.ok : it->second.notOk;
    if (counter == nullptr)
        counter = &m_accountStatements.Add({ { "account", it->first }, { "outcome", isOk ? "ok" : "not_served" } });
    counter->Increment();
}

void PoolerMetrics::accessRefused(AccessRefusal refusal)
{
    static constexpr std::array<const char*, 6> names { "no_key", "unknown_key", "session", "queued", "account_changed", "transaction" };
    m_accessRefusals.Add({ { "at", names.at(static_cast<std::size_t>(refusal)) } }).Increment();
}

void PoolerMetrics::connectionOpened(const std::string& service, bool succeeded)
{
    m_connections.Add({ { "service", service }, { "outcome", succeeded ? "ok" : "failed" } }).Increment();
}

void PoolerMetrics::connectionNeeded(const std::string& service, std::string_view reason)
{
    m_connectionsNeeded.Add({ { "service", service }, { "reason", std::string(reason) } }).Increment();
}

void PoolerMetrics::connectionClosed(const std::string& service, std::string_view reason)
{
    m_connectionsClosed.Add({ { "service", service }, { "reason", std::string(reason) } }).Increment();
}

void PoolerMetrics::connectionCommandRefused(const std::string& service, std::string_view command, std::string_view code)
{
    m_refusedCommands.Add({ { "service", service }, { "command", std::string(command) }, { "code", std::string(code) } }).Increment();
}

void PoolerMetrics::setIdleConnections(const std::string& service, std::size_t connections)
{
    m_idleConnections.Add({ { "service", service } }).Set(static_cast<double>(connections));
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
void PoolerMetrics::resumeCompleted(std::string_view outcome) { m_resumptions.Add({ { "outcome", std::string(outcome) } }).Increment(); }
void PoolerMetrics::statementRetried(std::string_view reason) { m_retries.Add({ { "reason", std::string(reason) } }).Increment(); }
void PoolerMetrics::limitDecided(std::string_view outcome) { m_limitDecisions.Add({ { "outcome", std::string(outcome) } }).Increment(); }
void PoolerMetrics::limitRequestCompleted(std::string_view outcome) { m_limitRequests.Add({ { "outcome", std::string(outcome) } }).Increment(); }
void PoolerMetrics::limitExchangeCompleted(std::string_view outcome) { m_limitExchanges.Add({ { "outcome", std::string(outcome) } }).Increment(); }
void PoolerMetrics::limitTokensGranted(std::string_view receiver, double tokens) { m_limitTokens.Add({ { "receiver", std::string(receiver) } }).Increment(tokens); }
void PoolerMetrics::retryRefused(const std::string& service) { m_refusedRetries.Add({ { "service", service } }).Increment(); }

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

void PoolerMetrics::setEjectedEndpoints(const std::string& service, int endpoints) { m_ejected.Add({ { "service", service } }).Set(endpoints); }

void PoolerMetrics::setEndpointPace(const std::string& service, const std::string& endpoint, int limit, int full)
{
    m_pace.Add({ { "service", service }, { "endpoint", endpoint } }).Set(limit);
    m_fullPace.Add({ { "service", service }, { "endpoint", endpoint } }).Set(full);
}

void PoolerMetrics::removeEndpointPace(const std::string& service, const std::string& endpoint)
{
    // Add() returns the existing series if there is one.
    m_pace.Remove(&m_pace.Add({ { "service", service }, { "endpoint", endpoint } }));
    m_fullPace.Remove(&m_fullPace.Add({ { "service", service }, { "endpoint", endpoint } }));
}

void PoolerMetrics::requestAbandoned(const std::string& service) { m_abandoned.Add({ { "service", service } }).Increment(); }
void PoolerMetrics::setAccountsOverShare(const std::string& service, double accounts) { m_accountsOverShare.Add({ { "service", service } }).Set(accounts); }

void PoolerMetrics::queueAnswered(const std::string& service, bool isOverShare, bool granted)
{
    auto& counter = m_queueSeries[service].at((isOverShare ? 2 : 0) + (granted ? 1 : 0));
    if (counter == nullptr)
        counter = &m_queueAnswers.Add({ { "service", service }, { "group", isOverShare ? "over_share" : "within_share" }, { "outcome", granted ? "granted" : "refused" } });
    counter->Increment();
}

std::string PoolerMetrics::serialize()
{
    m_memoryHeld.Set(static_cast<double>(MemoryBudget::ofProcess().used()));
    for (std::size_t n = 0; n < AnswerMemory::readerCount; ++n) {
        const auto reader = static_cast<AnswerReader>(n);
        auto& counter = m_answersWithoutRoom.Add({ { "reader", std::string(AnswerMemory::readerName(reader)) } });
        counter.Increment(static_cast<double>(AnswerMemory::ofProcess().refusals(reader)) - counter.Value());
    }
    m_droppedLogLines.Set(static_cast<double>(EventLog::droppedLines()));
    return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

} // namespace kumquatbank
