#pragma once

#include "TestGroup.h"
#include "kumquatbank/transport/transport.h"

#include <condition_variable>
#include <map>
#include <mutex>

namespace kumquatbank::load {

/// A guarantee that the PassThroughProxy breaks on purpose, each for about one request in ten.
enum class Fault {
    None,
    LosesWrites, ///< Answers without running.
    RunsTwice, ///< Runs a write again without its key.
    DeniesRunning, ///< Runs a write and says not_run.
    ReadsStale, ///< Ignores the session's position.
    CrossesAnswers, ///< Sends an earlier answer again.
    TearsTransactions, ///< Forgets a statement of a transaction.
    MixesTransactions, ///< Puts two transactions on one connection.
};

/// A test proxy between load callers and a group whose slot 0 is primary of term 1: reads go to slot 1,
/// everything else to slot 0. Writes are answered by the primary alone.
class PassThroughProxy {
public:
    PassThroughProxy(standin::TestGroup& group, Fault fault);

    Result<void> start(const HostAddress& address);

private:
    /// Two transactions on one connection.
    struct Sharing {
        std::string owner; ///< Began on the connection and ends only after the guest has written.
        std::string guest;
        bool hasGuestWritten = false;
    };

    HttpResponse handle(const HttpRequest& httpRequest);
    nlohmann::json run(const CallerRequest& request);
    nlohmann::json runInTransaction(const CallerRequest& request);
    nlohmann::json begin(const CallerRequest& request);
    nlohmann::json answer(const CallerRequest& request, const nlohmann::json& response, ServedBy servedBy);
    bool isFaulty(Fault fault);

    standin::TestGroup& m_group;
    const Fault m_fault;
    std::mutex m_mutex;
    std::uint64_t m_requests = 0;
    std::uint64_t m_transactionIds = 0;
    std::map<std::string, std::shared_ptr<standin::TestCaller>> m_transactions;
    Sharing m_sharing;
    std::condition_variable m_guestWrote;
    std::string m_earlierAnswer;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace kumquatbank::load
