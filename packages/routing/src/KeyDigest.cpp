#include "kumquatbank/routing/KeyDigest.h"

#include <boost/lexical_cast.hpp>
#include <boost/uuid/name_generator_sha1.hpp>
#include <boost/uuid/uuid_io.hpp>

namespace kumquatbank {

KeyDigest KeyDigest::of(std::string_view key)
{
    static const boost::uuids::name_generator_sha1 generator(boost::uuids::ns::oid());
    return KeyDigest(generator(key.data(), key.size()));
}

std::optional<KeyDigest> KeyDigest::parse(const std::string& text)
{
    boost::uuids::uuid value {};
    if (!boost::conversion::try_lexical_convert(text, value))
        return std::nullopt;
    return KeyDigest(value);
}

std::string KeyDigest::toString() const { return boost::uuids::to_string(m_value); }

} // namespace kumquatbank
