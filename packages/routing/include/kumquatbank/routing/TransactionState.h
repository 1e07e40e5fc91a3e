#pragma once

#include <string_view>

namespace kumquatbank {

/// Transaction state of a session after a response.
enum class TransactionState {
    None,
    Open,
    Failed, ///< The session accepts only the end of the transaction.
};

/// Returns the name for logs, for example "open".
std::string_view transactionStateName(TransactionState state);

} // namespace kumquatbank
