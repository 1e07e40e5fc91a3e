#include "CatalogueParts.h"
#include "CataloguePusher.h"
#include "CatalogueReader.h"
#include "Gossip.h"
#include "LeavingNotices.h"
#include "LinearFit.h"
#include "MemberTable.h"
#include "PeerCaller.h"
#include "kumquatbank/membership/membership.h"

#include <cstdio>
#include <ctime>
#include <functional>
#include <malloc.h>
#include <vector>

// Measures what the control plane costs per member, per exchange, per catalogue entry and per change, with the
// program's own classes over loopback. Prints one row per size and the linear fit over the sizes.

namespace kumquatbank {

namespace {

    constexpr std::uint16_t firstPort = 24300;
    constexpr std::size_t placeCount = 22;
    constexpr int exchangesPerSize = 400;
    constexpr int warmUpExchanges = 20;
    /// Rows that change per host and second at the target: 2 restarts a day with 3 row changes each.
    constexpr double churnPerHost = 2.0 * 3 / 86'400;

    /// Bytes that the allocator has handed out.
    std::size_t heapBytes()
    {
        const auto info = mallinfo2();
        return info.uordblks + info.hblkhd;
    }

    double cpuSeconds()
    {
        timespec now {};
        clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
        return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
    }

    Member memberOf(std::size_t index)
    {
        const std::string ip = "10." + std::to_string(index / 250) + ".0." + std::to_string(index % 250 + 1);
        const std::string place = "place-" + std::to_string(index % placeCount);
        return { { { ip, 7400 }, 1'764'000'000'000 + index, place }, MemberState::Alive };
    }

    std::vector<Member> membersOf(std::size_t count)
    {
        std::vector<Member> rows;
        for (std::size_t i = 0; i < count; ++i)
            rows.push_back(memberOf(i));
        return rows;
    }

    PlatformObject entryOf(std::size_t index, std::uint64_t revision)
    {
        const std::string name = "entry-" + std::to_string(index);
        nlohmann::json value = { { "name", name }, { "owner", "order-desk" }, { "class", "write" }, { "rank", 1 },
            { "service", "pressline-db-" + std::to_string(index % 100) }, { "maxConcurrent", 20 },
            { "maxPerSecond", 150 }, { "floorPercent", 10 }, { "maxQueueMs", 1000 }, { "repeatable", false },
            { "changeId", "c-" + std::to_string(revision) } };
        return { "entry", name, revision, revision, false, std::move(value) };
    }

    void load(Catalogue& catalogue, std::size_t count)
    {
        CatalogueDelta snapshot;
        for (std::size_t i = 0; i < count; ++i)
            snapshot.changes.push_back(entryOf(i, i + 1));
        snapshot.to = count;
        catalogue.apply(snapshot);
    }

    /// One process without its threads: the benchmark makes each exchange itself.
    struct Node {
        explicit Node(std::uint16_t port)
            : table({ { "127.0.0.1", port }, 1, "place-0" }, Milliseconds(2000))
            , server({ "127.0.0.1", port }, 4, [this](const PeerMessage& message) {
                return message.type == PeerMessageType::Exchange ? gossip.answer(message) : pusher.answer(message);
            })
        {
            if (const auto started = server.start(); !started) {
                std::fprintf(stderr, "membership_bench: %s\n", started.error().message.c_str());
                std::exit(1);
            }
        }

        Catalogue catalogue;
        PeerClient peers;
        MemberTable table;
        LeavingNotices notices;
        PeerCaller caller { peers, table };
        CatalogueParts parts { catalogue, 256 * 1024 };
        CatalogueReader reader { catalogue, table, caller };
        CataloguePusher pusher { catalogue, table, caller, reader, parts, 4 };
        Gossip gossip { table, notices, caller, pusher, reader, parts };
        PeerServer server;
    };

    void measureRows(const std::vector<std::size_t>& sizes)
    {
        LinearFit fit("member rows", "bytes of memory");
        for (const std::size_t size : sizes) {
            const std::vector<Member> rows = membersOf(size);
            const std::size_t before = heapBytes();
            MemberTable table({ { "127.0.0.1", 1 }, 1, "place-0" }, Milliseconds(2000));
            table.merge(rows, Clock::now());
            while (!table.takeUpdates().empty()) { }
            fit.add(static_cast<double>(size), static_cast<double>(heapBytes() - before));
        }
        fit.print();
    }

    /// @p keepsConnection: small fleets reuse connections; at the target each exchange makes a new one.
    void measureExchanges(const std::vector<std::size_t>& sizes, bool keepsConnection)
    {
        const std::string connection = keepsConnection ? ", kept connection" : ", new connection";
        LinearFit bytes("member rows", "bytes of one exchange, request and response" + connection);
        LinearFit cpu("member rows", "microseconds of CPU of one exchange, both sides" + connection);
        std::uint16_t port = keepsConnection ? firstPort : firstPort + 50;
        for (const std::size_t size : sizes) {
            Node a(port++);
            Node b(port++);
            std::vector<Member> rows = membersOf(size);
            for (Node* node : { &a, &b }) {
                node->table.merge(rows, Clock::now());
                while (!node->table.takeUpdates().empty()) { }
            }
            const HostAddress peer = b.table.self().address;
            double churn = 0;
            std::size_t changed = 0;
            std::uint64_t bytesBefore = 0;
            double cpuBefore = 0;
            for (int n = 0; n < warmUpExchanges + exchangesPerSize; ++n) {
                if (n == warmUpExchanges) {
                    bytesBefore = a.peers.controlBytes();
                    cpuBefore = cpuSeconds();
                }
                // A process takes part in two exchanges a second.
                for (churn += churnPerHost * static_cast<double>(size) / 2; churn >= 1; churn -= 1) {
                    Member& row = rows[changed++ % size];
                    ++row.identity.incarnation;
                    a.table.merge(std::vector<Member> { row }, Clock::now());
                }
                if (!a.gossip.exchangeWith(peer, Milliseconds(2000)))
                    std::fprintf(stderr, "membership_bench: an exchange failed\n");
                if (!keepsConnection)
                    a.peers.closeIdle(Milliseconds(0));
            }
            bytes.add(static_cast<double>(size),
                static_cast<double>(a.peers.controlBytes() - bytesBefore) / exchangesPerSize);
            cpu.add(static_cast<double>(size), (cpuSeconds() - cpuBefore) * 1e6 / exchangesPerSize);
        }
        bytes.print();
        cpu.print();
    }

    void measureEntries(const std::vector<std::size_t>& sizes)
    {
        LinearFit fit("catalogue entries", "bytes of memory");
        for (const std::size_t size : sizes) {
            const std::size_t before = heapBytes();
            Catalogue catalogue;
            load(catalogue, size);
            fit.add(static_cast<double>(size), static_cast<double>(heapBytes() - before));
        }
        fit.print();
    }

    /// Changes arrive at one process and reach the other, one message per change.
    void measureChanges(const std::vector<std::size_t>& counts)
    {
        LinearFit bytes("changes", "bytes of the pushes and their answers");
        LinearFit cpu("changes", "microseconds of CPU, sender and receiver");
        std::uint16_t port = firstPort + 100;
        for (const std::size_t count : counts) {
            Node a(port++);
            Node b(port++);
            constexpr std::size_t entryCount = 1000;
            for (Node* node : { &a, &b })
                load(node->catalogue, entryCount);
            const HostAddress peer = b.table.self().address;
            const std::uint64_t bytesBefore = a.peers.controlBytes();
            const double cpuBefore = cpuSeconds();
            for (std::size_t n = 1; n <= count; ++n) {
                const std::uint64_t revision = entryCount + n;
                CatalogueDelta delta { revision - 1, revision, { entryOf(n % entryCount, revision) }, 0 };
                a.catalogue.apply(delta);
                nlohmann::json body = { { "revision", revision }, { "delta", a.parts.small(revision - 1) } };
                if (!a.caller.call(peer, PeerMessageType::CataloguePush, std::move(body), Milliseconds(2000)))
                    std::fprintf(stderr, "membership_bench: a push failed\n");
            }
            if (b.catalogue.revision() != entryCount + count)
                std::fprintf(stderr, "membership_bench: changes are missing\n");
            bytes.add(static_cast<double>(count), static_cast<double>(a.peers.controlBytes() - bytesBefore));
            cpu.add(static_cast<double>(count), (cpuSeconds() - cpuBefore) * 1e6);
        }
        bytes.print();
        cpu.print();
    }

    void measureSnapshots(const std::vector<std::size_t>& sizes)
    {
        LinearFit bytes("catalogue entries", "bytes of a snapshot in parts");
        LinearFit cpu("catalogue entries", "microseconds of CPU to cut a snapshot into parts");
        for (const std::size_t size : sizes) {
            Catalogue catalogue;
            load(catalogue, size);
            CatalogueParts parts(catalogue, 256 * 1024);
            const double before = cpuSeconds();
            std::size_t sent = 0;
            std::uint64_t cursor = 0;
            for (bool hasMore = true; hasMore;) {
                const nlohmann::json part = parts.part(0, cursor);
                sent += nlohmann::json::to_msgpack(part).size();
                cursor = part.at("cursor").get<std::uint64_t>();
                hasMore = part.at("hasMore").get<bool>();
            }
            cpu.add(static_cast<double>(size), (cpuSeconds() - before) * 1e6);
            bytes.add(static_cast<double>(size), static_cast<double>(sent));
        }
        bytes.print();
        cpu.print();
    }

} // namespace

} // namespace kumquatbank

int main()
{
    using namespace kumquatbank;
    const std::vector<std::size_t> rows { 300, 1000, 2000, 3000 };
    const std::vector<std::size_t> entries { 1000, 10'000, 25'000, 50'000 };
    measureRows(rows);
    measureExchanges(rows, true);
    measureExchanges(rows, false);
    measureEntries(entries);
    measureSnapshots(entries);
    measureChanges({ 250, 500, 1000, 2000 });
    return 0;
}
