#include "RowCodec.h"

#include <arpa/inet.h>
#include <array>
#include <map>
#include <netinet/in.h>
#include <stdexcept>
#include <xxhash.h>

namespace kumquatbank {

namespace {

    constexpr std::uint8_t ipv6Flag = 0x10;
    constexpr std::uint8_t stateMask = 0x0f;
    constexpr std::size_t maxPlaceLength = 255;

    class Writer {
    public:
        template <typename Number>
        void number(Number value)
        {
            for (std::size_t i = 0; i < sizeof(Number); ++i)
                m_buf.push_back(static_cast<std::uint8_t>(value >> (8 * i)));
        }

        void text(const std::string& value)
        {
            if (value.size() > maxPlaceLength)
                throw std::invalid_argument("place name '" + value + "' is longer than 255 bytes");
            number(static_cast<std::uint8_t>(value.size()));
            m_buf.insert(m_buf.end(), value.begin(), value.end());
        }

        void address(const HostAddress& value, std::uint8_t flags)
        {
            std::array<std::uint8_t, sizeof(in6_addr)> ip {};
            const bool isV4 = inet_pton(AF_INET, value.ip.c_str(), ip.data()) == 1;
            if (!isV4 && inet_pton(AF_INET6, value.ip.c_str(), ip.data()) != 1)
                throw std::invalid_argument("'" + value.ip + "' is not a numeric address");
            number(static_cast<std::uint8_t>(flags | (isV4 ? 0 : ipv6Flag)));
            m_buf.insert(m_buf.end(), ip.begin(), ip.begin() + (isV4 ? sizeof(in_addr) : sizeof(in6_addr)));
            number(value.port);
        }

        nlohmann::json finish() { return nlohmann::json::binary(std::move(m_buf)); }

    private:
        std::vector<std::uint8_t> m_buf;
    };

    class Reader {
    public:
        explicit Reader(const nlohmann::json& packed)
        {
            if (!packed.is_binary())
                throw std::invalid_argument("packed rows are not binary");
            m_rest = packed.get_binary();
        }

        bool isAtEnd() const { return m_rest.empty(); }

        std::span<const std::uint8_t> bytes(std::size_t n)
        {
            if (m_rest.size() < n)
                throw std::invalid_argument("packed rows are cut short");
            const auto taken = m_rest.first(n);
            m_rest = m_rest.subspan(n);
            return taken;
        }

        template <typename Number>
        Number number()
        {
            std::uint64_t value = 0;
            std::size_t shift = 0;
            for (const std::uint8_t byte : bytes(sizeof(Number))) {
                value |= static_cast<std::uint64_t>(byte) << shift;
                shift += 8;
            }
            return static_cast<Number>(value);
        }

        std::string text()
        {
            const auto taken = bytes(number<std::uint8_t>());
            return { taken.begin(), taken.end() };
        }

        HostAddress address(std::uint8_t& flags)
        {
            flags = number<std::uint8_t>();
            const bool isV4 = (flags & ipv6Flag) == 0;
            const auto ip = bytes(isV4 ? sizeof(in_addr) : sizeof(in6_addr));
            std::array<char, INET6_ADDRSTRLEN> buf {};
            inet_ntop(isV4 ? AF_INET : AF_INET6, ip.data(), buf.data(), buf.size());
            HostAddress address { buf.data(), 0 };
            address.port = number<std::uint16_t>();
            return address;
        }

    private:
        std::span<const std::uint8_t> m_rest;
    };

} // namespace

std::uint64_t hashOfPlace(const std::string& place) { return XXH3_64bits(place.data(), place.size()); }

nlohmann::json packRows(std::span<const Member> rows)
{
    std::map<std::string, std::uint16_t> places;
    for (const Member& row : rows)
        places.emplace(row.identity.place, 0);

    Writer writer;
    writer.number(static_cast<std::uint16_t>(places.size()));
    std::uint16_t count = 0;
    for (auto& [place, index] : places) {
        writer.text(place);
        index = count++;
    }
    for (const Member& row : rows) {
        writer.address(row.identity.address, static_cast<std::uint8_t>(row.state));
        writer.number(row.identity.incarnation);
        writer.number(places.at(row.identity.place));
    }
    return writer.finish();
}

std::vector<Member> unpackRows(const nlohmann::json& packed)
{
    Reader reader(packed);
    std::vector<std::string> places(reader.number<std::uint16_t>());
    for (std::string& place : places)
        place = reader.text();
    std::vector<Member> rows;
    while (!reader.isAtEnd()) {
        Member row;
        std::uint8_t flags = 0;
        row.identity.address = reader.address(flags);
        const std::uint8_t state = flags & stateMask;
        if (state > static_cast<std::uint8_t>(MemberState::Dead))
            throw std::invalid_argument("packed row has an unknown state");
        row.state = static_cast<MemberState>(state);
        row.identity.incarnation = reader.number<std::uint64_t>();
        const auto index = reader.number<std::uint16_t>();
        if (index >= places.size())
            throw std::invalid_argument("packed row names no place");
        row.identity.place = places[index];
        rows.push_back(std::move(row));
    }
    return rows;
}

nlohmann::json packDigests(std::span<const PlaceDigest> digests)
{
    Writer writer;
    for (const PlaceDigest& it : digests) {
        writer.number(it.placeHash);
        writer.number(it.rowCount);
        writer.number(it.digest);
    }
    return writer.finish();
}

std::vector<PlaceDigest> unpackDigests(const nlohmann::json& packed)
{
    Reader reader(packed);
    std::vector<PlaceDigest> digests;
    while (!reader.isAtEnd()) {
        PlaceDigest it;
        it.placeHash = reader.number<std::uint64_t>();
        it.rowCount = reader.number<std::uint16_t>();
        it.digest = reader.number<std::uint64_t>();
        digests.push_back(it);
    }
    return digests;
}

nlohmann::json packAddresses(std::span<const HostAddress> addresses)
{
    Writer writer;
    for (const HostAddress& it : addresses)
        writer.address(it, 0);
    return writer.finish();
}

std::vector<HostAddress> unpackAddresses(const nlohmann::json& packed)
{
    Reader reader(packed);
    std::vector<HostAddress> addresses;
    std::uint8_t flags = 0;
    while (!reader.isAtEnd())
        addresses.push_back(reader.address(flags));
    return addresses;
}

} // namespace kumquatbank
