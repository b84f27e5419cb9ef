#pragma once

#include "net/httpclient.h"
#include "store/store.h"

#include <functional>
#include <string>

namespace Basilbend
{

/// Store over the HTTP protocol of the platform's key-value service. The outcome of a write is taken from evidence:
/// StoreUnavailable only when no connection came about or the service answered 503 (refused before any effect), and
/// StoreAnswerLost for every other write without a readable answer. Failed reads are StoreUnavailable.
class HttpStore : public Store
{
public:
    /// Runs a function on the caller's control thread.
    using PostFunction = std::function<void(std::function<void()>)>;

    /// The base URL has no slash at its end. The client must end before post becomes invalid. Timeout bounds each call; a
    /// watch may take its span longer.
    HttpStore(HttpClient &client, std::string baseUrl, Milliseconds timeout, PostFunction post);

    void get(const std::string &key, EntryCallback callback) override;
    void list(const std::string &prefix, std::uint64_t afterVersion, ListCallback callback) override;
    void compareAndSwap(const std::string &key, std::uint64_t expectedVersion, const std::string &value, Milliseconds lease, WriteCallback callback) override;
    void watch(const std::string &prefix, std::uint64_t afterVersion, Milliseconds span, ListCallback callback) override;

private:
    void readList(const std::string &target, Milliseconds timeout, ListCallback callback);

    HttpClient &m_client;
    std::string m_baseUrl;
    Milliseconds m_timeout;
    PostFunction m_post;
};

}
