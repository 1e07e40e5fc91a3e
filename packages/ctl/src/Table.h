#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace kumquatbank {

/// Text table with aligned columns.
class Table {
public:
    using Row = std::vector<std::string>;

    explicit Table(Row header)
        : m_rows { std::move(header) }
    {
    }

    /// @p row has as many cells as the header.
    void add(Row row) { m_rows.push_back(std::move(row)); }

    void print(std::ostream& out) const;

private:
    std::vector<Row> m_rows;
};

} // namespace kumquatbank
