#pragma once

#include "base/timestamp.h"

#include <asio/ip/tcp.hpp>

namespace Basilbend
{

/// Sets what every connection of the program uses: no delay of small writes, and the time after which unacknowledged bytes
/// end the connection. A peer without power or behind a partition answers nothing, so only this time ends such a connection.
void applyConnectionOptions(asio::ip::tcp::socket &socket);

/// Parses "ADDRESS:PORT". Throws asio::system_error or std::invalid_argument when the text is no IP address with a port.
asio::ip::tcp::endpoint socketEndpoint(const std::string &text);

/// Closes with a reset, so that the peer learns at once that nobody reads its bytes any more.
void resetConnection(asio::ip::tcp::socket &socket);

}
