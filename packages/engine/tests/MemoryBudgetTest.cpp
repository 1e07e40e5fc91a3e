#include "kumquatbank/engine/MemoryBudget.h"

#include <CppUTest/TestHarness.h>
#include <memory>
#include <vector>

using namespace kumquatbank;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t megabyte = 1 << 20;
constexpr BootTime start = BootTime(std::chrono::hours(1));

struct Client : MemoryHolder {
    Phase phase = Phase::Waiting;
    bool isClosed = false;
    mutable int examined = 0; ///< How often it was considered for closing.

    Phase memoryPhase() const override
    {
        ++examined;
        return phase;
    }
    void closeForMemory() override { isClosed = true; }
};

struct Held {
    MemoryHolder::Phase phase;
    std::size_t megabytes;
    milliseconds stalled; ///< Time without movement before the request.
    std::string account;
};

/// The client that is closed for a request for 1 MiB by a new one, with a budget that the clients fill up to the ceiling of
/// the use; -1 if none is.
int closedFor(MemoryUse use, const std::vector<Held>& all)
{
    std::size_t sum = 0;
    for (const auto& held : all)
        sum += held.megabytes * megabyte;
    MemoryBudget budget(sum);
    std::vector<std::unique_ptr<Client>> clients;
    for (const auto& held : all) {
        auto& client = *clients.emplace_back(std::make_unique<Client>());
        client.phase = held.phase;
        budget.setAccount(client, held.account);
        CHECK_TRUE(budget.reserve(&client, MemoryUse::Answer, held.megabytes * megabyte, start));
        budget.recordMovement(client, start - held.stalled);
    }
    Client requester;
    CHECK_FALSE(budget.reserve(&requester, use, megabyte / 2, start));
    int closed = -1;
    for (std::size_t n = 0; n < clients.size(); ++n) {
        if (clients[n]->isClosed)
            closed = static_cast<int>(n);
    }
    return closed;
}

} // namespace

TEST_GROUP(MemoryBudget) {};

// Guards against a budget that closes clients which are served while others only hold memory, or none at all.
TEST(MemoryBudget, ThoseThatHoldMostAndMoveLeastAreClosedFirst)
{
    using Phase = MemoryHolder::Phase;
    constexpr milliseconds moved { 100 };
    constexpr milliseconds stalled { 5000 };
    struct Case {
        const char* name;
        MemoryUse use;
        std::vector<Held> held;
        int closed;
    };
    const std::vector<Case> cases {
        { "the largest", MemoryUse::Input, { { Phase::Waiting, 1, stalled, "" }, { Phase::Waiting, 3, stalled, "" } }, 1 },
        { "the one without movement", MemoryUse::Input, { { Phase::Waiting, 1, stalled, "" }, { Phase::Waiting, 3, moved, "" } }, 0 },
        { "less that has not moved for longer", MemoryUse::Input, { { Phase::Waiting, 3, milliseconds(1000), "" }, { Phase::Waiting, 1, stalled, "" } }, 1 },
        { "no client that moves, for input", MemoryUse::Input, { { Phase::Waiting, 8, moved, "" } }, -1 },
        { "a client that waits before one that is answered", MemoryUse::Input, { { Phase::Answering, 9, stalled, "" }, { Phase::Waiting, 1, stalled, "" } }, 1 },
        { "one that is answered and does not move", MemoryUse::Work, { { Phase::Answering, 2, stalled, "" }, { Phase::InTransaction, 9, stalled, "" } }, 0 },
        { "no transaction for input", MemoryUse::Input, { { Phase::InTransaction, 9, stalled, "" } }, -1 },
        { "no transaction for work", MemoryUse::Work, { { Phase::InTransaction, 9, stalled, "" } }, -1 },
        { "a large one for a small one's state", MemoryUse::State, { { Phase::Waiting, 8, moved, "" }, { Phase::Waiting, 1, moved, "" } }, 0 },
        { "no equal for another's state", MemoryUse::State, { { Phase::Waiting, 1, moved, "" }, { Phase::Waiting, 1, moved, "" } }, -1 },
        { "the account that holds more than its share", MemoryUse::Input, { { Phase::Waiting, 2, stalled, "small" }, { Phase::Waiting, 1, stalled, "large" }, { Phase::Waiting, 1, moved, "large" }, { Phase::Waiting, 1, moved, "large" } }, 1 },
    };
    for (const auto& [name, use, held, closed] : cases)
        LONGS_EQUAL_TEXT(closed, closedFor(use, held), name);
}

// Guards against new input that displaces the answers of what has begun.
TEST(MemoryBudget, EachUseHasItsCeiling)
{
    for (const auto& [use, megabytes] : std::vector<std::pair<MemoryUse, std::size_t>> { { MemoryUse::Input, 50 }, { MemoryUse::State, 60 }, { MemoryUse::Work, 85 }, { MemoryUse::Answer, 100 } }) {
        MemoryBudget budget(100 * megabyte);
        Client client;
        CHECK_TRUE(budget.reserve(&client, use, megabytes * megabyte, start));
        CHECK_FALSE(budget.reserve(&client, use, 1, start));
        LONGS_EQUAL(1, budget.refusals(use));
        budget.release(&client, megabytes * megabyte);
        LONGS_EQUAL(0, budget.used());
    }
}

// Guards against a shortage that closes more clients than it needs, because memory is freed only after the close.
TEST(MemoryBudget, MemoryOfClosingClientsIsAwaited)
{
    MemoryBudget budget(4 * megabyte);
    Client first;
    Client second;
    Client requester;
    for (auto* client : { &first, &second })
        CHECK_TRUE(budget.reserve(client, MemoryUse::Answer, 2 * megabyte, start - milliseconds(5000)));
    CHECK_FALSE(budget.reserve(&requester, MemoryUse::Answer, megabyte, start));
    CHECK_FALSE(budget.reserve(&requester, MemoryUse::Answer, megabyte, start));
    CHECK_TRUE(first.isClosed != second.isClosed);
    LONGS_EQUAL(1, budget.closedHolders());
    budget.release(first.isClosed ? &first : &second, 2 * megabyte);
    CHECK_TRUE(budget.reserve(&requester, MemoryUse::Answer, megabyte, start));
}

// Guards against a client that closes another one to queue output which it does not take itself.
TEST(MemoryBudget, TheLargestHolderIsRefusedRatherThanASmallerOneClosed)
{
    MemoryBudget budget(4 * megabyte);
    Client small;
    Client large;
    CHECK_TRUE(budget.reserve(&small, MemoryUse::Answer, megabyte, start));
    CHECK_TRUE(budget.reserve(&large, MemoryUse::Answer, 3 * megabyte, start));
    CHECK_FALSE(budget.reserve(&large, MemoryUse::Answer, megabyte, start + milliseconds(5000)));
    CHECK_FALSE(small.isClosed);
}

// Guards against thousands of stopped connections that each examine all others whenever they look for room: the process had
// no time left for anything else.
TEST(MemoryBudget, ASearchThatFoundNoClientIsNotRepeatedAtOnce)
{
    MemoryBudget budget(4 * megabyte);
    Client holder;
    holder.phase = MemoryHolder::Phase::InTransaction;
    CHECK_TRUE(budget.reserve(&holder, MemoryUse::Input, 2 * megabyte, start));
    Client requester;
    for (int n = 0; n < 1000; ++n)
        CHECK_FALSE(budget.reserve(&requester, MemoryUse::Input, 1000, start + milliseconds(5000)));
    CHECK_TRUE(holder.examined <= 2);
    holder.phase = MemoryHolder::Phase::Waiting;
    CHECK_FALSE(budget.reserve(&requester, MemoryUse::Input, 1000, start + milliseconds(5000) + MemoryBudget::searchInterval));
    CHECK_TRUE(holder.isClosed);
}

// Guards against a client that can be closed for a short message but stays, because a longer one was refused before.
TEST(MemoryBudget, AFailedSearchDoesNotHinderAnotherOne)
{
    MemoryBudget budget(4 * megabyte);
    Client large;
    CHECK_TRUE(budget.reserve(&large, MemoryUse::Work, 3 * megabyte, start));
    budget.recordMovement(large, start);
    Client longMessage;
    Client shortMessage;
    CHECK_FALSE(budget.reserve(&longMessage, MemoryUse::Work, megabyte, start));
    CHECK_FALSE(large.isClosed);
    CHECK_FALSE(budget.reserve(&shortMessage, MemoryUse::Work, megabyte / 2, start));
    CHECK_TRUE(large.isClosed);
}
