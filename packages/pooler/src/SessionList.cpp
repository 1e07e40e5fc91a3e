#include "SessionList.h"

#include <algorithm>
#include <tuple>

namespace kumquatbank {

namespace {

    /// A client that owes a message for this long may be closed for another one. Clients send START with the connection.
    constexpr std::chrono::milliseconds messageGrace { 1000 };

} // namespace

void SessionList::add(const std::shared_ptr<ClientSession>& session)
{
    std::erase_if(m_sessions, [](const auto& weakSession) { return weakSession.expired(); });
    m_sessions.push_back(session);
}

std::vector<std::shared_ptr<ClientSession>> SessionList::all() const
{
    std::vector<std::shared_ptr<ClientSession>> open;
    for (const auto& weakSession : m_sessions) {
        if (auto session = weakSession.lock())
            open.push_back(std::move(session));
    }
    return open;
}

bool SessionList::makeRoom(std::size_t limit) const
{
    if (m_sessions.size() < limit)
        return true;
    auto open = all();
    std::erase_if(open, [](const auto& session) { return !session->isOpen(); });
    if (open.size() < limit)
        return true;
    const auto since = [](const auto& session) { return session->incompleteSince().value_or(BootTime::max()); };
    const auto owedBefore = BootClock::now() - messageGrace;
    std::erase_if(open, [&](const auto& session) { return since(session) > owedBefore; });
    const auto longest = std::ranges::min_element(open, {}, [&](const auto& session) { return std::tuple(session->memoryPhase() == MemoryHolder::Phase::InTransaction, since(session)); });
    if (longest == open.end())
        return false;
    (*longest)->closeForDescriptors();
    return true;
}

} // namespace kumquatbank
