#pragma once

#include <boost/functional/hash.hpp>
#include <boost/uuid/uuid.hpp>
#include <boost/uuid/uuid_hash.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatbank {

/// Digest of a client's key: a UUID of version 5 (RFC 4122), which is based on SHA-1. Processes keep and exchange digests
/// only, so that keys appear neither in memory dumps nor in messages between hosts.
class KeyDigest {
public:
    static KeyDigest of(std::string_view key);
    /// Parses the result of toString(). Returns an empty value if the text is no digest.
    static std::optional<KeyDigest> parse(const std::string& text);

    std::string toString() const;

    bool operator==(const KeyDigest& other) const { return m_value == other.m_value; }

    struct Hash {
        std::size_t operator()(const KeyDigest& digest) const { return boost::uuids::hash_value(digest.m_value); }
    };

private:
    explicit KeyDigest(boost::uuids::uuid value)
        : m_value(value)
    {
    }

    boost::uuids::uuid m_value;
};

} // namespace kumquatbank
