#include "kumquatbank/catalogue/Catalogue.h"

#include <algorithm>
#include <map>
#include <shared_mutex>

namespace kumquatbank {

namespace {

    // Changes remembered one by one: more than an hour of 64,000 changes a day.
    constexpr std::size_t maxHistory = 4096;

    using ObjectKey = std::pair<std::string, std::string>; // kind, name

    const log4cxx::LoggerPtr& logger()
    {
        static const auto instance = partLogger("catalogue");
        return instance;
    }

    template <typename Object>
    std::vector<std::shared_ptr<const Object>> valuesOf(
        const std::map<std::string, std::shared_ptr<const Object>, std::less<>>& objects)
    {
        std::vector<std::shared_ptr<const Object>> values;
        values.reserve(objects.size());
        std::ranges::transform(objects, std::back_inserter(values), [](const auto& it) { return it.second; });
        return values;
    }

    template <typename Object>
    std::shared_ptr<const Object> findIn(
        const std::map<std::string, std::shared_ptr<const Object>, std::less<>>& objects, const std::string& name)
    {
        const auto it = objects.find(name);
        return it == objects.end() ? nullptr : it->second;
    }

    /// Puts the object's checked value under its name, removes a deleted one, and keeps the last valid value when
    /// the new one cannot be read.
    template <typename Object>
    void putChecked(
        std::map<std::string, std::shared_ptr<const Object>, std::less<>>& objects, const PlatformObject& object)
    {
        if (object.isDeleted) {
            objects.erase(object.name);
            return;
        }
        auto value = Object::fromJson(object.value);
        if (value && value->name != object.name)
            value = notRun(FailureCode::BadRequest, "its name differs from the name of the object");
        if (!value) {
            LOG4CXX_ERROR(logger(),
                "keeps the last valid value of " << object.kind << " " << object.name << ": " << value.error().message);
            return;
        }
        objects[object.name] = std::make_shared<const Object>(std::move(*value));
    }

} // namespace

class Catalogue::Impl {
public:
    bool apply(const CatalogueDelta& delta);
    CatalogueDelta changesSince(std::uint64_t revision) const;

    mutable std::shared_mutex mutex;
    std::uint64_t revision = 0;
    std::map<std::string, std::shared_ptr<const CatalogueEntry>, std::less<>> entries;
    std::map<std::string, std::shared_ptr<const DatabaseDefinition>, std::less<>> databases;
    std::map<std::string, std::size_t> databaseCounts;
    std::vector<std::function<void()>> listeners;

private:
    bool applyObject(const PlatformObject& object);
    void countDatabases();

    std::map<ObjectKey, PlatformObject> m_objects; ///< Newest form of every object, tombstones included.
    std::map<std::uint64_t, ObjectKey> m_history; ///< Revision of each recent change to the object it changed.
    std::uint64_t m_historyFrom = 0; ///< The history is complete after this revision.
};

bool Catalogue::Impl::apply(const CatalogueDelta& delta)
{
    const std::unique_lock lock(mutex);
    if (delta.from > revision)
        return false;
    bool isChanged = false;
    for (const auto& it : delta.changes)
        isChanged = applyObject(it) || isChanged;
    if (delta.from == 0 && revision == 0)
        m_historyFrom = delta.to;
    revision = std::max(revision, delta.to);
    while (m_history.size() > maxHistory) {
        m_historyFrom = std::max(m_historyFrom, m_history.begin()->first);
        m_history.erase(m_history.begin());
    }
    if (isChanged)
        countDatabases();
    return true;
}

bool Catalogue::Impl::applyObject(const PlatformObject& object)
{
    auto& known = m_objects[{ object.kind, object.name }];
    if (known.revision >= object.revision)
        return false;
    m_history.erase(known.revision);
    known = object;
    m_history[object.revision] = { object.kind, object.name };
    if (object.kind == "entry")
        putChecked(entries, object);
    else if (object.kind == "database")
        putChecked(databases, object);
    return true;
}

void Catalogue::Impl::countDatabases()
{
    databaseCounts.clear();
    for (const auto& [name, definition] : databases)
        ++databaseCounts[definition->service];
}

CatalogueDelta Catalogue::Impl::changesSince(std::uint64_t since) const
{
    const std::shared_lock lock(mutex);
    CatalogueDelta delta { since, revision, {} };
    if (since >= m_historyFrom && since != 0) {
        std::for_each(m_history.upper_bound(since), m_history.end(),
            [&](const auto& it) { delta.changes.push_back(m_objects.at(it.second)); });
        return delta;
    }
    delta.from = 0;
    std::ranges::transform(
        m_objects, std::back_inserter(delta.changes), [](const auto& it) { return it.second; });
    return delta;
}

void to_json(nlohmann::json& json, const CatalogueDelta& delta)
{
    json = { { "from", delta.from }, { "to", delta.to }, { "changes", delta.changes } };
}

void from_json(const nlohmann::json& json, CatalogueDelta& delta)
{
    json.at("from").get_to(delta.from);
    json.at("to").get_to(delta.to);
    json.at("changes").get_to(delta.changes);
}

Catalogue::Catalogue()
    : m_impl(std::make_unique<Impl>())
{
}

Catalogue::~Catalogue() = default;

bool Catalogue::apply(const CatalogueDelta& delta)
{
    if (!m_impl->apply(delta))
        return false;
    std::ranges::for_each(m_impl->listeners, [](const auto& listener) { listener(); });
    return true;
}

std::uint64_t Catalogue::revision() const
{
    const std::shared_lock lock(m_impl->mutex);
    return m_impl->revision;
}

CatalogueDelta Catalogue::changesSince(std::uint64_t revision) const { return m_impl->changesSince(revision); }

std::shared_ptr<const CatalogueEntry> Catalogue::findEntry(const std::string& name) const
{
    const std::shared_lock lock(m_impl->mutex);
    return findIn(m_impl->entries, name);
}

std::shared_ptr<const DatabaseDefinition> Catalogue::findDatabase(const std::string& name) const
{
    const std::shared_lock lock(m_impl->mutex);
    return findIn(m_impl->databases, name);
}

std::vector<std::shared_ptr<const CatalogueEntry>> Catalogue::entries() const
{
    const std::shared_lock lock(m_impl->mutex);
    return valuesOf(m_impl->entries);
}

std::vector<std::shared_ptr<const DatabaseDefinition>> Catalogue::databases() const
{
    const std::shared_lock lock(m_impl->mutex);
    return valuesOf(m_impl->databases);
}

std::size_t Catalogue::databaseCount(const std::string& service) const
{
    const std::shared_lock lock(m_impl->mutex);
    const auto it = m_impl->databaseCounts.find(service);
    return it == m_impl->databaseCounts.end() ? 0 : it->second;
}

void Catalogue::onChange(std::function<void()> listener) { m_impl->listeners.push_back(std::move(listener)); }

} // namespace kumquatbank
