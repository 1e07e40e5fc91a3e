#pragma once

#include "RowCodec.h"
#include "UpdateQueue.h"

#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <span>
#include <vector>

namespace kumquatbank {

/// What this process believes of every proxy process. A row moves only to a greater (incarnation, state);
/// only the process itself can make its row Alive again, with a greater incarnation. A peer's claim that a
/// row is Dead while this table holds it Alive, or the reverse, at the same incarnation, changes nothing: the
/// row becomes contested and its process is asked. Without this rule two halves that held each other as dead
/// would mark the whole fleet dead when they meet. Thread-safe.
class MemberTable {
public:
    /// @p suspicionTime: from suspicion to death in a table of up to 16 rows; grows with the logarithm of
    /// the size, because a refutation needs as many rounds to spread.
    MemberTable(HostIdentity self, Milliseconds suspicionTime);

    HostIdentity self() const;
    Member selfRow() const;

    /// Takes over newer rows from a peer; refutes rows that call this process anything it is not.
    void merge(std::span<const Member> rows, TimePoint now);

    /// Suspects a process that answered neither directly nor through others. A Leaving one is dead at once.
    void suspect(const HostAddress& address, std::uint64_t incarnation, TimePoint now);

    /// As suspect(), for a process that a peer claims to be Dead and that did not answer this process or its
    /// helpers either: the suspicion lasts a quarter of its usual time, because the peer waited a whole one.
    void suspectClaimedDead(const HostAddress& address, std::uint64_t incarnation, TimePoint now);

    /// Turns expired suspicions into deaths and forgets rows that have been dead for a long time. Call it
    /// several times a second: a gap of more than a second means that this process was paused and may have
    /// missed refutations, so all suspicions start again.
    void expire(TimePoint now);

    /// Starts all suspicions again, because this process was paused and may have missed refutations.
    void restartSuspicions(TimePoint now);

    /// Marks this process as Leaving, under a greater incarnation.
    void announceLeaving();

    std::optional<Member> find(const HostAddress& address) const;
    std::vector<Member> members() const; ///< Without Dead rows; includes this process.
    std::vector<HostAddress> peers(MemberState state) const; ///< Other processes in this state.
    std::vector<HostAddress> livePeers(const std::string& place) const; ///< Not Dead; empty place: everywhere.
    std::size_t liveCount() const; ///< Rows that are not Dead; includes this process.
    std::uint64_t version() const; ///< Grows with every change.
    std::size_t pendingUpdates() const;

    /// Rows to piggyback on one message.
    std::vector<Member> takeUpdates();

    std::vector<PlaceDigest> digests() const;

    /// A place whose digest differs from @p theirs and is worth a comparison row by row; changes that still
    /// spread by piggybacking do not count, except in small places or when many rows are missing.
    std::optional<std::uint64_t> differingPlace(std::span<const PlaceDigest> theirs, TimePoint now);

    std::vector<Member> rowsOf(std::uint64_t placeHash) const; ///< Includes Dead rows.
    std::vector<Member> allRows() const;

    /// Own rows of the place that are newer than in @p theirs or missing there.
    std::vector<Member> newerRows(std::uint64_t placeHash, std::span<const Member> theirs) const;

    /// Removes and returns up to @p count contested rows, as claimed Dead, in random order.
    std::vector<Member> takeContested(std::size_t count);

private:
    struct Row {
        Member member;
        TimePoint since {}; ///< When the state was entered; the time of death or start of the suspicion.
        bool isClaimedDead = false; ///< A suspicion that confirms a peer's Dead claim.
    };
    struct Place {
        std::uint16_t rowCount = 0;
        std::uint64_t digest = 0;
        TimePoint lastChange {};
    };

    void mergeOne(const Member& claim, TimePoint now);
    void refute(const Member& claim, TimePoint now);
    void store(const Member& member, TimePoint now);
    bool startSuspicion(const HostAddress& address, std::uint64_t incarnation, TimePoint now);
    void restartAll(TimePoint now);
    void count(const Member& member, int sign, TimePoint now);
    Milliseconds scaledSuspicionTime() const;

    mutable std::mutex m_mutex;
    const HostAddress m_selfAddress;
    const Milliseconds m_suspicionTime;
    std::map<HostAddress, Row> m_rows;
    std::map<std::string, Place> m_places;
    std::map<HostAddress, Member> m_contested;
    UpdateQueue m_updates;
    std::size_t m_liveCount = 0;
    std::uint64_t m_version = 0;
    std::optional<TimePoint> m_lastExpire;
    std::mt19937_64 m_random;
};

} // namespace kumquatbank
