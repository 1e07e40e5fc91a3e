#pragma once

#include "PositionSample.h"
#include "kumquatbank/routing/ServiceScheduler.h"
#include "kumquatbank/routing/StatementError.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatbank {

/// Asks another host for the use of one of its database connections.
struct LoanRequest {
    std::string service;
    Eligibility eligibility = Eligibility::Any;
    int priority = 0; ///< 0 is the most urgent.
    std::chrono::milliseconds maxWait { 0 }; ///< In the lender's queue.
    std::chrono::milliseconds answerTimeout { 0 }; ///< For each statement on the connection.
    std::set<std::string> excluded; ///< Endpoints that the request has tried in vain.
    /// For reads that any endpoint may serve: how old the data may be.
    std::optional<std::chrono::milliseconds> maxStaleness {};
    /// Whether to wait for an endpoint if the lender reaches none; otherwise it says so at once.
    bool waitsForEndpoint = true;
};

/// What a lender says before the connection is in use.
struct LoanReply {
    enum class Kind {
        Queued, ///< Another reply follows.
        Granted, ///< Lines now go to the endpoint and back, until the loan is returned.
        Refused,
        Leaving, ///< The lender is about to stop; ask another one.
        Unreachable, ///< The lender reaches no endpoint that may serve the request; another one may.
        Unreadable,
    };

    Kind kind = Kind::Unreadable;
    std::string endpoint; ///< Granted.
    std::optional<PositionSample> sample {}; ///< Granted: the newest that the lender has; its age counts from the request.
    std::chrono::milliseconds retryAfter { 0 }; ///< Refused: when to come back.
    std::string reason; ///< Refused.
};

/// The lines between a borrower and a lender. Lines are returned with their end.
class LoanMessage {
public:
    /// Ends a loan; the channel is free for the next one.
    static constexpr std::string_view loanReturn = "LOAN RETURN";

    static std::string formatRequest(const LoanRequest& request);
    /// Empty if the line is no request.
    static std::optional<LoanRequest> parseRequest(std::string_view line);

    static std::string formatReply(const LoanReply& reply);
    static LoanReply parseReply(std::string_view line);
};

} // namespace kumquatbank
