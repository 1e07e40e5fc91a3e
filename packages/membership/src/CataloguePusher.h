#pragma once

#include "CatalogueParts.h"
#include "CatalogueReader.h"
#include "PeerCaller.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <thread>

namespace kumquatbank {

/// Sends new catalogue changes to random peers that are not known to have them, and to peers whose exchange
/// showed that they are behind. Thread-safe.
class CataloguePusher {
public:
    CataloguePusher(Catalogue& catalogue, MemberTable& table, PeerCaller& caller, CatalogueReader& reader,
        CatalogueParts& parts, std::size_t fanout);
    ~CataloguePusher();
    CataloguePusher(const CataloguePusher&) = delete;
    CataloguePusher& operator=(const CataloguePusher&) = delete;

    void start();
    void stop();

    /// Records which revision @p peer has; asks it for changes if it is ahead, sends it changes if behind.
    void noteRevision(const HostAddress& peer, std::uint64_t revision);

    /// Answers a CataloguePush message; throws std::exception on bad input.
    nlohmann::json answer(const PeerMessage& message);

private:
    /// Outlives this object in the catalogue's listener.
    struct Signal {
        std::mutex mutex;
        std::condition_variable_any wake;
        bool hasChange = false;
        std::set<HostAddress> behind;
    };

    void run(const std::stop_token& stop);
    void pushChanges();
    void send(const HostAddress& peer, std::uint64_t since);
    std::vector<HostAddress> chooseTargets(std::uint64_t revision);
    std::uint64_t knownRevision(const HostAddress& peer);

    Catalogue& m_catalogue;
    MemberTable& m_table;
    PeerCaller& m_caller;
    CatalogueReader& m_reader;
    CatalogueParts& m_parts;
    const std::size_t m_fanout;
    std::shared_ptr<Signal> m_signal = std::make_shared<Signal>();
    std::mutex m_mutex;
    std::map<HostAddress, std::uint64_t> m_known; ///< Revisions that peers are known to have.
    std::uint64_t m_pushed = 0; ///< Used by the push thread only.
    std::mt19937_64 m_random;
    std::jthread m_thread;
};

} // namespace kumquatbank
