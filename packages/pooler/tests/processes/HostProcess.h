#pragma once

#include "PoolerFixture.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fmt/format.h>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

#include <CppUTest/TestHarness.h>

extern char** environ; // NOLINT(readability-identifier-naming): name of POSIX

namespace kumquatbank {

/// A host that runs as a process of its own, so that its memory can be measured.
class HostProcess {
public:
    /// The smallest host in use.
    static constexpr int memoryMb = 160;

    /// The host uses ports at the address of the platform that no host of a fixture has.
    explicit HostProcess(const EmulatedPlatform& platform)
        : m_client { platform.storeAddress().ip, clientPort }
    {
        const auto ip = m_client.ip;
        std::string path = "/tmp/kumquatbank-host-XXXXXX";
        const int file = ::mkstemp(path.data());
        CHECK_TRUE(file >= 0);
        ::close(file);
        m_settings = path;
        const nlohmann::json settings { { "host", "measured" }, { "dataCentre", "dc-0" }, { "region", "region" }, { "memoryMb", memoryMb }, { "clientAddress", m_client.toString() }, { "readyAddress", HostAddress { ip, clientPort + 1 }.toString() }, { "peerAddress", HostAddress { ip, clientPort + 2 }.toString() }, { "metricsAddress", HostAddress { ip, clientPort + 3 }.toString() }, { "storeAddress", platform.storeAddress().toString() }, { "promotionAddress", platform.promotionAddress().toString() }, { "failureLinesPerSecond", 100 }, { "logLinesPerSecond", 100 } };
        std::ofstream(m_settings) << settings.dump();
        const char* other = std::getenv("KUMQUATBANK_PROXY");
        std::string program = other != nullptr ? other : KUMQUATBANK_POOLER_PROGRAM;
        std::string option = "--settings";
        std::array<char*, 4> arguments { program.data(), option.data(), m_settings.data(), nullptr };
        posix_spawn_file_actions_t actions {};
        ::posix_spawn_file_actions_init(&actions);
        ::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logFile().c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
        LONGS_EQUAL(0, ::posix_spawn(&m_pid, program.c_str(), &actions, nullptr, arguments.data(), environ));
        ::posix_spawn_file_actions_destroy(&actions);
    }

    ~HostProcess()
    {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        ::unlink(m_settings.c_str());
        ::unlink(logFile().c_str());
    }

    HostProcess(const HostProcess&) = delete;
    HostProcess& operator=(const HostProcess&) = delete;

    HostAddress clientAddress() const { return m_client; }
    HostAddress metricsAddress() const { return { m_client.ip, clientPort + 3 }; }

    void suspend() const { ::kill(m_pid, SIGSTOP); }
    void wakeUp() const { ::kill(m_pid, SIGCONT); }

    /// The log lines of an event so far.
    std::vector<nlohmann::json> logged(std::string_view event) const
    {
        std::vector<nlohmann::json> found;
        std::ifstream log(logFile());
        for (std::string line; std::getline(log, line);) {
            auto parsed = nlohmann::json::parse(line, nullptr, false);
            if (parsed.is_object() && parsed.value("event", "") == event)
                found.push_back(std::move(parsed));
        }
        return found;
    }

    /// Greatest resident memory so far, in MB.
    double peakMb() const
    {
        std::ifstream status(fmt::format("/proc/{}/status", m_pid));
        std::string word;
        while (status >> word) {
            if (word == "VmHWM:") {
                double kilobytes = 0;
                status >> kilobytes;
                return kilobytes / 1024;
            }
        }
        return 0;
    }

private:
    static constexpr std::uint16_t clientPort = 39000;

    std::string logFile() const { return m_settings + ".log"; }

    HostAddress m_client;
    std::string m_settings;
    pid_t m_pid = 0;
};

} // namespace kumquatbank
