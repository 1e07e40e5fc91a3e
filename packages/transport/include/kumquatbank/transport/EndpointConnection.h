#pragma once

#include "kumquatbank/core/core.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace kumquatbank {

/// One TCP connection to an endpoint that carries JSON-RPC 2.0, one object per line.
/// Not thread-safe: one call at a time.
class EndpointConnection {
public:
    /// Connects; NotRun/Unreachable or NotRun/Timeout on failure.
    static Result<std::unique_ptr<EndpointConnection>> open(const HostAddress& address, const Deadline& deadline);

    ~EndpointConnection();
    EndpointConnection(const EndpointConnection&) = delete;
    EndpointConnection& operator=(const EndpointConnection&) = delete;

    /// Sends one request and waits for its response until the deadline. An error response gives the failure
    /// it names (data.verdict). After a timeout, a broken line, a foreign id or a closed connection the
    /// failure is MayHaveRun, unless no byte was sent, and the connection is unusable.
    Result<nlohmann::json> call(const std::string& method, const nlohmann::json& params, const Deadline& deadline);

    /// Ends a call in progress, which fails as after a closed connection. May be called from any thread.
    void abort();

    /// False after the first failure that leaves the connection's state unknown.
    bool isUsable() const;

private:
    class Impl;
    explicit EndpointConnection(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace kumquatbank
