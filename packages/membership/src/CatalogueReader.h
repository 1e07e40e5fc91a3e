#pragma once

#include "CatalogueParts.h"
#include "PeerCaller.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

namespace kumquatbank {

/// Loads from a peer the catalogue changes this process lacks, part by part, on one thread. Thread-safe.
class CatalogueReader {
public:
    CatalogueReader(Catalogue& catalogue, MemberTable& table, PeerCaller& caller);

    void start();
    void stop();

    /// Asks @p peer, which is ahead, for its changes; does not wait. Ignored while another peer is asked.
    void request(const HostAddress& peer);

    /// Loads from @p peer now. With @p withMembers the peer also sends its member table and learns of this
    /// process. @return true if the peer answered, even if it has no catalogue itself.
    bool load(const HostAddress& peer, bool withMembers);

    /// Applies a delta that came with another message; throws std::exception on bad input.
    void apply(const nlohmann::json& delta);

    /// Marks the copy as complete after a relay has listed the platform's store.
    void setSynchronized() { m_isSynchronized = true; }
    bool isSynchronized() const { return m_isSynchronized; }

    /// Revision to tell peers; 0 until there is a catalogue.
    std::uint64_t revision() const { return m_catalogue.revision(); }

private:
    void run(const std::stop_token& stop);
    bool applyDelta(const CatalogueDelta& delta);

    Catalogue& m_catalogue;
    MemberTable& m_table;
    PeerCaller& m_caller;
    std::atomic<bool> m_isSynchronized { false };
    std::mutex m_loading; ///< One load at a time: a snapshot takes tens of megabytes at the target size.
    std::mutex m_mutex;
    std::condition_variable_any m_wake;
    std::optional<HostAddress> m_requested;
    std::jthread m_thread;
};

} // namespace kumquatbank
