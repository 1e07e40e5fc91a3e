#pragma once

#include "Session.h"

#include <memory>
#include <mutex>
#include <random>
#include <vector>

namespace kumquatbank::load {

/// Sessions that no operation uses at the moment. Callers borrow them, so a session moves between callers,
/// entries and proxies but runs one operation at a time. Thread-safe.
class SessionPool {
public:
    /// @param keyPrefix starts the key of every session.
    SessionPool(std::size_t databases, std::string keyPrefix);

    /// A random idle session of the database, or a new one. A reader prefers sessions that have confirmed
    /// values to check.
    std::unique_ptr<Session> borrow(std::size_t database, std::mt19937_64& random, bool isReader);

    void giveBack(std::unique_ptr<Session> session);

private:
    struct Idle {
        std::vector<std::unique_ptr<Session>> sessions;
        std::size_t created = 0;
    };

    const std::string m_keyPrefix;
    std::mutex m_mutex;
    std::vector<Idle> m_databases;
};

} // namespace kumquatbank::load
