#pragma once

#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string_view>

namespace Basilbend
{

/// Reads a socket whenever it has bytes, into a buffer that all readers of the thread share: an open connection costs no
/// buffer of its own.
class SocketReader
{
public:
    struct Hooks {
        /// Bytes have arrived. The view is valid during the call.
        std::function<void(std::string_view)> onBytes;
        /// The peer has ended the stream, in order or by a reset. The last call.
        std::function<void(bool inOrder)> onEnd;
        /// Whether to go on reading after onBytes.
        std::function<bool()> wantsMore;
    };

    SocketReader(asio::ip::tcp::socket &socket, Hooks hooks);

    /// Waits for bytes, if it does not wait already. The owner of the socket and of this reader is kept alive meanwhile.
    void wait(const std::shared_ptr<void> &owner);

private:
    void readAvailable(const std::shared_ptr<void> &owner);

    asio::ip::tcp::socket &m_socket;
    Hooks m_hooks;
    bool m_waiting = false;
};

}
