#pragma once

#include "ServiceIndex.h"
#include "kumquatbank/catalogue/catalogue.h"
#include "kumquatbank/causes/causes.h"

#include <memory>
#include <optional>

namespace kumquatbank {

/// A request with its catalogue entry, database, session and transaction.
struct ResolvedRequest {
    CallerRequest request; ///< Its transaction id is local to the group, without the holder's address.
    std::shared_ptr<const CatalogueEntry> entry;
    std::shared_ptr<const DatabaseDefinition> database;
    SessionToken session;
    ServiceIndex::Position position;
    std::optional<HostAddress> transactionHost; ///< Process that holds the request's open transaction.
};

/// Validates requests against the catalogue. Thread-safe.
class RequestResolver {
public:
    /// @param place place of this process, recorded with the causes of refusals.
    RequestResolver(const Catalogue& catalogue, std::string deployment, std::string place, CauseLedger& causes);

    /// NotRun if the entry or database is unknown, the entry does not allow the request, or the session token or
    /// transaction id is invalid.
    Result<ResolvedRequest> resolve(const CallerRequest& request);

    /// Transaction id for callers: the holder's address and the group-local id.
    static std::string qualifyTransaction(const HostAddress& holder, const std::string& transaction);

private:
    tl::unexpected<Failure> refuse(
        const CallerRequest& request, const CatalogueEntry& entry, FailureCode code, std::string message);

    const Catalogue& m_catalogue;
    const std::string m_deployment;
    const std::string m_place;
    CauseLedger& m_causes;
    ServiceIndex m_serviceIndex;
};

} // namespace kumquatbank
