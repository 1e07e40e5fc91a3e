#include "PeerFrame.h"

#include <array>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/buffers.hpp>

namespace kumquatbank {

namespace {

    /// Precedes the body of every frame.
    struct Header {
        boost::endian::big_uint32_buf_t length; ///< Of the body, in bytes.
        boost::endian::big_uint64_buf_t call;
    };
    static_assert(sizeof(Header) == 12);

} // namespace

asio::awaitable<boost::system::error_code> readPeerFrame(asio::ip::tcp::socket& socket, PeerFrame& frame)
{
    Header header;
    const auto [headerError, headerBytes] = co_await asio::async_read(socket, asio::buffer(&header, sizeof(header)), asTuple);
    if (headerError)
        co_return headerError;
    if (header.length.value() > maxPeerMessageBytes)
        co_return asio::error::message_size;
    frame.call = header.call.value();
    frame.body.resize(header.length.value());
    const auto [bodyError, bodyBytes] = co_await asio::async_read(socket, asio::buffer(frame.body), asTuple);
    co_return bodyError;
}

asio::awaitable<boost::system::error_code> writePeerFrame(asio::ip::tcp::socket& socket, const PeerFrame& frame)
{
    Header header;
    header.length = static_cast<std::uint32_t>(frame.body.size());
    header.call = frame.call;
    const std::array<asio::const_buffer, 2> parts { asio::buffer(&header, sizeof(header)), asio::buffer(frame.body) };
    const auto [ec, n] = co_await asio::async_write(socket, parts, asTuple);
    co_return ec;
}

} // namespace kumquatbank
