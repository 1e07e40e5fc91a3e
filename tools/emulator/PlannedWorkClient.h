#pragma once

#include "LoadReport.h"
#include "kumquatbank/engine/LineChannel.h"

#include <random>

namespace kumquatbank {

/// One client of a load during planned work: signals to stop and to reload, changes of the configuration. It goes on
/// using its connection until that has ended, with every kind of request and with pauses of all lengths, and judges from
/// outside whether a request that a process has read got a complete answer.
class PlannedWorkClient {
public:
    /// How a client uses its connections.
    struct Habits {
        bool looksForEnd = true; ///< Looks for an end of the connection before it sends.
        bool isPipelining = false; ///< Sends several requests before it reads their answers.
        std::chrono::milliseconds pause { 50 }; ///< Mean pause between two operations.
    };

    /// Draws habits, by @p seed alone.
    static Habits drawHabits(unsigned seed);

    PlannedWorkClient(asio::io_context& io, std::string database, std::vector<HostAddress> proxies, unsigned seed, LoadReport& report);

    Task<void> run(BootTime until);

private:
    struct Request {
        std::string id;
        std::string text;
    };

    Task<bool> connect();
    Task<void> runOperation();
    Task<void> runTransaction();
    Task<void> runPrepared();
    /// Sends one request and reads its answer; false if the answer is an error or the connection ended.
    Task<bool> ask(std::string text);
    /// Sends @p texts together, each as a request of its own. Returns the number of successful answers.
    Task<std::size_t> askAll(std::vector<std::string> texts);
    Task<bool> send(const std::string& bytes);
    /// Reads one answer; empty if the connection ended before it was complete, otherwise its error code or "ok".
    Task<std::string> receive(BootTime until);
    /// Judges a request whose connection ended without its answer.
    Task<void> judge(Request request, BootTime sentAt, bool hadEnded);
    std::chrono::milliseconds draw(std::chrono::milliseconds mean);

    asio::io_context& m_io;
    std::string m_database;
    std::vector<HostAddress> m_proxies;
    std::mt19937 m_random;
    Habits m_habits;
    LoadReport& m_report;
    std::string m_item;
    HostAddress m_proxy;
    std::optional<LineChannel> m_channel;
    bool m_isInTransaction = false;
};

} // namespace kumquatbank
