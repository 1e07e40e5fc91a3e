#pragma once

#include "History.h"
#include "ProxyClient.h"
#include "SessionPool.h"

namespace kumquatbank::load {

/// What the callers of a run share.
struct LoadContext {
    const LoadOptions& options;
    SessionPool& sessions;
    History& history;
    Statistics& statistics;
    TimePoint end; ///< No operation begins later.
};

/// One caller of one item of the mix: runs operations one after another until the run's end.
class Caller {
public:
    Caller(LoadContext context, std::size_t item, unsigned number);

    void run();

private:
    void awaitNextStart(TimePoint& next);
    void runRead(Session& session);
    void runWrite(Session& session);
    void runTransaction(Session& session);

    /// Appends the marker to both keys inside the open transaction. False when a step was not answered.
    bool runTransactionSteps(Session& session, const Operation& operation, const std::string& transaction);

    /// Tries the request until it is answered, given up or known not to run.
    Outcome runToOutcome(Session& session, CallerRequest request, const std::string& value);

    CallResult tryOnce(CallerRequest& request, bool isRepeated);
    CallerRequest makeRequest(const Session& session, RequestKind kind, std::string statement) const;
    void finishOperation(Session& session, Operation operation);
    std::string rowsProblem(const CallerAnswer& answer, const std::string& value) const;
    std::size_t pickDatabase();
    bool decide(double probability);

    LoadContext m_context;
    const std::size_t m_itemIndex;
    const MixItem& m_item;
    const std::vector<std::size_t> m_databases; ///< Indices of the databases that the item uses.
    const std::string m_name; ///< Prefix of request ids.
    std::mt19937_64 m_random;
    ProxyClient m_client;
    std::uint64_t m_requests = 0;
};

} // namespace kumquatbank::load
