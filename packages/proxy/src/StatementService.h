#pragma once

#include "ForwardingRouter.h"
#include "ServiceMetrics.h"
#include "kumquatbank/transport/transport.h"

#include <condition_variable>
#include <mutex>

namespace kumquatbank {

/// Processes statements from the caller's HTTP request to the final answer. Thread-safe.
class StatementService {
public:
    StatementService(RequestResolver& resolver, ForwardingRouter& router, HolderService& holder,
        ServiceMetrics& metrics);

    /// Answers a caller's POST /v1/statement. Never throws.
    HttpResponse serve(const std::string& body);

    /// Answers a Forward message of another process by running the request as holder. Never throws.
    nlohmann::json serveForwarded(const nlohmann::json& body);

    /// Waits until no request is in progress.
    void waitUntilIdle();

    std::size_t inProgress() const;

private:
    class Progress;

    Result<CallerAnswer> run(const nlohmann::json& json);

    RequestResolver& m_resolver;
    ForwardingRouter& m_router;
    HolderService& m_holder;
    ServiceMetrics& m_metrics;
    mutable std::mutex m_mutex;
    std::condition_variable m_idle;
    std::size_t m_inProgress = 0;
};

} // namespace kumquatbank
