#include "RequestResolver.h"

namespace kumquatbank {

namespace {

    constexpr char transactionSeparator = '/';

} // namespace

RequestResolver::RequestResolver(
    const Catalogue& catalogue, std::string deployment, std::string place, CauseLedger& causes)
    : m_catalogue(catalogue)
    , m_deployment(std::move(deployment))
    , m_place(std::move(place))
    , m_causes(causes)
    , m_serviceIndex(catalogue)
{
}

Result<ResolvedRequest> RequestResolver::resolve(const CallerRequest& request)
{
    auto entry = m_catalogue.findEntry(request.entry);
    if (!entry)
        return notRun(
            FailureCode::UnknownEntry, "entry '" + request.entry + "' is not in the catalogue", Cause::BadRequest);
    auto database = m_catalogue.findDatabase(request.database);
    if (!database)
        return refuse(request, *entry, FailureCode::UnknownDatabase, "database '" + request.database + "' is unknown");
    if (database->service != entry->service)
        return refuse(request, *entry, FailureCode::BadRequest,
            "entry '" + entry->name + "' is for service '" + entry->service + "', database '" + database->name
                + "' belongs to '" + database->service + "'");
    if (!entry->accepts(request.kind, !request.transaction.empty()))
        return refuse(request, *entry, FailureCode::BadRequest,
            "entry '" + entry->name + "' does not accept '" + std::string(requestKindName(request.kind)) + "'");

    auto session = SessionToken::decode(request.session, m_deployment);
    if (!session)
        return tl::unexpected(session.error());
    ResolvedRequest resolved { request, std::move(entry), std::move(database), std::move(*session),
        m_serviceIndex.find(request.database), std::nullopt };
    if (request.transaction.empty())
        return resolved;

    const auto separator = request.transaction.find(transactionSeparator);
    const auto holder = HostAddress::parse(request.transaction.substr(0, separator));
    if (separator == std::string::npos || !holder)
        return refuse(request, *resolved.entry, FailureCode::UnknownTransaction, "the transaction id is malformed");
    resolved.transactionHost = *holder;
    resolved.request.transaction = request.transaction.substr(separator + 1);
    return resolved;
}

tl::unexpected<Failure> RequestResolver::refuse(
    const CallerRequest& request, const CatalogueEntry& entry, FailureCode code, std::string message)
{
    m_causes.recordRefusal(
        { entry.name, entry.owner, entry.rank, request.database, m_place, Cause::BadRequest }, Milliseconds(0));
    auto failure = notRun(code, std::move(message), Cause::BadRequest).value();
    failure.entry = entry.name;
    failure.owner = entry.owner;
    return tl::unexpected(std::move(failure));
}

std::string RequestResolver::qualifyTransaction(const HostAddress& holder, const std::string& transaction)
{
    return holder.toString() + transactionSeparator + transaction;
}

} // namespace kumquatbank
