#include "CommandDisturbances.h"

#include <array>
#include <fmt/format.h>

namespace kumquatbank {

namespace {

    using Kind = CommandDisturbance::Kind;

    constexpr std::array words { "PREPARE", "SET", "RESET", "BEGIN", "ROLLBACK" };
    constexpr std::array codes { "READONLY", "BUSY", "LAGGING", "FAILED" };
    constexpr std::array<std::pair<Kind, std::string_view>, 7> kinds { {
        { Kind::Refuse, "refuses" },
        { Kind::Refuse, "refuses" },
        { Kind::CutBefore, "ends the connection instead of an answer to" },
        { Kind::CutInside, "ends the connection inside the answer to" },
        { Kind::CutAfter, "ends the connection after the answer to" },
        { Kind::AnswerTwice, "answers twice to" },
        { Kind::WrongState, "names a wrong transaction state after" },
    } };
    constexpr int maxCount = 4;

} // namespace

CommandDisturbances::CommandDisturbances(EmulatedPlatform& platform, const EmulatedPlatform::Shape& shape, unsigned seed)
    : m_platform(platform)
    , m_shape(shape)
    , m_random(seed)
{
    // What a rollback does with values and prepared statements differs between databases.
    const bool forgetsUncommitted = m_random() % 2 == 0;
    for (int service = 0; service < shape.services; ++service) {
        for (int n = 0; n < shape.databasesPerService; ++n)
            platform.database(service, n).behaviour().forgetsUncommitted = forgetsUncommitted;
    }
}

std::string CommandDisturbances::disturbOne()
{
    auto& database = m_platform.database(static_cast<int>(m_random() % static_cast<unsigned>(m_shape.services)), static_cast<int>(m_random() % static_cast<unsigned>(m_shape.databasesPerService)));
    const auto* const word = words[m_random() % words.size()];
    const auto& [kind, name] = kinds[m_random() % kinds.size()];
    const auto* const code = codes[m_random() % codes.size()];
    const int count = 1 + static_cast<int>(m_random() % maxCount);
    database.behaviour().disturbances[word] = { kind, count, code };
    return fmt::format("the database {} {} {} {}{}", database.entry().id, name, count, word, kind == Kind::Refuse ? fmt::format(" with {}", code) : std::string());
}

std::string CommandDisturbances::moveLead()
{
    const auto service = static_cast<int>(m_random() % static_cast<unsigned>(m_shape.services));
    const auto former = m_platform.service(service).primary();
    if (!m_platform.moveLead(service, static_cast<int>(m_random() % static_cast<unsigned>(m_shape.databasesPerService))))
        return {};
    return fmt::format("the lead of {} moves from {} to {}", m_platform.service(service).name(), former, m_platform.service(service).primary());
}

} // namespace kumquatbank
