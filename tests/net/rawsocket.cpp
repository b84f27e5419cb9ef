#include "net/rawsocket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

RawSocket::RawSocket(std::uint16_t port)
    : m_fd(socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(m_fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        throw std::runtime_error("cannot connect to the loopback port");
    }
}

RawSocket::~RawSocket()
{
    close(m_fd);
}

void RawSocket::send(const std::string &text) const
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const auto n = ::send(m_fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            return;
        }
        sent += static_cast<std::size_t>(n);
    }
}

std::string RawSocket::readUntil(const std::string &text)
{
    while (m_received.find(text) == std::string::npos && readSome()) {}
    return m_received;
}

std::string RawSocket::readAll()
{
    while (readSome()) {}
    return m_received;
}

bool RawSocket::readSome()
{
    char buffer[4096];
    const auto n = recv(m_fd, buffer, sizeof buffer, 0);
    if (n > 0) {
        m_received.append(buffer, static_cast<std::size_t>(n));
    }
    return n > 0;
}
