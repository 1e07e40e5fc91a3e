#pragma once

#include <string_view>

namespace kumquatbank {

/// What is known about whether a request took effect.
enum class Verdict {
    Answered, ///< It ran and its whole answer is here.
    NotRun, ///< It was not run; repeating it is safe.
    MayHaveRun, ///< It may have run; only an idempotency key makes repeating it safe.
};

/// Name on the wire: "answered", "not_run" or "may_have_run".
std::string_view verdictName(Verdict verdict);

/// Reads a name made by verdictName(); an unknown name is MayHaveRun, the weakest statement.
Verdict parseVerdict(std::string_view name);

} // namespace kumquatbank
