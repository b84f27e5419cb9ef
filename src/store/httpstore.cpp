#include "store/httpstore.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace Basilbend
{

namespace Internal
{

std::string percentEncoded(const std::string &text)
{
    constexpr const char *Digits = "0123456789ABCDEF";
    constexpr const char *Unreserved = "-._~";
    std::string encoded;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if ((c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') || (c != 0 && std::char_traits<char>::find(Unreserved, 4, c))) {
            encoded += c;
        } else {
            encoded.append({'%', Digits[byte >> 4], Digits[byte & 15]});
        }
    }
    return encoded;
}

StoreEntry toEntry(const nlohmann::json &json)
{
    return {json.at("key").get<std::string>(), json.at("value").get<std::string>(), json.at("version").get<std::uint64_t>()};
}

std::string failureText(const HttpClientResponse &response)
{
    switch (response.failure) {
    case TransportFailure::None:
        return "the key-value service answered with status " + std::to_string(response.status);
    case TransportFailure::ConnectionRefused:
    case TransportFailure::ConnectFailed:
        return "the key-value service can't be reached";
    case TransportFailure::TimedOut:
    case TransportFailure::Silent:
        return "the key-value service did not answer in time";
    case TransportFailure::ConnectionLost:
    case TransportFailure::Cancelled:
        break;
    }
    return "the connection to the key-value service ended before its answer";
}

Error readFailure(const HttpClientResponse &response)
{
    return {ResultCode::StoreUnavailable, failureText(response), Execution::NotRun, Milliseconds(0)};
}

Result<std::optional<StoreEntry>> parseEntry(const HttpClientResponse &response)
{
    if (response.failure == TransportFailure::None && response.status == 404) {
        return std::optional<StoreEntry>();
    }
    if (response.failure != TransportFailure::None || response.status != 200) {
        return readFailure(response);
    }
    try {
        return std::optional<StoreEntry>(toEntry(nlohmann::json::parse(response.body)));
    } catch (const nlohmann::json::exception &error) {
        return Error{ResultCode::StoreUnavailable, std::string("the key-value service gave a malformed answer: ") + error.what()};
    }
}

Result<std::vector<StoreEntry>> parseList(const HttpClientResponse &response)
{
    if (response.failure != TransportFailure::None || response.status != 200) {
        return readFailure(response);
    }
    try {
        const auto json = nlohmann::json::parse(response.body);
        std::vector<StoreEntry> entries;
        for (const auto &entry : json.at("entries")) {
            entries.push_back(toEntry(entry));
        }
        return entries;
    } catch (const nlohmann::json::exception &error) {
        return Error{ResultCode::StoreUnavailable, std::string("the key-value service gave a malformed answer: ") + error.what()};
    }
}

Result<std::uint64_t> parseWrite(const HttpClientResponse &response)
{
    const Error lost{ResultCode::StoreAnswerLost, failureText(response), Execution::Unknown, Milliseconds(0)};
    if (response.failure == TransportFailure::ConnectionRefused || response.failure == TransportFailure::ConnectFailed) {
        return readFailure(response);
    }
    if (response.failure != TransportFailure::None) {
        return lost;
    }
    if (response.status == 409) {
        return Error{ResultCode::StoreConflict, "the expected version is not the current one"};
    }
    if (response.status == 503) {
        return readFailure(response);
    }
    if (response.status >= 400 && response.status < 500) {
        return Error{ResultCode::MalformedRequest, failureText(response)};
    }
    const auto json = nlohmann::json::parse(response.body, nullptr, false);
    if (response.status != 200 || !json.is_object() || !json.contains("version") || !json["version"].is_number_unsigned()) {
        return lost;
    }
    return json["version"].get<std::uint64_t>();
}

}

HttpStore::HttpStore(HttpClient &client, std::string baseUrl, Milliseconds timeout, PostFunction post)
    : m_client(client)
    , m_baseUrl(std::move(baseUrl))
    , m_timeout(timeout)
    , m_post(std::move(post))
{
}

void HttpStore::get(const std::string &key, EntryCallback callback)
{
    HttpClientRequest request;
    request.url = m_baseUrl + "/kv?key=" + Internal::percentEncoded(key);
    request.timeout = m_timeout;
    m_client.send(std::move(request), [post = m_post, callback = std::move(callback)](const HttpClientResponse &response) {
        post([callback, result = Internal::parseEntry(response)] { callback(result); });
    });
}

void HttpStore::list(const std::string &prefix, std::uint64_t afterVersion, ListCallback callback)
{
    readList("/kv/list?prefix=" + Internal::percentEncoded(prefix) + "&after=" + std::to_string(afterVersion), m_timeout, std::move(callback));
}

void HttpStore::compareAndSwap(const std::string &key, std::uint64_t expectedVersion, const std::string &value, Milliseconds lease, WriteCallback callback)
{
    HttpClientRequest request;
    try {
        request.body = nlohmann::json{{"key", key}, {"expected_version", expectedVersion}, {"value", value}, {"lease_ms", lease.count()}}.dump();
    } catch (const nlohmann::json::exception &) {
        m_post([callback = std::move(callback)] { callback(Error{ResultCode::MalformedRequest, "keys and values must be UTF-8"}); });
        return;
    }
    request.method = "PUT";
    request.url = m_baseUrl + "/kv";
    request.timeout = m_timeout;
    // libcurl repeats a request by itself when a pooled connection ends without an answer. The repeat of a write that took
    // effect would be answered as a conflict.
    request.freshConnection = true;
    m_client.send(std::move(request), [post = m_post, callback = std::move(callback)](const HttpClientResponse &response) {
        post([callback, result = Internal::parseWrite(response)] { callback(result); });
    });
}

void HttpStore::watch(const std::string &prefix, std::uint64_t afterVersion, Milliseconds span, ListCallback callback)
{
    const auto target = "/kv/watch?prefix=" + Internal::percentEncoded(prefix) + "&after=" + std::to_string(afterVersion);
    readList(target + "&wait_ms=" + std::to_string(span.count()), span + m_timeout, std::move(callback));
}

void HttpStore::readList(const std::string &target, Milliseconds timeout, ListCallback callback)
{
    HttpClientRequest request;
    request.url = m_baseUrl + target;
    request.timeout = timeout;
    m_client.send(std::move(request), [post = m_post, callback = std::move(callback)](const HttpClientResponse &response) {
        post([callback, result = Internal::parseList(response)] { callback(result); });
    });
}

}
