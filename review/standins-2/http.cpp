#include "http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <unistd.h>

namespace Review
{

namespace
{

constexpr std::size_t ReadBytes = 64 * 1024;
constexpr std::string_view Base64Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

bool isSameName(std::string_view a, std::string_view b)
{
    return a.size() == b.size()
        && std::equal(a.begin(), a.end(), b.begin(), [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

std::string trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
        text.remove_suffix(1);
    }
    return std::string(text);
}

/// Splits a head without its empty line into the first line and the fields.
std::string parseHead(const std::string &head, Fields &fields)
{
    const auto firstEnd = std::min(head.find("\r\n"), head.size());
    for (std::size_t at = firstEnd; at + 2 < head.size();) {
        const auto end = std::min(head.find("\r\n", at + 2), head.size());
        const auto line = head.substr(at + 2, end - at - 2);
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            fields.add(line.substr(0, colon), trimmed(std::string_view(line).substr(colon + 1)));
        }
        at = end;
    }
    return head.substr(0, firstEnd);
}

std::string headText(const std::string &firstLine, const Fields &fields)
{
    std::string text = firstLine + "\r\n";
    for (const auto &[name, value] : fields.all()) {
        text += name + ": " + value + "\r\n";
    }
    return text;
}

std::string statusLine(int status)
{
    return "HTTP/1.1 " + std::to_string(status) + " -";
}

bool isChunked(const Fields &fields)
{
    return isSameName(fields.value("Transfer-Encoding"), "chunked");
}

/// Takes a body in chunks from the input. Returns false while it is not complete; the body then holds the chunks that are.
bool takeChunks(const std::string &input, std::size_t &at, std::string &body)
{
    while (true) {
        const auto lineEnd = input.find("\r\n", at);
        if (lineEnd == std::string::npos) {
            return false;
        }
        const auto size = std::strtoull(input.c_str() + at, nullptr, 16);
        if (input.size() < lineEnd + 2 + size + 2) {
            return false;
        }
        body.append(input, lineEnd + 2, size);
        at = lineEnd + 2 + size + 2;
        if (size == 0) {
            return true;
        }
    }
}

/// Reads what has arrived of a response. Returns whether it is whole.
bool readResponse(const std::string &input, Response &response)
{
    const auto headEnd = input.find("\r\n\r\n");
    if (headEnd == std::string::npos) {
        return false;
    }
    response = {};
    const auto line = parseHead(input.substr(0, headEnd), response.fields);
    response.status = std::atoi(line.c_str() + std::min(line.find(' '), line.size()));
    auto at = headEnd + 4;
    if (isChunked(response.fields)) {
        response.isWhole = takeChunks(input, at, response.body);
    } else {
        const auto size = std::strtoull(response.fields.value("Content-Length").c_str(), nullptr, 10);
        response.body = input.substr(at, size);
        response.isWhole = response.body.size() == size;
    }
    return response.isWhole;
}

}

void Fields::add(const std::string &name, const std::string &value)
{
    m_fields.emplace_back(name, value);
}

std::string Fields::value(std::string_view name) const
{
    const auto it = std::find_if(m_fields.begin(), m_fields.end(), [name](const auto &field) { return isSameName(field.first, name); });
    return it == m_fields.end() ? std::string() : it->second;
}

std::string Request::path() const
{
    return target.substr(0, target.find('?'));
}

std::string Request::query(std::string_view name) const
{
    const auto mark = target.find('?');
    std::size_t at = mark == std::string::npos ? target.size() : mark + 1;
    while (at < target.size()) {
        const auto end = std::min(target.find('&', at), target.size());
        const auto pair = target.substr(at, end - at);
        const auto equals = std::min(pair.find('='), pair.size());
        if (pair.substr(0, equals) == name) {
            std::string decoded;
            for (std::size_t i = equals + 1; i < pair.size(); ++i) {
                if (pair[i] == '%' && i + 2 < pair.size()) {
                    decoded += static_cast<char>(std::strtoul(pair.substr(i + 1, 2).c_str(), nullptr, 16));
                    i += 2;
                } else {
                    decoded += pair[i];
                }
            }
            return decoded;
        }
        at = end + 1;
    }
    return {};
}

Channel::~Channel()
{
    ::close(m_descriptor);
}

bool Channel::fill()
{
    char buf[ReadBytes];
    const auto n = ::recv(m_descriptor, buf, sizeof buf, 0);
    if (n <= 0) {
        return false;
    }
    m_input.append(buf, static_cast<std::size_t>(n));
    return true;
}

bool Channel::read(Request &request)
{
    request = {};
    std::size_t headEnd = 0;
    while ((headEnd = m_input.find("\r\n\r\n")) == std::string::npos) {
        if (!fill()) {
            return false;
        }
    }
    const auto line = parseHead(m_input.substr(0, headEnd), request.fields);
    const auto firstSpace = line.find(' ');
    const auto lastSpace = line.rfind(' ');
    if (firstSpace == std::string::npos || lastSpace == firstSpace) {
        return false;
    }
    request.method = line.substr(0, firstSpace);
    request.target = line.substr(firstSpace + 1, lastSpace - firstSpace - 1);
    auto at = headEnd + 4;
    if (isChunked(request.fields)) {
        while (true) {
            auto end = at;
            request.body.clear();
            if (takeChunks(m_input, end, request.body)) {
                at = end;
                break;
            }
            if (!fill()) {
                return false;
            }
        }
    } else {
        const auto size = std::strtoull(request.fields.value("Content-Length").c_str(), nullptr, 10);
        while (m_input.size() < at + size) {
            if (!fill()) {
                return false;
            }
        }
        request.body = m_input.substr(at, size);
        at += size;
    }
    m_input.erase(0, at);
    return true;
}

bool Channel::sendAll(std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto n = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

bool Channel::respond(int status, const Fields &fields, const std::string &body)
{
    return sendAll(headText(statusLine(status), fields) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

bool Channel::beginChunks(int status, const Fields &fields)
{
    return sendAll(headText(statusLine(status), fields) + "Transfer-Encoding: chunked\r\n\r\n");
}

bool Channel::sendChunk(const std::string &data)
{
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", data.size());
    return sendAll(size + data + "\r\n");
}

bool Channel::endChunks()
{
    return sendAll("0\r\n\r\n");
}

bool Channel::isClosedByClient() const
{
    char c = 0;
    return ::recv(m_descriptor, &c, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

Server::Server(Handler handler)
    : m_handler(std::move(handler))
    , m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    auto address = loopback(0);
    socklen_t size = sizeof address;
    const bool isListening = ::bind(m_listener, reinterpret_cast<sockaddr *>(&address), size) == 0 && ::listen(m_listener, 512) == 0
        && ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size) == 0;
    if (!isListening) {
        throw std::runtime_error("no port on a loopback address");
    }
    m_port = ntohs(address.sin_port);
    std::thread([this] { accept(); }).detach();
}

std::string Server::address() const
{
    return "127.0.0.1:" + std::to_string(m_port);
}

void Server::close()
{
    ::shutdown(m_listener, SHUT_RDWR);
    ::close(m_listener);
}

void Server::accept()
{
    while (true) {
        const int descriptor = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            if (errno == EINVAL || errno == EBADF) {
                return;
            }
            continue;
        }
        const int on = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread([this, descriptor] {
            Channel channel(descriptor);
            Request request;
            while (channel.read(request) && m_handler(channel, request)) {}
        }).detach();
    }
}

Response call(std::uint16_t port, const Request &request, int timeoutMs)
{
    Response response;
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval limit{timeoutMs / 1000, timeoutMs % 1000 * 1000};
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    ::setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    const auto address = loopback(port);
    std::string input;
    const auto bytes = headText(request.method + " " + request.target + " HTTP/1.1", request.fields) + "Content-Length: " + std::to_string(request.body.size())
        + "\r\n\r\n" + request.body;
    bool isOpen = ::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
    for (std::size_t sent = 0; isOpen && sent < bytes.size();) {
        const auto n = ::send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        isOpen = n > 0;
        sent += n > 0 ? static_cast<std::size_t>(n) : 0;
    }
    char buf[ReadBytes];
    while (!readResponse(input, response) && isOpen) {
        const auto n = ::recv(descriptor, buf, sizeof buf, 0);
        isOpen = n > 0;
        input.append(buf, n > 0 ? static_cast<std::size_t>(n) : 0);
    }
    ::close(descriptor);
    return response;
}

std::string toBase64(std::string_view bytes)
{
    std::string text;
    text.reserve(bytes.size() * 4 / 3 + 4);
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        const auto n = std::min<std::size_t>(3, bytes.size() - i);
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            group = group << 8U | (k < n ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            text += k <= n ? Base64Digits[group >> (18 - 6 * k) & 63U] : '=';
        }
    }
    return text;
}

std::string fromBase64(std::string_view text)
{
    std::string bytes;
    std::uint32_t group = 0;
    int bits = 0;
    for (const char c : text) {
        const auto digit = Base64Digits.find(c);
        if (digit == std::string_view::npos) {
            break;
        }
        group = group << 6U | static_cast<std::uint32_t>(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(group >> bits & 255U);
        }
    }
    return bytes;
}

}
