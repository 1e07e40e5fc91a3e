#pragma once

#include "kumquatbank/causes/CauseRow.h"

#include <vector>

namespace kumquatbank {

/// Rows of one process run: the value of a "causes" object and the answer to GET /causes. Both must carry the
/// identity the process started with, or CauseReport cannot tell that they are the same run.
struct CauseBatch {
    HostIdentity process;
    std::vector<CauseRow> rows;
    std::size_t omitted = 0; ///< Rows left out because the object would exceed the store's size limit.
};

/// As {"host","incarnation","place","rows","omitted"}; place and omitted may be missing when read.
void to_json(nlohmann::json& json, const CauseBatch& batch);
void from_json(const nlohmann::json& json, CauseBatch& batch); ///< Throws std::exception on bad input.

/// Name of the object that holds the rows of one hour: "<hour as Unix seconds>-<ip:port>-<incarnation>".
std::string causeObjectName(std::chrono::sys_seconds hour, const HostIdentity& process);

/// Rows that both arguments may hold, once each with the greatest counters: counters of one process run only
/// grow, so a smaller one is an older copy. Ordered by minute and key.
std::vector<CauseRow> mergeCopies(const std::vector<CauseRow>& first, const std::vector<CauseRow>& second);

} // namespace kumquatbank
