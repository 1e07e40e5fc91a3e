#include "kumquatbank/catalogue/catalogue.h"
#include "ObjectIndex.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <random>

using namespace kumquatbank;
using nlohmann::json;

namespace {

PlatformObject entryObject(const std::string& name, std::uint64_t revision, int rank = 1)
{
    return { "entry", name, 1, revision, false,
        { { "name", name }, { "owner", "o" }, { "class", "both" }, { "rank", rank }, { "service", "s" } } };
}

PlatformObject databaseObject(const std::string& name, std::uint64_t revision, const std::string& service)
{
    const json slot { { "slot", 0 }, { "address", "127.0.0.1:7000" }, { "place", "kp" } };
    return { "database", name, 1, revision, false,
        { { "name", name }, { "service", service }, { "connectionLimit", 20 }, { "slots", { slot } } } };
}

PlatformObject removal(const std::string& name, std::uint64_t revision)
{
    return { "entry", name, 2, revision, true, {} };
}

} // namespace

TEST_GROUP(Catalogue)
{
    Catalogue catalogue;

    int rankOf(const std::string& name) const
    {
        const auto entry = catalogue.findEntry(name);
        return entry ? static_cast<int>(entry->rank) : 0;
    }
};

// Guards against an accepted change being reverted by a late message or by a peer that is behind.
TEST(Catalogue, NeverMovesAnObjectBack)
{
    CHECK_TRUE(catalogue.apply({ 0, 5, { entryObject("a", 3, 1), entryObject("b", 4, 1) } }));
    CHECK_TRUE(catalogue.apply({ 5, 7, { entryObject("a", 6, 2), removal("b", 7) } }));
    CHECK_TRUE(catalogue.apply({ 2, 4, { entryObject("a", 3, 1), entryObject("b", 4, 1) } }));
    CHECK_TRUE(catalogue.apply({ 0, 5, { entryObject("a", 3, 1), entryObject("b", 4, 1), entryObject("c", 5) } }));
    CHECK_EQUAL(7, catalogue.revision());
    CHECK_EQUAL(2, rankOf("a"));
    CHECK_EQUAL(0, rankOf("b"));
    CHECK_EQUAL(0, rankOf("c"));
    CHECK_TRUE(catalogue.apply({ 7, 8, { entryObject("b", 8, 3) } }));
    CHECK_EQUAL(3, rankOf("b"));
}

// Guards against a gap: a copy that claims a revision although changes before it are missing.
TEST(Catalogue, RefusesADeltaThatStartsLater)
{
    CHECK_TRUE(catalogue.apply({ 0, 5, { entryObject("a", 3) } }));
    CHECK_FALSE(catalogue.apply({ 6, 8, { entryObject("b", 8) } }));
    CHECK_EQUAL(5, catalogue.revision());
    CHECK_TRUE(catalogue.findEntry("b") == nullptr);
}

// Guards against an object that was removed while this copy was cut off staying in force.
TEST(Catalogue, SnapshotRemovesWhatItDoesNotHold)
{
    CHECK_TRUE(catalogue.apply({ 0, 5, { entryObject("a", 3), entryObject("b", 4) } }));
    CHECK_TRUE(catalogue.apply({ 0, 9, { entryObject("b", 4) } }));
    CHECK_EQUAL(0, rankOf("a"));
    CHECK_EQUAL(1, rankOf("b"));
}

// Guards against one broken object taking its kind of work out of service or stopping later changes.
TEST(Catalogue, KeepsTheLastValidValueOfABrokenObject)
{
    CHECK_TRUE(catalogue.apply({ 0, 5, { entryObject("a", 3, 2) } }));
    auto broken = entryObject("a", 6);
    broken.value["rank"] = "x";
    auto misnamed = entryObject("b", 7);
    misnamed.name = "c";
    CHECK_TRUE(catalogue.apply({ 5, 8, { broken, misnamed, entryObject("d", 8) } }));
    CHECK_EQUAL(2, rankOf("a"));
    CHECK_EQUAL(0, rankOf("c"));
    CHECK_EQUAL(1, rankOf("d"));
}

// Guards against an entry's limit being divided by a wrong number of databases.
TEST(Catalogue, CountsTheDatabasesOfAService)
{
    CHECK_TRUE(catalogue.apply({ 0, 3, { databaseObject("x", 1, "s"), databaseObject("y", 2, "s") } }));
    CHECK_EQUAL(2, catalogue.databaseCount("s"));
    CHECK_TRUE(catalogue.apply({ 3, 4, { databaseObject("x", 4, "t") } }));
    CHECK_EQUAL(1, catalogue.databaseCount("s"));
    CHECK_EQUAL(1, catalogue.databaseCount("t"));
    CHECK_TRUE(catalogue.apply({ 4, 5, { { "database", "x", 3, 5, true, {} } } }));
    CHECK_EQUAL(0, catalogue.databaseCount("t"));
    CHECK_EQUAL(1, catalogue.databases().size());
}

// Guards against changes that are applied without the components that depend on them noticing.
TEST(Catalogue, CallsItsListenerOnlyForChanges)
{
    int calls = 0;
    catalogue.onChange([&] { ++calls; });
    CHECK_TRUE(catalogue.apply({ 0, 5, { entryObject("a", 3) } }));
    CHECK_EQUAL(1, calls);
    CHECK_TRUE(catalogue.apply({ 0, 5, { entryObject("a", 3) } }));
    CHECK_EQUAL(1, calls);
}

// Guards against copies that differ for good although they exchange changes, whatever the order.
TEST(Catalogue, CopiesConvergeInAnyOrder)
{
    std::mt19937 random(20'240'612);
    std::vector<PlatformObject> log;
    std::vector<Catalogue> copies(4);
    for (std::uint64_t revision = 1; revision <= 600; ++revision) {
        const auto name = "e" + std::to_string(random() % 40);
        log.push_back(random() % 3 == 0 ? removal(name, revision)
                                        : entryObject(name, revision, 1 + static_cast<int>(random() % 3)));
        // Any copy may learn the newest changes from the platform, or whatever another copy has to give.
        auto& copy = copies[random() % copies.size()];
        const auto from = random() % 2 == 0 ? copy.revision() : random() % revision;
        if (random() % 4 == 0 && from > 0)
            copy.apply({ from, revision, { log.begin() + static_cast<std::ptrdiff_t>(from), log.end() } });
        const auto& peer = copies[random() % copies.size()];
        copies[random() % copies.size()].apply(peer.changesSince(copies[random() % copies.size()].revision()));
        if (revision == 1)
            copies[0].apply({ 0, 1, log });
    }
    for (auto& copy : copies) {
        copy.apply({ copy.revision(), 600, { log.begin() + static_cast<std::ptrdiff_t>(copy.revision()), log.end() } });
        for (int n = 0; n < 40; ++n) {
            const auto name = "e" + std::to_string(n);
            const auto last = std::find_if(log.rbegin(), log.rend(), [&](const auto& it) { return it.name == name; });
            const auto entry = copy.findEntry(name);
            CHECK_EQUAL(last != log.rend() && !last->isDeleted, entry != nullptr);
            if (entry)
                CHECK_EQUAL(last->value["rank"].get<int>(), static_cast<int>(entry->rank));
        }
    }
}

// Guards against memory that grows with every removal, and a delta that silently lacks forgotten removals.
TEST(Catalogue, ForgetsOldRemovalsAndThenGivesASnapshot)
{
    constexpr auto count = ObjectIndex::maxTombstones + 100;
    ObjectIndex index;
    index.merge({ 0, 1, { entryObject("kept", 1) } });
    for (std::uint64_t n = 0; n < count; ++n) {
        const auto name = "e" + std::to_string(n);
        index.merge({ index.revision(), 2 * n + 3, { entryObject(name, 2 * n + 2), removal(name, 2 * n + 3) } });
    }
    const auto recent = index.changesSince(index.revision() - 10);
    CHECK_EQUAL(index.revision() - 10, recent.from);
    CHECK_EQUAL(5, recent.changes.size());
    const auto old = index.changesSince(50);
    CHECK_EQUAL(0, old.from);
    CHECK_EQUAL(1 + ObjectIndex::maxTombstones, old.changes.size());
    const auto copied = json(recent).get<CatalogueDelta>();
    CHECK_EQUAL(recent.to, copied.to);
    CHECK_TRUE(copied.changes.back().isDeleted);
}

// Guards against a new process that answers a peer a few changes behind with the whole catalogue, or without the
// removals that its own snapshot left out.
TEST(Catalogue, PassesOnChangesThatItsSnapshotContained)
{
    Catalogue source;
    CHECK_TRUE(source.apply({ 0, 5, { entryObject("a", 3), entryObject("b", 4) } }));
    CHECK_TRUE(source.apply({ 5, 7, { removal("b", 6), entryObject("c", 7) } }));
    CHECK_TRUE(catalogue.apply(source.changesSince(0)));
    const auto delta = catalogue.changesSince(5);
    CHECK_EQUAL(5, delta.from);
    CHECK_EQUAL(2, delta.changes.size());
    CHECK_TRUE(delta.changes.front().isDeleted);
    Catalogue listed;
    CHECK_TRUE(listed.apply({ 0, 7, { entryObject("a", 3), entryObject("c", 7) } }));
    CHECK_EQUAL(0, listed.changesSince(5).from);
    CHECK_EQUAL(7, listed.changesSince(7).from);
}
