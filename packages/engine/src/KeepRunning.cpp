#include "kumquatbank/engine/KeepRunning.h"

#include "kumquatbank/engine/EventLog.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace kumquatbank {

namespace {

    constexpr std::chrono::milliseconds restartDelay { 500 };

    Task<void> runAgain(asio::io_context& io, std::string name, std::function<Task<void>()> task)
    {
        while (true) {
            std::string failure;
            try {
                co_await task();
                co_return;
            } catch (const std::exception& e) {
                failure = e.what();
            }
            EventLog::error("task_failed", { { "task", name }, { "error", failure } });
            co_await sleepFor(io, restartDelay);
        }
    }

} // namespace

void keepRunning(asio::io_context& io, std::string name, std::function<Task<void>()> task)
{
    asio::co_spawn(io, runAgain(io, std::move(name), std::move(task)), asio::detached);
}

} // namespace kumquatbank
