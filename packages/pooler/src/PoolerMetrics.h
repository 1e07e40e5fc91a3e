#pragma once

#include "RefusalLog.h"
#include "kumquatbank/routing/StatementError.h"

#include <array>
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

/// Where a client was refused because of its key.
enum class AccessRefusal {
    NoKey, ///< At START.
    UnknownKey, ///< At START.
    Session, ///< An operation of an open session whose key was withdrawn.
    Queued, ///< A statement whose client's key was withdrawn while it was queued.
    AccountChanged, ///< A statement whose client got another account while it was queued.
    Transaction, ///< An open transaction, after the grace period.
};

/// Counters and latency histograms of one process. The series of a route are cached, so a lookup is cheap.
class PoolerMetrics {
public:
    PoolerMetrics();

    /// Records the final answer to a statement. @p outcome: "ok" or the name of the error code.
    void statementAnswered(const std::string& route, std::string_view outcome, std::chrono::nanoseconds total, std::chrono::nanoseconds queued);
    /// Records the final answer to a statement of @p account; nothing if that is empty.
    void accountAnswered(const std::string& account, bool isOk);
    void accessRefused(AccessRefusal refusal);
    void connectionOpened(const std::string& service, bool succeeded);
    /// Records that a request needs a new connection. @p reason: "first" if the share had room, "replaced" if an idle
    /// connection of another account was closed.
    void connectionNeeded(const std::string& service, std::string_view reason);
    void connectionClosed(const std::string& service, std::string_view reason);
    /// Records that an endpoint refused a command of the proxy's own, such as the replay of a session's state.
    void connectionCommandRefused(const std::string& service, std::string_view command, std::string_view code);
    void setIdleConnections(const std::string& service, std::size_t connections);
    /// Records the answer to a loan request of another host.
    void loanAnswered(const std::string& service, bool granted);
    /// Records the outcome of a loan request to another host.
    void loanRequestCompleted(std::string_view outcome);
    void storeCall(std::string_view call, std::string_view status);
    void promotionCompleted(std::string_view outcome);
    /// Records an attempt to let endpoints resume that were stopped for a promotion. @p outcome: "resumed", "not_confirmed",
    /// or the step after which it was given up.
    void resumeCompleted(std::string_view outcome);
    void sessionOpened();
    void sessionClosed();
    void statementRetried(std::string_view reason);
    /// Records whether an operation of a limited account was admitted. @p outcome: "admitted" or the reason of the refusal.
    void limitDecided(std::string_view outcome);
    /// Records the outcome of a request to the coordinator of limits.
    void limitRequestCompleted(std::string_view outcome);
    /// Records the outcome of a request of this coordinator to that of another region.
    void limitExchangeCompleted(std::string_view outcome);
    /// Records tokens that this coordinator granted. @p receiver: "host" or "exchange".
    void limitTokensGranted(std::string_view receiver, double tokens);
    /// Records that a statement was not sent again because the retry budget of the service is used up.
    void retryRefused(const std::string& service);
    /// Records a client, of any address, that was refused or closed because it takes up too much.
    void clientRefused(std::string_view reason);
    /// Writes the due log lines about refused clients.
    void logRefusals() { m_refusalLog.writeDue(BootClock::now()); }
    void setConfigVersion(std::int64_t version);
    void setStoreEra(std::uint64_t era);
    void setPrimarySilence(const std::string& service, double seconds);
    void setWaiting(const std::string& service, double requests);
    /// Sets the number of concurrent uses that this host allows itself on an endpoint, and its full value.
    void setEndpointPace(const std::string& service, const std::string& endpoint, int limit, int full);
    void removeEndpointPace(const std::string& service, const std::string& endpoint);
    /// Sets the number of endpoints that get no reads because they fail more than their peers.
    void setEjectedEndpoints(const std::string& service, int endpoints);
    /// Records that the queue of a service granted or refused a request of an account. @p isOverShare: the account had used
    /// more than its share.
    void queueAnswered(const std::string& service, bool isOverShare, bool granted);
    /// Records that a request left the queue because its sender had disconnected.
    void requestAbandoned(const std::string& service);
    void setAccountsOverShare(const std::string& service, double accounts);

    /// Returns all metrics in the Prometheus text format.
    std::string serialize();

private:
    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter>& m_statements;
    prometheus::Family<prometheus::Histogram>& m_statementSeconds;
    prometheus::Family<prometheus::Histogram>& m_queueSeconds;
    prometheus::Family<prometheus::Counter>& m_accountStatements;
    prometheus::Family<prometheus::Counter>& m_accessRefusals;
    prometheus::Family<prometheus::Counter>& m_connections;
    prometheus::Family<prometheus::Counter>& m_connectionsNeeded;
    prometheus::Family<prometheus::Counter>& m_connectionsClosed;
    prometheus::Family<prometheus::Counter>& m_refusedCommands;
    prometheus::Family<prometheus::Gauge>& m_idleConnections;
    prometheus::Family<prometheus::Counter>& m_loans;
    prometheus::Family<prometheus::Counter>& m_borrowed;
    prometheus::Family<prometheus::Counter>& m_storeCalls;
    prometheus::Family<prometheus::Counter>& m_promotions;
    prometheus::Family<prometheus::Counter>& m_resumptions;
    prometheus::Family<prometheus::Counter>& m_retries;
    prometheus::Family<prometheus::Counter>& m_limitDecisions;
    prometheus::Family<prometheus::Counter>& m_limitRequests;
    prometheus::Family<prometheus::Counter>& m_limitExchanges;
    prometheus::Family<prometheus::Counter>& m_limitTokens;
    prometheus::Family<prometheus::Counter>& m_refused;
    prometheus::Family<prometheus::Gauge>& m_primarySilence;
    prometheus::Family<prometheus::Gauge>& m_waiting;
    prometheus::Family<prometheus::Gauge>& m_pace;
    prometheus::Family<prometheus::Gauge>& m_fullPace;
    prometheus::Family<prometheus::Gauge>& m_ejected;
    prometheus::Family<prometheus::Counter>& m_queueAnswers;
    prometheus::Family<prometheus::Counter>& m_abandoned;
    prometheus::Family<prometheus::Counter>& m_refusedRetries;
    prometheus::Family<prometheus::Gauge>& m_accountsOverShare;
    prometheus::Family<prometheus::Counter>& m_answersWithoutRoom;
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

    struct AccountSeries {
        prometheus::Counter* ok = nullptr;
        prometheus::Counter* notOk = nullptr;
    };
    std::map<std::string, AccountSeries, std::less<>> m_accounts;
    std::map<std::string, std::array<prometheus::Counter*, 4>> m_queueSeries; ///< By service; of each pair of outcomes.
};

} // namespace kumquatbank
