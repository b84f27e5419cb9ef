#pragma once

#include "net/httpclient.h"

#include <chrono>
#include <curl/curl.h>

namespace Basilbend::Internal
{

/// One request and response of an HttpClient. Used only on the client's thread.
class CurlExchange
{
public:
    using Clock = std::chrono::steady_clock;

    CurlExchange(HttpClientRequest request, HttpClient::DoneCallback done, HttpClient::DataCallback data);
    ~CurlExchange();
    CurlExchange(const CurlExchange &) = delete;
    CurlExchange &operator=(const CurlExchange &) = delete;

    CURL *easy() const;
    bool isSilent(Clock::time_point now) const;
    TransportFailure failureOf(CURLcode code) const;

    /// Completes the response with the failure and the status code, and passes it to the done callback.
    void finish(TransportFailure failure);

private:
    static std::size_t receiveHeader(char *data, std::size_t size, std::size_t count, void *self);
    static std::size_t receiveBody(char *data, std::size_t size, std::size_t count, void *self);
    /// Reads a line of a response's head, without its line break. Returns false if the response is invalid.
    bool readHeadLine(std::string_view line);
    bool readField(std::string_view line);
    /// Whether the response has no length and ended before the whole request was sent, so that its end does not show that it is whole.
    bool isInterrupted() const;
    static int setSocketOptions(void *self, curl_socket_t fd, curlsocktype purpose);
    void setOptions();
    int status() const;

    HttpClientRequest m_request;
    HttpClient::DoneCallback m_done;
    HttpClient::DataCallback m_data;
    HttpClientResponse m_response;
    /// Name of the field that was read last, to which a folded line belongs.
    std::string m_lastField;
    CURL *m_easy = nullptr;
    curl_slist *m_headers = nullptr;
    Clock::time_point m_lastReceivedAt = Clock::now();
};

}
