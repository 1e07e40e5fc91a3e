#include "kumquatbank/engine/LogFailure.h"

#include "kumquatbank/engine/EventLog.h"

namespace kumquatbank {

void LogFailure::operator()(const std::exception_ptr& failure) const
{
    if (!failure)
        return;
    try {
        std::rethrow_exception(failure);
    } catch (const std::exception& e) {
        EventLog::error("task_aborted", { { "task", m_task }, { "error", e.what() } });
    }
}

} // namespace kumquatbank
