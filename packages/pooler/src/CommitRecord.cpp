#include "CommitRecord.h"

namespace kumquatbank {

void CommitRecord::finish(const StatementExchange& exchange)
{
    m_isFinished = true;
    auto& commits = m_service->commits();
    const auto now = BootClock::now();
    const bool wasRefused = !exchange.wasSent() || (exchange.status == ExchangeStatus::Ok && exchange.reply.code == ErrorCode::Busy);
    if (wasRefused)
        commits.recordRefused(now, true);
    else if (exchange.status == ExchangeStatus::TimedOut)
        commits.recordUnanswered();
    else
        commits.recordAnswered(now);
}

bool CommitRecord::refuses(const DatabaseService& service, ErrorCode code, StatementAnswer& answer)
{
    const auto wait = service.commitWait();
    if (!wait)
        return false;
    answer.setError(code, code == ErrorCode::Aborted ? "no replica receives commits at present; nothing is kept" : "no replica receives commits at present; nothing has run", *wait);
    return true;
}

} // namespace kumquatbank
