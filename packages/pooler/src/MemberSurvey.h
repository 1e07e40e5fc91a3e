#pragma once

#include "DatabaseService.h"
#include "kumquatbank/routing/PromotionPolicy.h"

namespace kumquatbank {

/// Asks the endpoints of a service for their status, and stops them from receiving commits or lets them go on.
class MemberSurvey {
public:
    explicit MemberSurvey(asio::io_context& io)
        : m_io(io)
    {
    }

    /// Answer of one endpoint to a command that returns its status.
    struct Reply {
        std::optional<EndpointStatus> status;
        std::optional<ErrorCode> refusal; ///< Set if the endpoint answered and did not execute the command.
    };

    /// @p command: of WireDialect, with the status as its answer.
    /// @p sendUntil: the command is not sent later, also if the process was suspended meanwhile.
    Task<Reply> ask(std::shared_ptr<DatabaseService> service, std::shared_ptr<Endpoint> endpoint, std::string command, BootTime sendUntil = BootTime::max());

    /// Returns the statuses of the listed endpoints that answer, but for the endpoint @p except.
    Task<std::vector<EndpointStatus>> askAll(std::shared_ptr<DatabaseService> service, std::string except);

    /// Stops endpoints from receiving commits and returns their statuses after that. An endpoint that refuses to be stopped
    /// counts as stopped if @p mayRestOnWaiting and its log has not grown for a while since @p asked; one without an
    /// answer is returned as asked.
    Task<std::vector<EndpointStatus>> stopAll(std::shared_ptr<DatabaseService> service, std::vector<EndpointStatus> asked, bool mayRestOnWaiting);

    /// Lets the endpoints receive commits again. Returns true if all of them that are still listed have confirmed it. Nothing
    /// is sent after @p sendUntil.
    Task<bool> resumeAll(std::shared_ptr<DatabaseService> service, std::set<std::string> ids, BootTime sendUntil);

private:
    using Endpoints = std::vector<std::shared_ptr<Endpoint>>;

    /// Sends the command to all endpoints concurrently. The replies are in the order of the endpoints.
    Task<std::vector<Reply>> askEach(std::shared_ptr<DatabaseService> service, Endpoints endpoints, std::string command, BootTime sendUntil = BootTime::max());

    asio::io_context& m_io;
};

} // namespace kumquatbank
