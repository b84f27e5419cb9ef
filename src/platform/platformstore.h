#pragma once

#include "base/eventloop.h"
#include "http/webclient.h"
#include "metadata/metadatastore.h"

#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

namespace Basilbend
{

struct PlatformStoreCounts {
    std::uint64_t calls = 0;
    std::uint64_t gets = 0;
    std::uint64_t lists = 0;
    std::uint64_t watches = 0;
    std::uint64_t commits = 0;
    std::uint64_t leaseCalls = 0;
    std::uint64_t refused = 0;
    std::uint64_t unanswered = 0;
};

/// MetadataStore over the platform's HTTP protocol. Refused means that the answer or the lack of a connection proves that
/// nothing was done; every other failure is Unknown. A connection on which an answer is missing is not used again.
class PlatformStore : public MetadataStore
{
public:
    PlatformStore(WebClient &client, EventLoop loop, asio::ip::tcp::endpoint server);
    ~PlatformStore() override;

    void get(const std::string &key, Callback callback) override;
    void list(const std::string &prefix, const std::string &afterKey, Callback callback) override;
    void watch(const std::string &prefix, std::uint64_t afterRevision, Milliseconds span, Callback callback) override;
    void commit(const MetadataChange &change, Callback callback) override;
    void createLease(Milliseconds span, Callback callback) override;
    void renewLease(std::uint64_t lease, Callback callback) override;
    void endLease(std::uint64_t lease, Callback callback) override;

    const PlatformStoreCounts &counts() const
    {
        return m_counts;
    }

private:
    struct OpenCall;

    void send(RequestMessage request, Milliseconds timeout, Callback callback);
    void finish(std::uint64_t number, MetadataReply reply);

    WebClient &m_client;
    EventLoop m_loop;
    asio::ip::tcp::endpoint m_server;
    std::string m_hostField;
    std::unordered_map<std::uint64_t, std::unique_ptr<OpenCall>> m_open;
    std::uint64_t m_lastNumber = 0;
    PlatformStoreCounts m_counts;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
