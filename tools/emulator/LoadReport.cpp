#include "LoadReport.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <numeric>

namespace kumquatbank {

namespace {

    double percentileMs(std::vector<std::chrono::microseconds> values, double part)
    {
        if (values.empty())
            return 0;
        std::ranges::sort(values);
        const auto n = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
        return std::chrono::duration<double, std::milli>(values[n]).count();
    }

} // namespace

bool LoadReport::promisesNothingKept(const std::string& code)
{
    static constexpr std::array<std::string_view, 8> promises { "BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY", "NODB", "NOAUTH" };
    return std::ranges::find(promises, code) != promises.end();
}

void LoadReport::answered(const std::string& database, std::chrono::microseconds took, const std::string& code)
{
    auto& known = m_classes[database];
    if (code.empty())
        known.served.push_back(took);
    else
        ++known.refused[code];
}

void LoadReport::acknowledged(const std::string& database, BootTime at)
{
    auto& known = m_classes[database];
    if (known.lastAcknowledged)
        known.longestGap = std::max(known.longestGap, std::chrono::duration_cast<std::chrono::milliseconds>(at - *known.lastAcknowledged));
    known.lastAcknowledged = at;
}

void LoadReport::unknownDatabase(const std::string& database, BootTime sentAt)
{
    m_unknownDatabases.push_back(fmt::format("{} {} {}", database, toMs(sentAt.time_since_epoch()), toMs(BootClock::now().time_since_epoch())));
}

void LoadReport::keyAnswered(const std::string& key, BootTime sentAt, KeyOutcome outcome)
{
    static constexpr std::array<std::string_view, 3> names { "served", "transaction", "refused" };
    m_keyAnswers.push_back(fmt::format("{} {} {} {}", key, toMs(sentAt.time_since_epoch()), toMs(BootClock::now().time_since_epoch()), names.at(static_cast<std::size_t>(outcome))));
}

void LoadReport::delayed(std::chrono::milliseconds delay)
{
    const auto now = BootClock::now();
    m_delays.emplace_back(now, delay);
    while (m_delays.front().first < now - std::chrono::seconds(1))
        m_delays.pop_front();
}

std::chrono::milliseconds LoadReport::longestDelay() const
{
    const auto it = std::ranges::max_element(m_delays, {}, [](const auto& item) { return item.second; });
    return it == m_delays.end() ? std::chrono::milliseconds(0) : it->second;
}

std::size_t LoadReport::served() const
{
    return std::accumulate(m_classes.begin(), m_classes.end(), std::size_t(0), [](std::size_t sum, const auto& item) { return sum + item.second.served.size(); });
}

void LoadReport::print(std::ostream& out, std::chrono::seconds duration) const
{
    out << fmt::format("{:<22} {:>8} {:>8} {:>8} {:>8} {:>8}  {}\n", "database", "served", "per s", "p50 ms", "p99 ms", "gap ms", "not served");
    for (const auto& [name, known] : m_classes) {
        std::string refused;
        for (const auto& [code, count] : known.refused)
            refused += fmt::format("{} {} ", code, count);
        out << fmt::format("{:<22} {:>8} {:>8.0f} {:>8.1f} {:>8.1f} {:>8}  {}\n", name, known.served.size(), static_cast<double>(known.served.size()) / static_cast<double>(duration.count()), percentileMs(known.served, 0.5), percentileMs(known.served, 0.99), known.longestGap.count(), refused);
    }
    out << "statements without an answer: " << m_unanswered.size() << "\nviolations: " << m_violations.size() << '\n';
    for (const auto& what : m_violations)
        out << "  " << what << '\n';
}

} // namespace kumquatbank
