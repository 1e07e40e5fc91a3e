#include "ReplicatedLog.h"

#include <algorithm>
#include <iterator>

namespace kumquatbank::standin {

void ReplicatedLog::append(LogRecord record)
{
    applyRecord(record);
    m_records.push_back(std::move(record));
}

void ReplicatedLog::truncate(std::uint64_t position)
{
    if (position >= m_records.size())
        return;
    m_records.resize(position);
    m_state.clear();
    m_keyPositions.clear();
    std::ranges::for_each(m_records, [this](const LogRecord& record) { applyRecord(record); });
}

LogPosition ReplicatedLog::end() const
{
    return m_records.empty() ? LogPosition {} : LogPosition { m_records.back().term, m_records.size() };
}

ReplicatedLog::TermEnds ReplicatedLog::termEnds() const
{
    TermEnds ends;
    for (auto position = m_records.size(); position > 0;) {
        const auto term = termAt(position);
        ends[term] = position;
        // Terms never decrease along the log, so the term's first record can be found by bisection.
        const auto first = std::ranges::lower_bound(m_records, term, {}, &LogRecord::term);
        position = static_cast<std::size_t>(first - m_records.begin());
    }
    return ends;
}

std::uint64_t ReplicatedLog::commonPrefix(const TermEnds& other) const
{
    std::uint64_t common = 0;
    for (const auto& [term, end] : termEnds()) {
        const auto it = other.find(term);
        if (it == other.end())
            continue;
        const auto last = std::min(end, it->second);
        // The other log may start this term later than its own end here suggests.
        const auto before = it == other.begin() ? 0 : std::prev(it)->second;
        if (last > before && termAt(last) == term)
            common = std::max(common, last);
    }
    return common;
}

std::vector<LogRecord> ReplicatedLog::recordsAfter(std::uint64_t position, std::size_t limit) const
{
    if (position >= m_records.size())
        return {};
    const auto first = m_records.begin() + static_cast<std::ptrdiff_t>(position);
    const auto count = std::min(limit, m_records.size() - position);
    return { first, first + static_cast<std::ptrdiff_t>(count) };
}

const LogRecord* ReplicatedLog::findKey(const std::string& idempotencyKey) const
{
    const auto it = m_keyPositions.find(idempotencyKey);
    return it == m_keyPositions.end() ? nullptr : &m_records[it->second - 1];
}

nlohmann::json ReplicatedLog::evaluate(
    const std::vector<Statement::Step>& steps, const std::vector<Operation>& pending) const
{
    auto operations = pending;
    auto rows = nlohmann::json::array();
    for (const auto& step : steps) {
        if (!step.isRead) {
            rows.push_back(step.operation.value);
            operations.push_back(step.operation);
            continue;
        }
        const auto it = m_state.find(step.operation.key);
        auto values = it == m_state.end() ? Values {} : it->second;
        for (const auto& operation : operations) {
            if (operation.key == step.operation.key)
                apply(values, operation);
        }
        std::ranges::copy(values, std::back_inserter(rows));
    }
    return rows;
}

nlohmann::json ReplicatedLog::dump() const
{
    auto keys = nlohmann::json::object();
    for (const auto& [key, position] : m_keyPositions) {
        const auto& record = m_records[position - 1];
        keys[key] = { { "term", record.term }, { "position", position }, { "rows", record.rows } };
    }
    return { { "log", m_records }, { "state", m_state }, { "keys", std::move(keys) } };
}

void ReplicatedLog::apply(Values& values, const Operation& operation)
{
    if (operation.type == Operation::Type::Put)
        values.clear();
    values.push_back(operation.value);
}

void ReplicatedLog::applyRecord(const LogRecord& record)
{
    for (const auto& operation : record.operations)
        apply(m_state[operation.key], operation);
    if (!record.idempotencyKey.empty())
        m_keyPositions[record.idempotencyKey] = record.position;
}

Term ReplicatedLog::termAt(std::uint64_t position) const
{
    return m_records[position - 1].term;
}

} // namespace kumquatbank::standin
