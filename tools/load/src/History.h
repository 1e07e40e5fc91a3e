#pragma once

#include <cstddef>
#include <mutex>
#include <string>
#include <vector>

namespace kumquatbank::load {

/// What the caller was told of a whole operation, over all its tries.
enum class Outcome {
    Confirmed, ///< One try was answered.
    NotRun, ///< Every try was answered with not_run.
    Uncertain, ///< A try may have run and none was answered.
};

/// One write or transaction.
struct Operation {
    std::size_t database = 0;
    std::string key; ///< Key of the session; a transaction also appends to secondKey().
    std::string value; ///< Unique value, or the transaction's marker.
    bool isTransaction = false;
    Outcome outcome = Outcome::Uncertain;

    std::string secondKey() const { return key + "/second"; }
};

/// Every write and transaction of a run. Thread-safe.
class History {
public:
    void add(Operation operation)
    {
        const std::lock_guard lock(m_mutex);
        m_operations.push_back(std::move(operation));
    }

    /// To be called when no caller runs any more.
    const std::vector<Operation>& operations() const { return m_operations; }

private:
    std::mutex m_mutex;
    std::vector<Operation> m_operations;
};

} // namespace kumquatbank::load
