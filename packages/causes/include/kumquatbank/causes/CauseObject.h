#pragma once

#include "kumquatbank/causes/CauseRow.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace kumquatbank {

/// Start of an hour, wall clock.
using CauseHour = std::chrono::sys_time<std::chrono::hours>;

/// Rows that one run of a process counted.
struct CauseSource {
    std::string run; ///< "<ip:port>-<incarnation>".
    std::vector<CauseRow> rows;
};

void to_json(nlohmann::json& json, const CauseSource& source);
void from_json(const nlohmann::json& json, CauseSource& source); ///< Throws std::exception on bad input.

/// Name of one run of a process; also the name of its objects on the platform.
std::string causeRun(const HostIdentity& identity);

/// Kind of the platform objects that hold one hour, "causes-<Unix seconds>". One kind per hour lets a reader
/// list the hours of its window alone.
std::string causesKind(CauseHour hour);

/// Hours that overlap from <= time < to, in order.
std::vector<CauseHour> hoursBetween(WallTime from, WallTime to);

} // namespace kumquatbank
