#include "Joiner.h"

#include "RetryDelay.h"
#include "StoppableSleep.h"

#include <algorithm>

namespace kumquatbank {

namespace {

    constexpr Milliseconds minBackoff { 100 };
    constexpr Milliseconds maxBackoff { 2000 };

} // namespace

Joiner::Joiner(CatalogueReader& reader, std::vector<HostAddress> seeds, const HostIdentity& self)
    : m_reader(reader)
    , m_seeds(std::move(seeds))
    , m_random(std::hash<std::string>()(self.address.toString()) + 3)
{
    std::erase(m_seeds, self.address);
}

void Joiner::start()
{
    m_thread = std::jthread([this](const std::stop_token& stop) { run(stop); });
}

void Joiner::stop() { m_thread = {}; }

void Joiner::run(const std::stop_token& stop)
{
    RetryDelay backoff(minBackoff, maxBackoff, m_random());
    while (!stop.stop_requested()) {
        std::ranges::shuffle(m_seeds, m_random);
        for (const HostAddress& seed : m_seeds) {
            if (stop.stop_requested())
                return;
            if (m_reader.load(seed, true))
                m_hasTriedSeeds = true;
            if (m_reader.isSynchronized())
                break;
        }
        m_hasTriedSeeds = true;
        if (m_reader.isSynchronized())
            return;
        sleepUntil(stop, Clock::now() + backoff.next());
    }
}

} // namespace kumquatbank
