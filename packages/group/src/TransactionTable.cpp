#include "TransactionTable.h"

#include "Invariant.h"

namespace kumquatbank {

TransactionTable::TransactionTable(std::string database, std::uint64_t incarnation)
    : m_database(std::move(database))
    , m_incarnation(incarnation)
{
}

std::string TransactionTable::add(std::unique_ptr<OpenTransaction> transaction, std::uint64_t claim)
{
    const std::scoped_lock lock(m_mutex);
    auto id = idPrefix() + std::to_string(claim) + "." + std::to_string(++m_serial);
    invariant(m_open.emplace(id, std::move(transaction)).second, "a transaction id is unique");
    return id;
}

Result<std::unique_ptr<OpenTransaction>> TransactionTable::checkOut(const std::string& id)
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_open.find(id);
    if (it == m_open.end())
        return notRun(FailureCode::UnknownTransaction,
            "transaction '" + id
                + "' is not open in this process: it ended, exceeded the idle time-out or its proxy was replaced",
            id.starts_with(idPrefix()) ? Cause::BadRequest : Cause::HolderChange);
    if (!it->second)
        return notRun(FailureCode::Refused, "another request of transaction '" + id + "' is in progress",
            Cause::BadRequest);
    return std::move(it->second);
}

void TransactionTable::checkIn(const std::string& id, std::unique_ptr<OpenTransaction> transaction)
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_open.find(id);
    invariant(it != m_open.end() && !it->second, "a transaction is checked in by the request that checked it out");
    transaction->lastUsed = Clock::now();
    it->second = std::move(transaction);
}

void TransactionTable::erase(const std::string& id)
{
    const std::scoped_lock lock(m_mutex);
    invariant(m_open.erase(id) == 1, "a transaction ends only once");
}

void TransactionTable::closeIdle(Milliseconds limit)
{
    std::vector<std::unique_ptr<OpenTransaction>> closed;
    const std::scoped_lock lock(m_mutex);
    const auto now = Clock::now();
    for (auto it = m_open.begin(); it != m_open.end();) {
        if (!it->second || now - it->second->lastUsed < limit) {
            ++it;
            continue;
        }
        closed.push_back(std::move(it->second));
        it = m_open.erase(it);
    }
}

void TransactionTable::closeAll() { closeIdle(Milliseconds(0)); }

std::string TransactionTable::idPrefix() const
{
    return m_database + "." + std::to_string(m_incarnation) + ".";
}

std::size_t TransactionTable::size() const
{
    const std::scoped_lock lock(m_mutex);
    return m_open.size();
}

} // namespace kumquatbank
