#pragma once

#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string_view>

namespace Basilbend
{

/// Reads a socket whenever it is readable, into a buffer that all readers of the thread share, so that an open connection
/// needs no buffer of its own.
class SocketReader
{
public:
    struct Hooks {
        /// Called with received bytes. The view is valid during the call.
        std::function<void(std::string_view)> onBytes;
        /// Called last, when the peer has ended the stream with an orderly close or the connection has failed.
        std::function<void(bool isOrderly)> onEnd;
        /// Called after onBytes; returns whether to continue reading.
        std::function<bool()> shouldContinue;
    };

    SocketReader(asio::ip::tcp::socket &socket, Hooks hooks);

    /// Starts waiting for bytes unless a wait is pending. The owner of the socket and of this reader is kept alive until then.
    void wait(const std::shared_ptr<void> &owner);

private:
    void readAvailable(const std::shared_ptr<void> &owner);

    asio::ip::tcp::socket &m_socket;
    Hooks m_hooks;
    bool m_waiting = false;
};

}
