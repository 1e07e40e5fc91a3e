#pragma once

#include "FreeAddress.h"
#include "kumquatbank/core/core.h"

#include <nlohmann/json.hpp>
#include <string>
#include <sys/types.h>
#include <vector>

namespace kumquatbank {

/// One database stand-in as a child process, killed when this object ends.
class StandInProcess {
public:
    /// Starts the program with these arguments; @p control is its control port.
    StandInProcess(std::vector<std::string> arguments, HostAddress control);
    ~StandInProcess();
    StandInProcess(const StandInProcess&) = delete;
    StandInProcess& operator=(const StandInProcess&) = delete;

    void kill(); ///< Ends the process at once and waits for it.
    void pause(); ///< Stops it as a whole; its sockets stay open.
    void resume();

    /// Sends one line to the control port and returns the answer; null when there is none.
    nlohmann::json control(const nlohmann::json& command) const;

private:
    pid_t m_pid = -1;
    HostAddress m_control;
};

} // namespace kumquatbank
