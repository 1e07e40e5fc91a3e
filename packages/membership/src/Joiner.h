#pragma once

#include "CatalogueReader.h"

#include <atomic>
#include <random>
#include <thread>

namespace kumquatbank {

/// Asks the seeds, in random order and with backoff, for the member table and the catalogue until the
/// catalogue is there, from a seed or in any other way.
class Joiner {
public:
    Joiner(CatalogueReader& reader, std::vector<HostAddress> seeds, const HostIdentity& self);

    void start();
    void stop();

    /// True once a seed has answered or all have been tried; before that this process must not act as relay,
    /// because it does not know the others.
    bool hasTriedSeeds() const { return m_hasTriedSeeds; }

private:
    void run(const std::stop_token& stop);

    CatalogueReader& m_reader;
    std::vector<HostAddress> m_seeds;
    std::mt19937_64 m_random;
    std::atomic<bool> m_hasTriedSeeds { false };
    std::jthread m_thread;
};

} // namespace kumquatbank
