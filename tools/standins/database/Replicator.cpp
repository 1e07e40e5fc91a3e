#include "Replicator.h"

namespace kumquatbank::standin {

namespace {

    constexpr Milliseconds connectTimeout { 200 };
    constexpr Milliseconds retryInterval { 20 };
    constexpr Milliseconds idleInterval { 200 };

    // The primary answers an idle pull after this time. It bounds how old a healthy contact looks.
    constexpr Milliseconds pullWait { 100 };

    // Longer silence means a hung connection; a new one is tried.
    constexpr Milliseconds pullTimeout { 1000 };

} // namespace

Replicator::Replicator(
    DatabaseNode& node, const FaultInjector& faults, HostAddress self, std::vector<HostAddress> peers)
    : m_self(std::move(self))
    , m_peers(std::move(peers))
    , m_node(node)
    , m_faults(faults)
    , m_applier(node, faults)
    , m_thread([this] { run(); })
{
}

Replicator::~Replicator()
{
    stop();
}

void Replicator::stop()
{
    m_isStopped = true;
    m_applier.stop();
    if (m_thread.joinable())
        m_thread.join();
}

void Replicator::run()
{
    std::uint64_t lastEpoch = 0;
    while (!m_isStopped) {
        const auto target = m_node.followTarget();
        if (!target) {
            m_node.awaitTargetChange(lastEpoch, idleInterval);
            continue;
        }
        lastEpoch = target->epoch;
        if (target->primary) {
            pullFrom(*target->primary, *target);
        } else {
            for (const auto& peer : m_peers)
                pullFrom(peer, *target);
        }
        m_node.awaitTargetChange(lastEpoch, retryInterval);
    }
}

void Replicator::pullFrom(const HostAddress& primary, const FollowTarget& target)
{
    const RemoteParty party { .isPeer = true,
        .name = primary.toString(),
        .socketAddress = primary.toString(),
        .silenceGeneration = m_faults.silenceGeneration() };
    m_faults.waitWhileFrozen();
    if (m_faults.drops(party))
        return;
    const auto connection = LineSocket::connect(primary, connectTimeout);
    if (!connection)
        return;
    m_applier.clear();
    std::uint64_t after = 0;
    for (std::uint64_t id = 1; !m_isStopped; ++id) {
        nlohmann::json params { { "term", target.term }, { "from", m_self.toString() }, { "after", after },
            { "timeoutMs", id == 1 ? 0 : pullWait.count() } };
        if (id == 1)
            params["termEnds"] = m_node.termEnds();
        const nlohmann::json request { { "jsonrpc", "2.0" }, { "id", id }, { "method", "replicate" },
            { "params", std::move(params) } };
        m_faults.waitWhileFrozen();
        if (m_faults.drops(party) || !connection->writeLine(request.dump()))
            return;
        const auto line = connection->readLine(pullTimeout);
        m_faults.waitWhileFrozen();
        if (!line || m_faults.drops(party))
            return;
        const auto response = nlohmann::json::parse(*line, nullptr, false);
        if (response.is_discarded() || response.value("id", std::uint64_t(0)) != id || !response.contains("result"))
            return;
        const auto& result = response.at("result");
        if (!m_node.recordPrimaryContact(target.epoch))
            return;
        if (id == 1) {
            after = result.at("from").get<std::uint64_t>();
            if (!m_node.truncate(target.epoch, after))
                return;
        }
        auto records = result.at("records").get<std::vector<LogRecord>>();
        after += records.size();
        m_applier.add(target.epoch, std::move(records));
    }
}

} // namespace kumquatbank::standin
