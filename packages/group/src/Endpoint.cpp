#include "Endpoint.h"

namespace kumquatbank {

namespace {

    // One connection for the prober, one for the watcher and one in reserve, so that another process can probe and
    // claim while this process uses all the others.
    constexpr unsigned reservedConnections = 3;

    unsigned workConnections(unsigned limit)
    {
        return limit > reservedConnections ? limit - reservedConnections : 1;
    }

    AdmissionOptions admissionOptions(unsigned limit, AdmissionPolicy policy)
    {
        AdmissionOptions options;
        options.capacity = workConnections(limit);
        options.policy = policy;
        return options;
    }

} // namespace

Endpoint::Endpoint(std::size_t index, SlotDefinition definition, unsigned connectionLimit,
    const DatabaseGroupOptions& options, const ClaimNumber& claim, GroupView& view,
    const std::function<bool()>& isHolder)
    : m_definition(std::move(definition))
    , m_control(m_definition.address, options.self.address.toString(), claim)
    , m_watchControl(m_definition.address, options.self.address.toString(), claim)
    , m_pool(m_definition.address, options.self.address.toString(), claim, workConnections(connectionLimit))
    , m_admission(admissionOptions(connectionLimit, options.policy))
    , m_prober(index, m_control, m_pool, view, { options.probeInterval, options.probeTimeout }, isHolder,
          [isLeaving = options.isEndpointLeaving, address = m_definition.address] {
              return isLeaving && isLeaving(address);
          })
    , m_watcher(index, m_watchControl, view, isHolder)
{
}

void Endpoint::start()
{
    m_prober.start();
    m_watcher.start();
}

void Endpoint::stop()
{
    m_watcher.stop();
    m_prober.stop();
    m_pool.suspend();
    m_control.close();
}

Result<AdmittedConnection> Endpoint::acquireConnection(
    const CatalogueEntry& entry, const Deadline& deadline, RequestTrace& trace)
{
    auto ticket = m_admission.admit(entry, deadline);
    if (!ticket)
        return tl::unexpected(ticket.error());
    trace.addWait(Cause::RankQueue, ticket->waited());
    const RequestTrace::Span span(trace, Cause::EndpointSlow);
    auto lease = m_pool.acquire(deadline);
    if (!lease)
        return tl::unexpected(lease.error());
    return AdmittedConnection { std::move(*ticket), std::move(*lease) };
}

nlohmann::json Endpoint::state() const
{
    return { { "slot", m_definition.slot }, { "address", m_definition.address.toString() },
        { "place", m_definition.place }, { "pool", m_pool.state() }, { "queue", m_admission.state() } };
}

} // namespace kumquatbank
