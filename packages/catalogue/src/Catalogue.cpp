#include "kumquatbank/catalogue/Catalogue.h"

#include "ObjectIndex.h"

#include <iterator>
#include <map>
#include <mutex>
#include <shared_mutex>
#include <unordered_map>

namespace kumquatbank {

namespace {

    template <typename Item>
    using ItemMap = std::unordered_map<std::string, std::shared_ptr<const Item>>;

    template <typename Item>
    std::shared_ptr<const Item> findItem(const ItemMap<Item>& items, const std::string& name)
    {
        const auto it = items.find(name);
        return it == items.end() ? nullptr : it->second;
    }

    template <typename Item>
    std::vector<std::shared_ptr<const Item>> listItems(const ItemMap<Item>& items)
    {
        std::vector<std::shared_ptr<const Item>> list;
        list.reserve(items.size());
        for (const auto& [name, item] : items)
            list.push_back(item);
        return list;
    }

    /// Brings @p items up to date with one object; an object that cannot be read leaves them as they are.
    template <typename Item>
    void updateItems(ItemMap<Item>& items, const PlatformObject& object)
    {
        if (object.isDeleted) {
            items.erase(object.name);
            return;
        }
        auto item = Item::fromJson(object.value);
        if (item && item->name == object.name) {
            items[object.name] = std::make_shared<const Item>(std::move(*item));
            return;
        }
        const auto problem = item ? "its name is '" + item->name + "'" : item.error().message;
        LOG4CXX_WARN(partLogger("catalogue"),
            "Ignored " << object.kind << " '" << object.name << "' at revision " << object.revision << ": "
                       << problem);
    }

} // namespace

class Catalogue::Impl {
public:
    bool apply(const CatalogueDelta& delta);

    template <typename Read>
    auto read(Read function) const
    {
        const std::shared_lock lock(m_mutex);
        return function(*this);
    }

    ObjectIndex index;
    ItemMap<CatalogueEntry> entries;
    ItemMap<DatabaseDefinition> databases;
    std::map<std::string, std::size_t> databaseCounts; ///< By service.
    std::function<void()> listener;

private:
    void update(const PlatformObject& object);
    void countDatabase(const std::string& name, int difference);

    mutable std::shared_mutex m_mutex;
};

bool Catalogue::Impl::apply(const CatalogueDelta& delta)
{
    bool hasChanged = false;
    {
        const std::unique_lock lock(m_mutex);
        const auto before = index.revision();
        if (delta.from > before)
            return false;
        const auto merged = index.merge(delta);
        for (const auto& object : merged)
            update(object);
        hasChanged = !merged.empty() || index.revision() > before;
    }
    if (hasChanged && listener)
        listener();
    return true;
}

void Catalogue::Impl::update(const PlatformObject& object)
{
    if (object.kind == "entry") {
        updateItems(entries, object);
        return;
    }
    countDatabase(object.name, -1);
    updateItems(databases, object);
    countDatabase(object.name, 1);
}

void Catalogue::Impl::countDatabase(const std::string& name, int difference)
{
    const auto database = findItem(databases, name);
    if (!database)
        return;
    auto& count = databaseCounts[database->service];
    count += static_cast<std::size_t>(difference);
    if (count == 0)
        databaseCounts.erase(database->service);
}

Catalogue::Catalogue()
    : m_impl(std::make_unique<Impl>())
{
}

Catalogue::~Catalogue() = default;

bool Catalogue::apply(const CatalogueDelta& delta) { return m_impl->apply(delta); }

std::uint64_t Catalogue::revision() const
{
    return m_impl->read([](const Impl& impl) { return impl.index.revision(); });
}

CatalogueDelta Catalogue::changesSince(std::uint64_t revision) const
{
    return m_impl->read([&](const Impl& impl) { return impl.index.changesSince(revision); });
}

std::shared_ptr<const CatalogueEntry> Catalogue::findEntry(const std::string& name) const
{
    return m_impl->read([&](const Impl& impl) { return findItem(impl.entries, name); });
}

std::shared_ptr<const DatabaseDefinition> Catalogue::findDatabase(const std::string& name) const
{
    return m_impl->read([&](const Impl& impl) { return findItem(impl.databases, name); });
}

std::vector<std::shared_ptr<const CatalogueEntry>> Catalogue::entries() const
{
    return m_impl->read([](const Impl& impl) { return listItems(impl.entries); });
}

std::vector<std::shared_ptr<const DatabaseDefinition>> Catalogue::databases() const
{
    return m_impl->read([](const Impl& impl) { return listItems(impl.databases); });
}

std::size_t Catalogue::databaseCount(const std::string& service) const
{
    return m_impl->read([&](const Impl& impl) {
        const auto it = impl.databaseCounts.find(service);
        return it == impl.databaseCounts.end() ? std::size_t(0) : it->second;
    });
}

void Catalogue::onChange(std::function<void()> listener) { m_impl->listener = std::move(listener); }

} // namespace kumquatbank
