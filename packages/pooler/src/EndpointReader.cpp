#include "EndpointReader.h"

#include "kumquatbank/adapter/StoreCodec.h"
#include "kumquatbank/engine/EventLog.h"

namespace kumquatbank {

namespace {

    /// Entries that cannot be read are told apart in the log up to this number; further ones are logged each time.
    constexpr std::size_t maxSkippedEntries = 1024;
    /// Bytes of a name that are logged.
    constexpr std::size_t maxLoggedName = 120;

    /// Heap memory of an entry in the table, in bytes.
    std::size_t heapBytes(const EndpointEntry& entry)
    {
        constexpr std::size_t nodeOverhead = 96;
        return nodeOverhead + sizeof(EndpointEntry) + 2 * entry.id.size() + entry.service.size() + entry.dataCentre.size();
    }

} // namespace

bool EndpointReader::addTo(Listing& listing, const StoreObject& object)
{
    auto entry = parse(object);
    if (!entry)
        return true;
    if (!m_isRouted(entry->service)) {
        if (listing.unrouted >= maxUnroutedEntries) {
            ++listing.omitted;
            return true;
        }
        ++listing.unrouted;
    }
    if (!AnswerMemory::ofProcess().add(listing.memory, AnswerReader::Endpoints, heapBytes(*entry)))
        return false;
    listing.entries.insert_or_assign(object.name, std::move(*entry));
    return true;
}

void EndpointReader::finish(const Listing& listing)
{
    m_unrouted = listing.unrouted;
    m_omitted = listing.omitted;
    if (m_omitted > 0)
        EventLog::warn("endpoint_entries_omitted", { { "omitted", m_omitted }, { "kept", listing.entries.size() }, { "unrouted", m_unrouted } });
}

std::optional<EndpointEntry> EndpointReader::read(const StoreObject& object, const EndpointTable::Entries& known)
{
    auto entry = parse(object);
    if (!entry || known.contains(object.name) || m_isRouted(entry->service))
        return entry;
    if (m_unrouted >= maxUnroutedEntries) {
        ++m_omitted;
        return std::nullopt;
    }
    ++m_unrouted;
    return entry;
}

std::optional<EndpointEntry> EndpointReader::parse(const StoreObject& object)
{
    auto entry = StoreCodec::parseEndpoint(object);
    const auto name = nameHash(object.name);
    if (entry) {
        m_skipped.erase(name);
        return std::move(*entry);
    }
    const auto cause = std::hash<std::string>()(entry.error());
    const auto known = m_skipped.find(name);
    if (known != m_skipped.end() && known->second == cause)
        return std::nullopt;
    if (known != m_skipped.end() || m_skipped.size() < maxSkippedEntries)
        m_skipped[name] = cause;
    EventLog::warn("endpoint_entry_skipped", { { "endpoint", object.name.substr(0, maxLoggedName) }, { "revision", object.revision.number }, { "error", entry.error() } });
    return std::nullopt;
}

} // namespace kumquatbank
