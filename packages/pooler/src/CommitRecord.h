#pragma once

#include "DatabaseService.h"
#include "StatementAnswer.h"
#include "StatementExchange.h"

namespace kumquatbank {

/// One write or COMMIT with writes that is sent to a primary: records for its service whether it is confirmed.
class CommitRecord {
public:
    explicit CommitRecord(std::shared_ptr<DatabaseService> service)
        : m_service(std::move(service))
    {
        m_service->commits().recordSent(BootClock::now());
    }
    ~CommitRecord()
    {
        if (!m_isFinished)
            m_service->commits().recordUnanswered();
    }
    CommitRecord(const CommitRecord&) = delete;
    CommitRecord& operator=(const CommitRecord&) = delete;

    void finish(const StatementExchange& exchange);

    /// Sets @p answer to a refusal, and returns true, if what @p service commits at present is not confirmed. Nothing has been
    /// sent then. @p code: Busy for a single write, Aborted for a transaction.
    static bool refuses(const DatabaseService& service, ErrorCode code, StatementAnswer& answer);

private:
    std::shared_ptr<DatabaseService> m_service;
    bool m_isFinished = false;
};

} // namespace kumquatbank
