#include "FailureDetector.h"

#include "StoppableSleep.h"

namespace kumquatbank {

namespace {

    /// A round or an exchange this much too late means that this process was paused.
    constexpr Milliseconds pauseMargin { 400 };
    constexpr unsigned roundsPerMeasurement = 10;

} // namespace

FailureDetector::FailureDetector(MemberTable& table, Gossip& gossip, PeerCaller& caller, ProbeQueue& probes,
    Milliseconds gossipInterval, Milliseconds probeTimeout)
    : m_gossip(gossip)
    , m_caller(caller)
    , m_probes(probes)
    , m_gossipInterval(gossipInterval)
    , m_probeTimeout(probeTimeout)
    , m_selector(table)
    , m_random(std::hash<std::string>()(table.self().address.toString()) + 2)
{
}

void FailureDetector::start()
{
    m_thread = std::jthread([this](const std::stop_token& stop) { run(stop); });
}

void FailureDetector::stop() { m_thread = {}; }

void FailureDetector::run(const std::stop_token& stop)
{
    // The random start spreads the rounds of processes that were started together.
    TimePoint due = Clock::now() + m_gossipInterval * static_cast<int>(m_random() % 100) / 100;
    m_measuredAt = Clock::now();
    for (;;) {
        sleepUntil(stop, due);
        if (stop.stop_requested())
            return;
        round(due);
        due = std::max(due + m_gossipInterval, Clock::now());
    }
}

void FailureDetector::round(TimePoint due)
{
    const TimePoint start = Clock::now();
    const bool wasPaused = start - due > pauseMargin;
    if (wasPaused)
        m_probes.forgiveAll(start);
    if (const auto peer = m_selector.next()) {
        const bool isAnswered = m_gossip.exchangeWith(*peer, m_probeTimeout);
        const bool isPausedSince = Clock::now() - start > m_probeTimeout + pauseMargin;
        if (isPausedSince)
            m_probes.forgiveAll(Clock::now());
        if (!isAnswered && !wasPaused && !isPausedSince)
            m_probes.confirm(*peer);
    }
    if (++m_rounds % roundsPerMeasurement == 0) {
        measure(Clock::now());
        m_caller.closeIdle();
    }
}

void FailureDetector::measure(TimePoint now)
{
    const std::uint64_t messages = m_caller.messageCount();
    const std::chrono::duration<double> elapsed = now - m_measuredAt;
    m_messagesPerSecond = static_cast<double>(messages - m_measuredMessages) / elapsed.count();
    m_measuredMessages = messages;
    m_measuredAt = now;
}

} // namespace kumquatbank
