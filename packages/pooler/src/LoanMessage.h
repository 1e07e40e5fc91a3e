#pragma once

#include "PositionSample.h"
#include "kumquatbank/routing/ServiceScheduler.h"
#include "kumquatbank/routing/StatementError.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatbank {

/// Request to another host for the use of one of its database connections.
struct LoanRequest {
    std::string service;
    std::string account; ///< Account for which the connection is used; empty for clients without one.
    Eligibility eligibility = Eligibility::Any;
    int priority = 0; ///< 0 is the most urgent.
    std::chrono::milliseconds maxWait { 0 }; ///< Maximum wait in the lender's queue.
    std::chrono::milliseconds answerTimeout { 0 }; ///< Time limit of each statement on the connection.
    std::set<std::string> excluded; ///< Endpoints on which the request has already failed.
    /// Maximum age of the data; set for reads that any endpoint may serve.
    std::optional<std::chrono::milliseconds> maxStaleness {};
    /// Whether to wait for an endpoint if the lender can reach none. Otherwise it replies with Unreachable at once.
    bool waitsForEndpoint = true;
    bool isRepeatable = false; ///< A read that can still be repeated on another endpoint.
};

/// Reply of a lender to a loan request.
struct LoanReply {
    enum class Kind {
        Queued, ///< Another reply follows once the request leaves the queue.
        Granted, ///< Lines are now forwarded to the endpoint and back until the loan is returned.
        Refused,
        Leaving, ///< The lender is shutting down; another lender should be queried.
        Unreachable, ///< The lender can reach no endpoint that may serve the request; another lender may.
        Unreadable,
    };

    Kind kind = Kind::Unreadable;
    std::string endpoint; ///< Set if granted.
    std::optional<PositionSample> sample {}; ///< If granted: the lender's newest; its age is relative to the request.
    std::chrono::milliseconds retryAfter { 0 }; ///< Set if refused: suggested delay before a retry.
    std::string reason; ///< Set if refused.
};

/// Formats and parses the lines between a borrower and a lender. Formatted lines include the line end.
class LoanMessage {
public:
    /// Line that ends a loan; the channel can then carry the next loan.
    static constexpr std::string_view loanReturn = "LOAN RETURN";

    static std::string formatRequest(const LoanRequest& request);
    /// Returns nothing if the line is not a valid request.
    static std::optional<LoanRequest> parseRequest(std::string_view line);

    static std::string formatReply(const LoanReply& reply);
    static LoanReply parseReply(std::string_view line);
};

} // namespace kumquatbank
