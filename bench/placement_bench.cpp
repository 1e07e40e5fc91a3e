#include "HolderRanking.h"

#include <iomanip>
#include <iostream>

using namespace kumquatbank;

namespace {

constexpr std::size_t placeCount = 22;

std::vector<Member> makeMembers(std::size_t count)
{
    std::vector<Member> members;
    for (std::size_t n = 0; n < count; ++n)
        members.push_back({ { { "10.0." + std::to_string(n / 256) + "." + std::to_string(n % 256), 7200 }, n,
                                "place-" + std::to_string(n % placeCount) },
            MemberState::Alive });
    return members;
}

std::vector<DatabaseDefinition> makeDatabases(std::size_t count)
{
    std::vector<DatabaseDefinition> databases(count);
    for (std::size_t n = 0; n < count; ++n) {
        databases[n].name = "database-" + std::to_string(n);
        databases[n].slots.push_back({ 0, { "10.1.0.1", 5400 }, "place-" + std::to_string(n % placeCount) });
    }
    return databases;
}

std::chrono::duration<double, std::milli> measure(const auto& function)
{
    const auto start = Clock::now();
    function();
    return Clock::now() - start;
}

} // namespace

/// Cost of following one change of the member table: ranking the hosts anew and all databases on them.
int main()
{
    std::cout << "hosts  databases  ranking made, ms  all databases ranked, ms\n"
              << std::fixed << std::setprecision(2);
    for (const std::size_t hosts : { 300U, 1000U, 3000U }) {
        const auto members = makeMembers(hosts);
        const HolderRanking ranking(members);
        const auto made = measure([&] { const HolderRanking again(members); });
        for (const std::size_t count : { 1800U, 6000U, 18000U }) {
            const auto databases = makeDatabases(count);
            std::size_t found = 0;
            const auto ranked = measure([&] {
                for (const auto& it : databases)
                    found += ranking.candidates(it, 3).size();
            });
            if (found != count * 3)
                return 1;
            std::cout << std::setw(5) << hosts << std::setw(11) << count << std::setw(18) << made.count()
                      << std::setw(26) << ranked.count() << "\n";
        }
    }
}
