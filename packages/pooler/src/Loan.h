#pragma once

#include "ConnectionLease.h"

#include <chrono>
#include <vector>

namespace kumquatbank {

/// A connection in use by another host: passes the borrower's lines to the endpoint and the answers back.
class Loan {
public:
    enum class End {
        Returned, ///< The channel is free for the next loan.
        Broken,
    };

    Loan(ConnectionLease lease, LineChannel& channel, std::chrono::milliseconds answerTimeout);

    Task<End> run();

private:
    /// A line of the borrower, and what its answer changes.
    struct Command {
        bool isAnsweredLocally = false; ///< The connection has the prepared statement already.
        std::string preparedName;
        std::string valueName;
        std::string value;
    };

    /// Reads all lines that have arrived, at least one. False if the borrower is gone.
    Task<bool> readBatch();
    void addLine(std::string_view line);
    /// Sends the batch to the endpoint and its answers to the borrower. False if either is gone.
    Task<bool> exchangeBatch();
    /// Records what a reply says of the endpoint, for the borrowers that come later.
    void recordReply(const DatabaseReply& reply, BootTime sentAt);

    ConnectionLease m_lease;
    LineChannel& m_channel;
    const std::chrono::milliseconds m_answerTimeout;
    bool m_needsReset; ///< The connection has values of another session.
    bool m_isReturned = false;
    std::vector<Command> m_batch;
    std::string m_outgoing; ///< Of the batch, for the endpoint.
};

} // namespace kumquatbank
