#pragma once

#include "PoolerMetrics.h"
#include "PromotionDecision.h"
#include "kumquatbank/adapter/ObjectStore.h"
#include "kumquatbank/core/BootClock.h"

#include <map>
#include <optional>
#include <random>
#include <string>

namespace kumquatbank {

/// Takes the exclusive fencing tokens of services by conditional writes to the store. Each token is stored with the decision
/// for which it was taken, so that other hosts wait until that has taken effect.
class PromotionTokens {
public:
    PromotionTokens(std::shared_ptr<ObjectStore> store, std::string host, PoolerMetrics& metrics)
        : m_store(std::move(store))
        , m_host(std::move(host))
        , m_metrics(metrics)
    {
    }

    void setStore(std::shared_ptr<ObjectStore> store) { m_store = std::move(store); }

    /// What a token is taken for.
    struct Purpose {
        std::string service;
        std::string lost; ///< The primary to be replaced; empty to let endpoints resume.
        std::string candidate; ///< The endpoint that a promote call will name.
        bool mayReuse = false; ///< While the store does not answer, the newest token that this run holds serves as well.
    };

    struct Result {
        std::optional<std::uint64_t> token;
        bool isLeftToPeer = false; ///< Another host's decision may not have taken effect yet.
    };

    Task<Result> take(Purpose purpose);
    /// True if the store answers that no newer token of the service was taken.
    Task<bool> isNewest(std::string service, std::uint64_t token);

private:
    struct ServiceTokens {
        std::uint64_t held = 0; ///< Newest token obtained by this run; 0 if none.
        std::uint64_t newest = 0; ///< Newest token read or obtained by this run; 0 if none.
        StoreRevision peerDecisionRevision; ///< Store revision of the last decision read from the store.
        BootTime peerDecisionSeenAt {};
    };

    Task<StoreListing> read(std::string service);
    bool leavesToPeer(const Purpose& purpose, const PromotionDecision& decision, StoreRevision revision);
    /// The token that this run holds, for use while the store does not answer.
    std::optional<std::uint64_t> reuse(const Purpose& purpose, const std::string& storeDetail) const;

    std::shared_ptr<ObjectStore> m_store;
    std::string m_host;
    PoolerMetrics& m_metrics;
    std::map<std::string, ServiceTokens> m_services;
    std::uint64_t m_runId = std::random_device {}(); ///< Distinguishes this run's writes from those of an earlier one.
};

} // namespace kumquatbank
