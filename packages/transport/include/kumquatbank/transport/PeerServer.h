#pragma once

#include "kumquatbank/transport/PeerMessage.h"

#include <functional>
#include <memory>

namespace kumquatbank {

/// Answers peer messages with one thread per request in progress.
class PeerServer {
public:
    /// Called concurrently on server threads; must not throw. The result is the response body.
    using Handler = std::function<nlohmann::json(const PeerMessage&)>;

    PeerServer(HostAddress address, unsigned threads, Handler handler);
    ~PeerServer();
    PeerServer(const PeerServer&) = delete;
    PeerServer& operator=(const PeerServer&) = delete;

    /// Listens; NotRun/Unavailable when the address cannot be used.
    Result<void> start();

    /// Finishes requests in progress and closes the socket. Idempotent.
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace kumquatbank
