#include "UpdateQueue.h"

#include <algorithm>

namespace kumquatbank {

namespace {

    /// A whole fleet at the target size refutes at once when a split heals.
    constexpr std::size_t capacity = 4096;

} // namespace

void UpdateQueue::add(const HostAddress& address)
{
    if (m_sends.size() >= capacity && !m_sends.contains(address))
        m_sends.erase(std::ranges::max_element(m_sends, {}, &std::pair<const HostAddress, unsigned>::second));
    m_sends[address] = 0;
}

std::vector<HostAddress> UpdateQueue::take(std::size_t count, unsigned maxSends)
{
    std::vector<std::map<HostAddress, unsigned>::iterator> rows;
    for (auto it = m_sends.begin(); it != m_sends.end(); ++it)
        rows.push_back(it);
    const auto taken = rows.begin() + static_cast<std::ptrdiff_t>(std::min(count, rows.size()));
    std::ranges::partial_sort(rows, taken, {}, [](const auto& it) { return it->second; });
    std::vector<HostAddress> addresses;
    std::for_each(rows.begin(), taken, [&](const auto& it) {
        addresses.push_back(it->first);
        if (++it->second >= maxSends)
            m_sends.erase(it);
    });
    return addresses;
}

} // namespace kumquatbank
