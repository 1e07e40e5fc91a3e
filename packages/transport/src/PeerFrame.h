#pragma once

#include "PeerEncoding.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace kumquatbank {

namespace asio = boost::asio;

/// Completion token whose result carries the error code instead of throwing it.
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

/// One message on a connection between two processes.
struct PeerFrame {
    std::uint64_t call = 0; ///< Number of the call on its connection; a response has that of its request.
    PeerBytes body;
};

/// Reads one frame. The error is set if the connection ended, or if the frame is larger than a message may be.
asio::awaitable<boost::system::error_code> readPeerFrame(asio::ip::tcp::socket& socket, PeerFrame& frame);

asio::awaitable<boost::system::error_code> writePeerFrame(asio::ip::tcp::socket& socket, const PeerFrame& frame);

} // namespace kumquatbank
