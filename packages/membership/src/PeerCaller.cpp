#include "PeerCaller.h"

#include <thread>

namespace kumquatbank {

namespace {

    /// At the target size a process talks to a random peer twice a second and would otherwise keep thousands
    /// of connections.
    constexpr std::chrono::minutes idleLimit { 1 };

} // namespace

PeerCaller::PeerCaller(PeerClient& peers, const MemberTable& table)
    : m_peers(peers)
    , m_table(table)
{
}

Result<nlohmann::json> PeerCaller::call(
    const HostAddress& peer, PeerMessageType type, nlohmann::json body, Milliseconds timeout)
{
    ++m_messages;
    return m_peers.call(peer, { type, m_table.self(), std::move(body) }, timeout);
}

bool PeerCaller::ping(const HostAddress& peer, Milliseconds timeout)
{
    ++m_messages;
    const nlohmann::json body = { { "address", peer.toString() }, { "timeoutMs", timeout.count() } };
    const auto answer = m_peers.callFresh(peer, { PeerMessageType::IndirectProbe, m_table.self(), body }, timeout);
    return answer && answer->value("reachable", false);
}

bool PeerCaller::pingThrough(const HostAddress& helper, const HostAddress& target, Milliseconds timeout)
{
    // The helper gives up earlier, so that its answer still arrives in time.
    const Milliseconds helperTimeout = timeout * 4 / 5;
    const nlohmann::json body = { { "address", target.toString() }, { "timeoutMs", helperTimeout.count() } };
    const auto answer = call(helper, PeerMessageType::IndirectProbe, body, timeout);
    return answer && answer->value("reachable", false);
}

nlohmann::json PeerCaller::answerProbe(const nlohmann::json& body)
{
    const auto target = HostAddress::parse(body.at("address").get<std::string>());
    if (!target)
        return { { "reachable", false } };
    if (*target == m_table.self().address)
        return { { "reachable", true } };
    // A request from outside must not hold a server thread for long.
    const Milliseconds timeout = std::min(Milliseconds(body.at("timeoutMs").get<int>()), Milliseconds(1000));
    return { { "reachable", ping(*target, timeout) } };
}

void PeerCaller::forEach(
    const std::vector<HostAddress>& addresses, const std::function<void(const HostAddress&)>& task)
{
    std::vector<std::jthread> threads;
    for (const HostAddress& it : addresses)
        threads.emplace_back([&task, &it] { task(it); });
}

void PeerCaller::closeIdle() { m_peers.closeIdle(idleLimit); }

} // namespace kumquatbank
