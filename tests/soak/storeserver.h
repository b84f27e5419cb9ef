#pragma once

#include "http/webserver.h"
#include "metadata/fakemetadatastore.h"

#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>

namespace Basilbend
{

/// Serves a FakeMetadataStore over HTTP with the interface of the platform's metadata store that PlatformStore calls.
class StoreServer
{
public:
    StoreServer(asio::io_context &io, EventLoop loop);

    std::uint16_t port() const
    {
        return m_server.port();
    }

    FakeMetadataStore &store()
    {
        return m_store;
    }

private:
    void syncTime();
    void handle(const std::shared_ptr<ServerExchange> &exchange);
    void handleLeaseCall(const std::shared_ptr<ServerExchange> &exchange, std::string_view path);
    void commit(const std::shared_ptr<ServerExchange> &exchange);
    MetadataStore::Callback answerTo(const std::shared_ptr<ServerExchange> &exchange, const char *listName) const;

    EventLoop m_loop;
    VirtualTime m_time;
    FakeMetadataStore m_store;
    WebServer m_server;
};

}
