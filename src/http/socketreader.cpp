#include "http/socketreader.h"

#include <array>
#include <asio/buffer.hpp>

namespace Basilbend
{

namespace
{

constexpr std::size_t BufferBytes = 64 * 1024;

/// Limit on the reads per wake-up, so that a fast peer does not starve the other work of the event loop.
constexpr int MaxReadsPerWakeup = 8;

/// Shared by all readers, since onBytes uses the bytes before the next read.
std::array<char, BufferBytes> sharedBuffer;

}

SocketReader::SocketReader(asio::ip::tcp::socket &socket, Hooks hooks)
    : m_socket(socket)
    , m_hooks(std::move(hooks))
{
}

void SocketReader::wait(const std::shared_ptr<void> &owner)
{
    if (m_waiting || !m_socket.is_open()) {
        return;
    }
    m_waiting = true;
    m_socket.async_wait(asio::ip::tcp::socket::wait_read, [this, owner](const asio::error_code &ec) {
        m_waiting = false;
        if (!ec && m_socket.is_open()) {
            readAvailable(owner);
        }
    });
}

void SocketReader::readAvailable(const std::shared_ptr<void> &owner)
{
    for (int reads = 0; reads < MaxReadsPerWakeup; ++reads) {
        asio::error_code ec;
        const auto n = m_socket.read_some(asio::buffer(sharedBuffer), ec);
        if (ec == asio::error::would_block || ec == asio::error::interrupted) {
            break;
        }
        if (ec) {
            m_hooks.onEnd(ec == asio::error::eof);
            return;
        }
        m_hooks.onBytes({sharedBuffer.data(), n});
        const bool isDrained = n < sharedBuffer.size();
        if (!m_socket.is_open() || !m_hooks.shouldContinue()) {
            return;
        }
        if (isDrained) {
            break;
        }
    }
    wait(owner);
}

}
