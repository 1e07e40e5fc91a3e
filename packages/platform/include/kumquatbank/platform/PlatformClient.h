#pragma once

#include "kumquatbank/platform/PlatformObject.h"

#include <cstdint>
#include <memory>

namespace kumquatbank {

/// Bounds of a PlatformClient.
struct PlatformClientOptions {
    Milliseconds timeout { 2000 }; ///< For one call, on top of a watch's waiting time.
    double maxCallsPerSecond = 5; ///< Further calls are refused with NotRun/Refused, not queued.
    Milliseconds minBackoff { 200 };
    Milliseconds maxBackoff { 15'000 };
};

/// Client of the platform's object API. Thread-safe: calls run concurrently, each on its own connection.
/// After a failure further calls are refused with NotRun/Unavailable until an exponential backoff with full
/// jitter has passed. Every call is counted.
class PlatformClient {
public:
    PlatformClient(HostAddress platform, PlatformClientOptions options);
    ~PlatformClient();
    PlatformClient(const PlatformClient&) = delete;
    PlatformClient& operator=(const PlatformClient&) = delete;

    /// Reads one object; NotRun/NotFound when it does not exist.
    Result<PlatformObject> get(const std::string& kind, const std::string& name);
    Result<ObjectList> list(const std::string& kind);

    /// Writes an object whose current version is @p expected (0: must not exist). NotRun/Conflict when it has
    /// another version; MayHaveRun when the answer was lost. @return the object with its new version.
    Result<PlatformObject> put(
        const std::string& kind, const std::string& name, const nlohmann::json& value, std::uint64_t expected);
    Result<void> remove(const std::string& kind, const std::string& name, std::uint64_t expected);

    /// Waits until an object of @p kinds changes after @p since, at most @p wait.
    Result<WatchResult> watch(std::uint64_t since, const std::vector<std::string>& kinds, Milliseconds wait);

    /// The platform's lagging host list.
    Result<HostList> hosts();

    /// Calls made so far, and calls refused by the budget or the backoff.
    std::uint64_t callCount() const;
    std::uint64_t refusedCount() const;

    /// True while the last call failed.
    bool isDown() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace kumquatbank
