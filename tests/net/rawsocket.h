#pragma once

#include <cstdint>
#include <string>

/// TCP connection to a loopback port, for requests that an HTTP client can't send.
class RawSocket
{
public:
    explicit RawSocket(std::uint16_t port);
    ~RawSocket();
    RawSocket(const RawSocket &) = delete;
    RawSocket &operator=(const RawSocket &) = delete;

    void send(const std::string &text) const;

    /// Reads until the text was received or the peer closed the connection; returns all bytes received so far.
    std::string readUntil(const std::string &text);

    /// Reads until the peer closes the connection; returns all bytes received so far.
    std::string readAll();

private:
    bool readSome();

    int m_fd;
    std::string m_received;
};
