#pragma once

#include "FreeAddress.h"
#include "kumquatbank/core/core.h"

#include <nlohmann/json.hpp>
#include <string>
#include <sys/types.h>
#include <vector>

namespace kumquatbank {

/// One database stand-in as a child process. The destructor kills it.
class StandInProcess {
public:
    /// Starts the program with @p arguments. @p control is the address of its control port.
    StandInProcess(std::vector<std::string> arguments, HostAddress control);
    ~StandInProcess();
    StandInProcess(const StandInProcess&) = delete;
    StandInProcess& operator=(const StandInProcess&) = delete;

    void kill(); ///< Sends SIGKILL and waits for the process to end.
    void pause(); ///< Sends SIGSTOP, which suspends all threads; the sockets stay open.
    void resume();

    /// Sends one line to the control port and returns the answer; null when none arrives.
    nlohmann::json control(const nlohmann::json& command) const;

private:
    pid_t m_pid = -1;
    HostAddress m_control;
};

} // namespace kumquatbank
