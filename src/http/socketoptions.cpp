#include "http/socketoptions.h"

#include <asio/ip/address.hpp>
#include <charconv>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdexcept>

namespace Basilbend
{

namespace
{

/// Allows two retransmissions on a lossy link, and is short enough to meet the time limits for withdrawn keys.
constexpr int UserTimeoutMs = 3000;

}

void applyConnectionOptions(asio::ip::tcp::socket &socket)
{
    asio::error_code ec;
    socket.set_option(asio::ip::tcp::no_delay(true), ec);
    // A socket without this option still works; the timeouts of the calls then detect a dead connection.
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &UserTimeoutMs, sizeof UserTimeoutMs);
    socket.non_blocking(true, ec);
}

asio::ip::tcp::endpoint parseSocketEndpoint(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        throw std::invalid_argument("missing port in address " + text);
    }
    std::uint16_t port = 0;
    const auto *end = text.data() + text.size();
    const auto [parsedEnd, ec] = std::from_chars(text.data() + colon + 1, end, port);
    if (ec != std::errc{} || parsedEnd != end) {
        throw std::invalid_argument("port is not a number up to 65535 in address " + text);
    }
    return {asio::ip::make_address(text.substr(0, colon)), port};
}

void resetConnection(asio::ip::tcp::socket &socket)
{
    asio::error_code ec;
    socket.set_option(asio::socket_base::linger(true, 0), ec);
    socket.close(ec);
}

}
