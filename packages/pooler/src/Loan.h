#pragma once

#include "ConnectionLease.h"
#include "kumquatbank/routing/StopSchedule.h"

#include <chrono>
#include <vector>

namespace kumquatbank {

/// A connection lent to another host. Forwards the borrower's lines to the endpoint and returns the answers.
class Loan {
public:
    enum class End {
        Returned, ///< The borrower returned the connection; the channel can carry the next loan.
        Broken,
    };

    /// @p stop: set once this host is to stop; must outlive this object.
    Loan(ConnectionLease lease, LineChannel& channel, std::chrono::milliseconds answerTimeout, const std::optional<StopSchedule>& stop);

    Task<End> run();
    /// Ends the loan if it is waiting for a statement that could no longer be run before this host stops. The borrower then
    /// sends none.
    void closeIfUnusable();

private:
    /// Reads all lines that have arrived, at least one. Returns false if the borrower's channel has closed.
    Task<bool> readBatch();
    void addLine(std::string_view line);
    /// Returns the answer to a PREPARE of a statement that the connection holds.
    std::string answerPrepare();
    /// Sends the batch to the endpoint and the answers to the borrower. Returns false if either exchange failed.
    Task<bool> exchangeBatch();
    /// Records the endpoint state that a reply indicates, for later requests.
    void recordReply(const DatabaseReply& reply, BootTime sentAt);

    ConnectionLease m_lease;
    LineChannel& m_channel;
    const std::chrono::milliseconds m_answerTimeout;
    const std::optional<StopSchedule>& m_stop;
    bool m_isIdle = false; ///< Waiting for a line of the borrower.
    bool m_isReturned = false;
    std::vector<bool> m_isForwarded; ///< For each line of the batch; false for one that is answered here.
    CommandBatch m_outgoing; ///< Lines of the batch for the endpoint.
    MemoryHold m_batchHold;
};

} // namespace kumquatbank
