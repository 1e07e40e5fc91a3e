#pragma once

#include "kumquatbank/core/core.h"

#include <condition_variable>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace kumquatbank::standin {

/// Who is at the other end of a connection, as far as faults are concerned.
struct RemoteParty {
    bool isPeer = false; ///< Another slot of the group; else a caller.
    std::string name {}; ///< Host of the hello or address of the slot; empty until it is known.
    std::string socketAddress {}; ///< "ip:port" of the remote socket.
    std::uint64_t silenceGeneration = 0; ///< FaultInjector::silenceGeneration() when the connection was accepted.
};

/// The faults of one slot. Thread-safe.
class FaultInjector {
public:
    explicit FaultInjector(Milliseconds lag);

    /// Applies {"fault": name, ...}; throws std::exception on invalid input. "clear" ends every fault, but
    /// silenced connections stay silent. "leave" belongs to the ConnectionRegistry and is not handled here.
    void apply(const nlohmann::json& command);

    /// Returns at once unless frozen; ends when the freeze is cleared or the slot stops.
    void waitWhileFrozen() const;

    /// True when traffic from and to @p party is dropped by a cut or by silence.
    bool drops(const RemoteParty& party) const;

    /// True, and counted, when the answer of a change that just took effect must be lost.
    bool takeLostAnswer();

    std::uint64_t silenceGeneration() const;
    Milliseconds slowness() const; ///< Added to every request.
    Milliseconds lag() const;
    nlohmann::json status() const;

    /// Ends every freeze, now and later.
    void stop();

private:
    const Milliseconds m_initialLag;
    mutable std::mutex m_mutex;
    mutable std::condition_variable m_changed;
    bool m_isStopped = false;
    bool m_isFrozen = false;
    Milliseconds m_slowness { 0 };
    Milliseconds m_lag;
    std::set<std::string> m_cut;
    std::uint64_t m_lostAnswers = 0;
    std::uint64_t m_silenceGeneration = 0;
};

} // namespace kumquatbank::standin
