#pragma once

#include "EndpointPool.h"
#include "GroupView.h"
#include "kumquatbank/admission/admission.h"

#include <map>
#include <memory>
#include <mutex>

namespace kumquatbank {

/// One open transaction and the resources it occupies. Members are destroyed in reverse order, so the connection is
/// returned first.
struct OpenTransaction {
    EntryLimiter::Permit permit;
    AdmissionTicket ticket;
    EndpointPool::Lease lease;
    PrimaryView primary;
    TimePoint lastUsed;
};

/// The open transactions of one group. A request checks its transaction out for exclusive use and checks it in again.
/// Thread-safe.
class TransactionTable {
public:
    TransactionTable(std::string database, std::uint64_t incarnation);

    /// Returns the id of the new transaction, which consists of database, incarnation, claim and a serial number.
    std::string add(std::unique_ptr<OpenTransaction> transaction, std::uint64_t claim);

    /// NotRun/UnknownTransaction when no transaction has this id, NotRun/Refused while another request uses it.
    Result<std::unique_ptr<OpenTransaction>> checkOut(const std::string& id);

    void checkIn(const std::string& id, std::unique_ptr<OpenTransaction> transaction);

    /// Removes a transaction that was checked out.
    void erase(const std::string& id);

    /// Closes the connections of transactions that were idle for @p limit or longer; the endpoint rolls them back.
    void closeIdle(Milliseconds limit);

    /// Closes every transaction that is not checked out.
    void closeAll();

    std::size_t size() const;

private:
    std::string idPrefix() const; ///< Of the ids that this process has assigned since its start.

    const std::string m_database;
    const std::uint64_t m_incarnation;
    mutable std::mutex m_mutex;
    std::uint64_t m_serial = 0;
    std::map<std::string, std::unique_ptr<OpenTransaction>> m_open; ///< Null while checked out.
};

} // namespace kumquatbank
