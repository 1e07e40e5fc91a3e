#pragma once

#include <string>
#include <vector>

namespace kumquatbank {

/// An entry of another writer that names no database to use.
struct OddEntry {
    std::string description;
    std::string spec; ///< Text of the entry, as the store sends it.
};

/// Entries of the kind of databases that cannot be read, or that a reader must not use: deep nesting, numbers out of range,
/// bytes that are not UTF-8, lone surrogates, fields of other types. @p service: of the databases beside them.
std::vector<OddEntry> oddEntries(const std::string& service);

/// Entries whose text is about @p bytes long: empty objects, members, numbers, strings and nested arrays, where the parsed
/// form takes many times the memory of the text.
std::vector<OddEntry> longEntries(const std::string& service, std::size_t bytes);

/// A readable entry of a database with a further member of about @p bytes.
std::string entryWithLongNote(const std::string& service, std::size_t bytes);

} // namespace kumquatbank
