#pragma once

#include "GroupView.h"
#include "ParallelCalls.h"

#include <atomic>

namespace kumquatbank {

/// Replaces a group's primary by means of the terms that the group's slots grant. Several promoters may run at the same
/// time, because a majority of slots grants a term to only one proposer. Not thread-safe, except for state().
class Promotion {
public:
    /// @param addresses addresses of the slots, for `follow`. @param proposer unique name of this promoter.
    Promotion(GroupView& view, std::vector<EndpointControl*> controls, std::vector<HostAddress> addresses,
        std::string proposer);

    /// Fences all slots with a new term and promotes the one whose log is greatest in a majority.
    /// NotRun/Conflict when another promoter was faster, NotRun/Unavailable when no majority answered, MayHaveRun when
    /// the answer to `promote` was lost, which a later attempt with a greater term resolves.
    /// @param excluded slot that is not contacted: it answers this process, but its replicas cannot reach it.
    Result<PrimaryView> attempt(const std::string& reason, std::optional<std::size_t> excluded = std::nullopt);

    /// Makes slots that are in a lower term or have lost contact with the primary follow it.
    void reattachReplicas();

    nlohmann::json state() const; ///< Counts of promotions and of failed attempts, and the recent promotions.

private:
    Result<PrimaryView> promote(const std::vector<ParallelCalls::Reply>& granted, Term term);
    void follow(const PrimaryView& primary, const std::vector<std::size_t>& slots);

    GroupView& m_view;
    const std::vector<EndpointControl*> m_controls;
    const std::vector<HostAddress> m_addresses;
    const std::string m_proposer;
    Term m_lastTerm = 0;
    std::vector<TimePoint> m_lastFollowAt;

    mutable std::mutex m_mutex;
    nlohmann::json m_recent = nlohmann::json::array();
    std::uint64_t m_count = 0;
    std::uint64_t m_failures = 0;
};

} // namespace kumquatbank
