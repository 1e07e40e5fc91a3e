#pragma once

#include "ClientSession.h"

#include <memory>
#include <vector>

namespace kumquatbank {

/// The client sessions of a process. Keeps none of them alive.
class SessionList {
public:
    void add(const std::shared_ptr<ClientSession>& session);
    std::vector<std::shared_ptr<ClientSession>> all() const;

    /// Closes the client that has owed its first message, or the rest of one, for longest if @p limit connections are open;
    /// one inside a transaction only if there is no other. Returns false if there is none; sessions that wait between whole messages stay.
    bool makeRoom(std::size_t limit) const;

private:
    std::vector<std::weak_ptr<ClientSession>> m_sessions;
};

} // namespace kumquatbank
