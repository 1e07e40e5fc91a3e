#pragma once

#include <exception>
#include <string_view>

namespace kumquatbank {

/// Completion handler for co_spawn() of a task that nobody awaits: logs the exception that ended the task.
class LogFailure {
public:
    /// @p task: name of the task in the log; a literal, because the task may outlive its starter.
    constexpr explicit LogFailure(std::string_view task)
        : m_task(task)
    {
    }

    void operator()(const std::exception_ptr& failure) const;

private:
    std::string_view m_task;
};

} // namespace kumquatbank
