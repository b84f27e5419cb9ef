#include "net/curlexchange.h"

#include "http/headcheck.h"
#include "http/httpsyntax.h"

#include <algorithm>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <new>
#include <sys/socket.h>

namespace Basilbend::Internal
{

/// Timeout for opening a TCP connection. The latency between hosts of a region is at most a few milliseconds.
constexpr long ConnectTimeoutMs = 3000;
/// TCP_USER_TIMEOUT: a connection is closed when sent bytes stay unacknowledged for this long.
constexpr unsigned TcpUserTimeoutMs = 5000;
/// TCP_USER_TIMEOUT with abortiveClose: no byte may be delivered later than this after the process has ended.
constexpr unsigned AbortiveTcpUserTimeoutMs = 3000;
/// Below the server's idle timeout of 10 s, so that a request is rarely sent on a connection that the server is closing.
constexpr long MaxConnectionIdleSeconds = 8;

constexpr std::string_view StatusLineStart = "HTTP/";
constexpr std::string_view SupportedVersion = "HTTP/1.";

namespace
{

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view Blanks = " \t";
    text.remove_prefix(std::min(text.find_first_not_of(Blanks), text.size()));
    return text.substr(0, text.find_last_not_of(Blanks) + 1);
}

}

CurlExchange::CurlExchange(HttpClientRequest request, HttpClient::DoneCallback done, HttpClient::DataCallback data)
    : m_request(std::move(request))
    , m_done(std::move(done))
    , m_data(std::move(data))
    , m_easy(curl_easy_init())
{
    if (!m_easy) {
        throw std::bad_alloc();
    }
    setOptions();
}

CurlExchange::~CurlExchange()
{
    curl_easy_cleanup(m_easy);
    curl_slist_free_all(m_headers);
}

CURL *CurlExchange::easy() const
{
    return m_easy;
}

void CurlExchange::setOptions()
{
    const auto set = [this](CURLoption option, auto value) { curl_easy_setopt(m_easy, option, value); };
    set(CURLOPT_URL, m_request.url.c_str());
    set(CURLOPT_PROTOCOLS_STR, "http");
    set(CURLOPT_PROXY, "");
    set(CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    set(CURLOPT_NOSIGNAL, 1L);
    set(CURLOPT_TCP_NODELAY, 1L);
    set(CURLOPT_CONNECTTIMEOUT_MS, ConnectTimeoutMs);
    set(CURLOPT_MAXAGE_CONN, MaxConnectionIdleSeconds);
    set(CURLOPT_TIMEOUT_MS, static_cast<long>(m_request.timeout.count()));
    if (m_request.method == "HEAD") {
        set(CURLOPT_NOBODY, 1L);
    } else if (!m_request.body.empty() || m_request.method == "POST" || m_request.method == "PUT") {
        set(CURLOPT_POST, 1L);
        set(CURLOPT_POSTFIELDS, m_request.body.c_str());
        set(CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(m_request.body.size()));
    }
    if (m_request.method != "HEAD") {
        set(CURLOPT_CUSTOMREQUEST, m_request.method.c_str());
    }
    // An empty Expect header keeps libcurl from waiting up to 1 s for "100 Continue" before it sends a large body.
    m_headers = curl_slist_append(m_headers, "Expect:");
    bool hasType = false;
    for (const auto &[name, value] : m_request.headers) {
        hasType = hasType || name == "content-type" || name == "Content-Type";
        std::string line = name;
        line.append(value.empty() ? ";" : ": ").append(value);
        m_headers = curl_slist_append(m_headers, line.c_str());
    }
    if (!hasType && !m_request.body.empty()) {
        m_headers = curl_slist_append(m_headers, "Content-Type: application/json");
    }
    set(CURLOPT_HTTPHEADER, m_headers);
    if (m_request.freshConnection || m_request.abortiveClose) {
        set(CURLOPT_FRESH_CONNECT, 1L);
        set(CURLOPT_FORBID_REUSE, 1L);
    }
    set(CURLOPT_SOCKOPTFUNCTION, &CurlExchange::setSocketOptions);
    set(CURLOPT_SOCKOPTDATA, this);
    set(CURLOPT_HEADERFUNCTION, &CurlExchange::receiveHeader);
    set(CURLOPT_HEADERDATA, this);
    set(CURLOPT_WRITEFUNCTION, &CurlExchange::receiveBody);
    set(CURLOPT_WRITEDATA, this);
}

int CurlExchange::setSocketOptions(void *self, curl_socket_t fd, curlsocktype /*purpose*/)
{
    const auto *exchange = static_cast<CurlExchange *>(self);
    const unsigned timeout = exchange->m_request.abortiveClose ? AbortiveTcpUserTimeoutMs : TcpUserTimeoutMs;
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
    if (exchange->m_request.abortiveClose) {
        const linger reset{1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    }
    return CURL_SOCKOPT_OK;
}

std::size_t CurlExchange::receiveHeader(char *data, std::size_t size, std::size_t count, void *self)
{
    auto *exchange = static_cast<CurlExchange *>(self);
    exchange->m_lastReceivedAt = Clock::now();
    std::string_view line(data, size * count);
    while (!line.empty() && (line.back() == '\r' || line.back() == '\n')) {
        line.remove_suffix(1);
    }
    // libcurl ends the exchange with an error if not all bytes are taken.
    return exchange->readHeadLine(line) ? size * count : 0;
}

bool CurlExchange::readHeadLine(std::string_view line)
{
    if (line.empty()) {
        return true;
    }
    if (line.substr(0, StatusLineStart.size()) != StatusLineStart) {
        return readField(line);
    }
    // Discards the headers of an interim response (1xx).
    m_response.headers.clear();
    m_lastField.clear();
    return line.substr(0, SupportedVersion.size()) == SupportedVersion && hasThreeDigitStatus(line) && isAcceptableStatus(status());
}

bool CurlExchange::readField(std::string_view line)
{
    const bool isFolded = line.front() == ' ' || line.front() == '\t';
    if (isFolded) {
        // The line break stands for a space (RFC 9112, section 5.2).
        const auto it = m_response.headers.find(m_lastField);
        if (it != m_response.headers.end()) {
            it->second.append(" ").append(trimmed(line));
        }
        return it != m_response.headers.end() && isFieldValue(line);
    }
    const auto colon = line.find(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    m_lastField = line.substr(0, colon);
    for (auto &c : m_lastField) {
        c = c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    }
    const HttpField field{m_lastField, std::string(trimmed(line.substr(colon + 1)))};
    m_response.headers[m_lastField] = field.value;
    return isValidField(field) && isReadableFraming({field});
}

std::size_t CurlExchange::receiveBody(char *data, std::size_t size, std::size_t count, void *self)
{
    auto *exchange = static_cast<CurlExchange *>(self);
    exchange->m_lastReceivedAt = Clock::now();
    if (exchange->m_data) {
        exchange->m_data(exchange->status(), std::string_view(data, size * count));
    } else {
        exchange->m_response.body.append(data, size * count);
    }
    return size * count;
}

int CurlExchange::status() const
{
    long status = 0;
    curl_easy_getinfo(m_easy, CURLINFO_RESPONSE_CODE, &status);
    return static_cast<int>(status);
}

bool CurlExchange::isSilent(Clock::time_point now) const
{
    return m_request.silenceTimeout.count() > 0 && now - m_lastReceivedAt >= m_request.silenceTimeout;
}

bool CurlExchange::isInterrupted() const
{
    const auto &headers = m_response.headers;
    const bool isFramed =
        m_request.method == "HEAD" || headers.count("content-length") > 0 || headers.count("transfer-encoding") > 0 || isBodilessStatus(status());
    curl_off_t sent = 0;
    curl_easy_getinfo(m_easy, CURLINFO_SIZE_UPLOAD_T, &sent);
    return !isFramed && sent < static_cast<curl_off_t>(m_request.body.size());
}

TransportFailure CurlExchange::failureOf(CURLcode code) const
{
    switch (code) {
    case CURLE_OK:
        return isInterrupted() ? TransportFailure::ConnectionLost : TransportFailure::None;
    case CURLE_COULDNT_CONNECT: {
        long osError = 0;
        curl_easy_getinfo(m_easy, CURLINFO_OS_ERRNO, &osError);
        return osError == ECONNREFUSED ? TransportFailure::ConnectionRefused : TransportFailure::ConnectFailed;
    }
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_URL_MALFORMAT:
        return TransportFailure::ConnectFailed;
    case CURLE_UNSUPPORTED_PROTOCOL: {
        // Also the error of a response with an unknown version or status; the server has got the request then.
        long requestBytes = 0;
        curl_easy_getinfo(m_easy, CURLINFO_REQUEST_SIZE, &requestBytes);
        return requestBytes == 0 ? TransportFailure::ConnectFailed : TransportFailure::ConnectionLost;
    }
    case CURLE_OPERATION_TIMEDOUT: {
        curl_off_t connected = 0;
        curl_easy_getinfo(m_easy, CURLINFO_PRETRANSFER_TIME_T, &connected);
        return connected == 0 ? TransportFailure::ConnectFailed : TransportFailure::TimedOut;
    }
    default:
        return TransportFailure::ConnectionLost;
    }
}

void CurlExchange::finish(TransportFailure failure)
{
    m_response.failure = failure;
    m_response.status = status();
    if (m_done) {
        m_done(std::move(m_response));
    }
}

}
