#include "ControlClient.h"

#include "LineSocket.h"

#include <thread>

namespace kumquatbank::load {

namespace {

    constexpr Milliseconds statusTimeout { 1000 };
    constexpr Milliseconds pollInterval { 100 };

    // A dump holds the whole log; a minute is enough for some millions of records.
    constexpr Milliseconds dumpTimeout { 60'000 };

    /// The primary of the greatest promised term, if it is reachable.
    std::optional<HostAddress> findPrimary(const DatabaseTarget& database)
    {
        std::optional<HostAddress> primary;
        Term greatest = 0;
        for (const auto& control : database.controls) {
            const auto answer = callControl(control, { { "command", "status" } }, statusTimeout);
            if (answer.is_null())
                continue;
            const auto& status = answer.at("status");
            const auto term = status.at("promisedTerm").get<Term>();
            if (term > greatest)
                primary.reset();
            greatest = std::max(greatest, term);
            if (term == greatest && status.at("role") == "primary")
                primary = control;
        }
        return primary;
    }

} // namespace

nlohmann::json callControl(const HostAddress& control, const nlohmann::json& command, Milliseconds timeout)
{
    const auto socket = standin::LineSocket::connect(control, timeout);
    if (!socket || !socket->writeLine(command.dump()))
        return nullptr;
    const auto line = socket->readLine(timeout);
    const auto answer = line ? nlohmann::json::parse(*line, nullptr, false) : nlohmann::json();
    return answer.is_object() && answer.value("ok", false) ? answer : nlohmann::json();
}

nlohmann::json dumpPrimary(const DatabaseTarget& database, Milliseconds timeout)
{
    const auto deadline = Deadline::after(timeout);
    do {
        if (const auto primary = findPrimary(database)) {
            auto dump = callControl(*primary, { { "command", "dump" } }, dumpTimeout);
            // The role may have moved between the two calls.
            if (!dump.is_null() && dump.at("status").at("role") == "primary")
                return dump;
        }
        std::this_thread::sleep_for(pollInterval);
    } while (!deadline.hasPassed());
    return nullptr;
}

} // namespace kumquatbank::load
