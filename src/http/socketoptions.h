#pragma once

#include "base/timestamp.h"

#include <asio/ip/tcp.hpp>

namespace Basilbend
{

/// Sets the options that all connections of the program use: TCP_NODELAY, non-blocking mode and TCP_USER_TIMEOUT, after which
/// unacknowledged bytes end the connection. Only this timeout ends the connection to a peer without power or behind a partition.
void applyConnectionOptions(asio::ip::tcp::socket &socket);

/// Parses "ADDRESS:PORT". Throws asio::system_error or std::invalid_argument when the text is not an IP address with a port.
asio::ip::tcp::endpoint parseSocketEndpoint(const std::string &text);

/// Closes the connection with a TCP reset, which notifies the peer at once that its bytes are no longer read.
void resetConnection(asio::ip::tcp::socket &socket);

}
