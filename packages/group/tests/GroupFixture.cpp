#include "GroupFixture.h"

#include <algorithm>
#include <thread>

namespace kumquatbank {

namespace {

    constexpr const char* deployment = "test";

    DatabaseGroupOptions holderOptions(std::uint16_t port)
    {
        DatabaseGroupOptions options;
        options.self = { { "127.0.0.1", port }, 1, "place-0" };
        options.deployment = deployment;
        options.transactionIdle = Milliseconds(600);
        return options;
    }

    CatalogueEntry testEntry()
    {
        CatalogueEntry entry;
        entry.name = "test-entry";
        entry.owner = "tests";
        entry.entryClass = EntryClass::Both;
        entry.rank = Rank::Urgent;
        entry.service = "service";
        entry.maxQueue = Milliseconds(8000);
        return entry;
    }

} // namespace

StandInGroup::StandInGroup(Milliseconds lag)
{
    m_definition.name = "db";
    m_definition.service = "service";
    m_definition.connectionLimit = 20;
    for (unsigned n = 0; n < 3; ++n)
        m_definition.slots.push_back({ n, freeAddress(), "place-" + std::to_string(n) });
    for (unsigned n = 0; n < 3; ++n) {
        std::string peers;
        for (const auto& other : m_definition.slots) {
            if (other.slot != n)
                peers += (peers.empty() ? "" : ",") + other.address.toString();
        }
        const auto control = freeAddress();
        std::vector<std::string> arguments { "--address", m_definition.slots[n].address.toString(), "--control",
            control.toString(), "--slot", std::to_string(n), "--peers", peers, "--connect-ms", "10", "--lag-ms",
            std::to_string(lag.count()) };
        if (n == 0)
            arguments.emplace_back("--primary");
        m_slots.push_back(std::make_unique<StandInProcess>(std::move(arguments), control));
    }
}

nlohmann::json StandInGroup::status(std::size_t n) const
{
    const auto answer = m_slots.at(n)->control({ { "command", "status" } });
    return answer.is_object() ? answer.at("status") : answer;
}

nlohmann::json StandInGroup::dump(std::size_t n) const { return m_slots.at(n)->control({ { "command", "dump" } }); }

std::vector<std::string> StandInGroup::values(std::size_t n, const std::string& key) const
{
    const auto state = dump(n).at("state");
    return state.contains(key) ? state.at(key).get<std::vector<std::string>>() : std::vector<std::string> {};
}

TestHolder::TestHolder(const StandInGroup& group, std::uint16_t port)
    : entry(testEntry())
    , m_group(group.definition(), holderOptions(port), m_ledger)
{
    m_group.start();
}

Result<CallerAnswer> TestHolder::run(CallerRequest request)
{
    request.requestId = "r";
    request.entry = entry.name;
    request.database = "db";
    const auto session = SessionToken::decode(request.session, deployment);
    if (!session)
        return tl::unexpected(session.error());
    return m_group.run(request, entry, *session, 0, 1);
}

Result<CallerAnswer> TestHolder::write(
    const std::string& statement, Milliseconds deadline, const std::string& key)
{
    CallerRequest request;
    request.kind = RequestKind::Write;
    request.statement = statement;
    request.deadline = Deadline::after(deadline);
    request.idempotencyKey = key;
    return run(request);
}

Result<CallerAnswer> TestHolder::read(
    const std::string& statement, const std::string& session, Milliseconds deadline)
{
    CallerRequest request;
    request.kind = RequestKind::Read;
    request.statement = statement;
    request.session = session;
    request.deadline = Deadline::after(deadline);
    return run(request);
}

bool TestHolder::waitUntilReady()
{
    return eventually([this] { return m_group.isHolder() && write("put ready 1").has_value(); });
}

Writer::Writer(TestHolder& holder)
    : m_holder(holder)
    , m_thread([this] { run(); })
{
}

Writer::~Writer() { stop(); }

void Writer::stop()
{
    m_isStopped = true;
    if (m_thread.joinable())
        m_thread.join();
}

void Writer::run()
{
    auto lastAnswer = Clock::now();
    for (unsigned n = 0; !m_isStopped; ++n) {
        const auto value = "v" + std::to_string(n);
        if (!m_holder.write("append log " + value))
            continue;
        m_acknowledged.insert(value);
        const auto now = Clock::now();
        m_longestGap = std::max(m_longestGap, std::chrono::duration_cast<Milliseconds>(now - lastAnswer));
        lastAnswer = now;
        std::this_thread::sleep_for(Milliseconds(2));
    }
}

SimpleString StringFrom(const nlohmann::json& json) // NOLINT(readability-identifier-naming): CppUTest's name
{
    return { json.dump().c_str() };
}

bool eventually(const std::function<bool()>& condition, Milliseconds limit)
{
    const auto deadline = Deadline::after(limit);
    while (!deadline.hasPassed()) {
        if (condition())
            return true;
        std::this_thread::sleep_for(Milliseconds(5));
    }
    return condition();
}

} // namespace kumquatbank
