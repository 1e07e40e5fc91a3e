#include "SessionPool.h"

#include <utility>

namespace kumquatbank::load {

namespace {

    // Sessions that a reader looks at before it accepts one without confirmed values.
    constexpr int readerTries = 8;

    // Below this number new sessions are made even if some are idle, so that keys vary.
    constexpr std::size_t minSessionsPerDatabase = 16;

} // namespace

SessionPool::SessionPool(std::size_t databases, std::string keyPrefix)
    : m_keyPrefix(std::move(keyPrefix))
    , m_databases(databases)
{
}

std::unique_ptr<Session> SessionPool::borrow(std::size_t database, std::mt19937_64& random, bool isReader)
{
    const std::lock_guard lock(m_mutex);
    auto& [idle, created] = m_databases.at(database);
    if (idle.empty() || (!isReader && created < minSessionsPerDatabase)) {
        const auto name = "-d" + std::to_string(database) + "s" + std::to_string(++created);
        return std::make_unique<Session>(database, m_keyPrefix + name);
    }
    std::uniform_int_distribution<std::size_t> pick(0, idle.size() - 1);
    auto n = pick(random);
    for (int tries = 1; isReader && tries < readerTries && !idle[n]->hasConfirmed(); ++tries)
        n = pick(random);
    std::swap(idle[n], idle.back());
    auto session = std::move(idle.back());
    idle.pop_back();
    return session;
}

void SessionPool::giveBack(std::unique_ptr<Session> session)
{
    if (session->isWornOut())
        return;
    const std::lock_guard lock(m_mutex);
    m_databases.at(session->database()).sessions.push_back(std::move(session));
}

} // namespace kumquatbank::load
