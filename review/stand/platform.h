#pragma once

#include "http/webserver.h"
#include "metadata/fakemetadatastore.h"
#include "stand/record.h"

#include <asio/io_context.hpp>
#include <map>
#include <string>

namespace Basilbend::Review
{

/// Stand-in of the platform: its metadata store, the operator and the receiver of usage reports.
class Platform
{
public:
    Platform(asio::io_context &io, EventLoop loop, Record &record);

    std::uint16_t storePort() const
    {
        return m_storeServer.port();
    }
    std::uint16_t reportsPort() const
    {
        return m_reportServer.port();
    }

    FakeMetadataStore &store()
    {
        return m_store;
    }

    /// Writes the next version of the configuration. Routes, services and tenants are JSON lists.
    void configure(const std::string &routes, const std::string &services, const std::string &tenants);

    /// Writes the registry entry of a replica.
    void registerReplica(const std::string &id,
                         const std::string &service,
                         std::uint16_t port,
                         int slots,
                         const std::string &model,
                         std::int64_t born,
                         const std::string &version = "v1");
    void removeReplica(const std::string &id);

    /// Whether the store resets each call.
    bool resetsCalls = false;

private:
    void syncTime();
    void handleStoreCall(const std::shared_ptr<ServerExchange> &exchange);
    void commit(const std::shared_ptr<ServerExchange> &exchange);
    MetadataStore::Callback answerTo(const std::shared_ptr<ServerExchange> &exchange, const char *listName) const;

    EventLoop m_loop;
    Record &m_record;
    VirtualTime m_time;
    FakeMetadataStore m_store;
    WebServer m_storeServer;
    WebServer m_reportServer;
    std::uint64_t m_configuration = 0;
};

}
