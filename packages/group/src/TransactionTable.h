#pragma once

#include "EndpointPool.h"
#include "GroupView.h"
#include "kumquatbank/admission/admission.h"

#include <map>
#include <memory>
#include <mutex>

namespace kumquatbank {

/// One open transaction and what it occupies. Members end in reverse order: the connection first.
struct OpenTransaction {
    EntryLimiter::Permit permit;
    AdmissionTicket ticket;
    EndpointPool::Lease lease;
    PrimaryView primary;
    TimePoint lastUsed;
};

/// The open transactions of one group. A request takes its transaction out for exclusive use and puts it back.
/// Thread-safe.
class TransactionTable {
public:
    TransactionTable(std::string database, std::uint64_t incarnation);

    /// Returns the id of the new transaction; it names database, incarnation, claim and a serial number.
    std::string add(std::unique_ptr<OpenTransaction> transaction, std::uint64_t claim);

    /// NotRun/UnknownTransaction when there is none with this id, NotRun/Refused while another request uses it.
    Result<std::unique_ptr<OpenTransaction>> checkOut(const std::string& id);

    void checkIn(const std::string& id, std::unique_ptr<OpenTransaction> transaction);

    /// Forgets a transaction that was taken.
    void erase(const std::string& id);

    /// Closes the connections of transactions idle for longer than @p limit; the endpoint rolls them back.
    void closeIdle(Milliseconds limit);

    /// Closes every transaction that no request uses now.
    void closeAll();

    std::size_t size() const;

private:
    std::string idPrefix() const; ///< Of the ids made by this run of the process.

    const std::string m_database;
    const std::uint64_t m_incarnation;
    mutable std::mutex m_mutex;
    std::uint64_t m_serial = 0;
    std::map<std::string, std::unique_ptr<OpenTransaction>> m_open; ///< Null while a request uses it.
};

} // namespace kumquatbank
