#include "FaultInjector.h"

#include <stdexcept>

namespace kumquatbank::standin {

namespace {

    std::string ipOf(const std::string& socketAddress)
    {
        return socketAddress.substr(0, socketAddress.rfind(':'));
    }

} // namespace

FaultInjector::FaultInjector(Milliseconds lag)
    : m_initialLag(lag)
    , m_lag(lag)
{
}

void FaultInjector::apply(const nlohmann::json& command)
{
    const auto fault = command.at("fault").get<std::string>();
    const std::lock_guard lock(m_mutex);
    if (fault == "freeze") {
        m_isFrozen = true;
    } else if (fault == "slow") {
        m_slowness = Milliseconds(command.at("ms").get<unsigned>());
    } else if (fault == "lag") {
        m_lag = Milliseconds(command.at("ms").get<unsigned>());
    } else if (fault == "cut") {
        m_cut = command.at("from").get<std::set<std::string>>();
    } else if (fault == "silence") {
        ++m_silenceGeneration;
    } else if (fault == "lose_answer") {
        m_lostAnswers = command.at("count").get<std::uint64_t>();
    } else if (fault == "clear") {
        m_isFrozen = false;
        m_slowness = Milliseconds(0);
        m_lag = m_initialLag;
        m_cut.clear();
        m_lostAnswers = 0;
    } else {
        throw std::invalid_argument("unknown fault '" + fault + "'");
    }
    m_changed.notify_all();
}

void FaultInjector::waitWhileFrozen() const
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] { return !m_isFrozen || m_isStopped; });
}

bool FaultInjector::drops(const RemoteParty& party) const
{
    const std::lock_guard lock(m_mutex);
    return party.silenceGeneration < m_silenceGeneration || m_cut.contains(party.isPeer ? "peers" : "clients")
        || (!party.name.empty() && m_cut.contains(party.name)) || m_cut.contains(party.socketAddress)
        || m_cut.contains(ipOf(party.socketAddress));
}

bool FaultInjector::takeLostAnswer()
{
    const std::lock_guard lock(m_mutex);
    if (m_lostAnswers == 0)
        return false;
    --m_lostAnswers;
    return true;
}

std::uint64_t FaultInjector::silenceGeneration() const
{
    const std::lock_guard lock(m_mutex);
    return m_silenceGeneration;
}

Milliseconds FaultInjector::slowness() const
{
    const std::lock_guard lock(m_mutex);
    return m_slowness;
}

Milliseconds FaultInjector::lag() const
{
    const std::lock_guard lock(m_mutex);
    return m_lag;
}

nlohmann::json FaultInjector::status() const
{
    const std::lock_guard lock(m_mutex);
    return { { "frozen", m_isFrozen }, { "slowMs", m_slowness.count() }, { "lagMs", m_lag.count() },
        { "cut", m_cut }, { "loseAnswers", m_lostAnswers }, { "silences", m_silenceGeneration } };
}

void FaultInjector::stop()
{
    const std::lock_guard lock(m_mutex);
    m_isStopped = true;
    m_changed.notify_all();
}

} // namespace kumquatbank::standin
