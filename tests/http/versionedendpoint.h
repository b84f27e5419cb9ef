#pragma once

#include "http/webserver.h"
#include "metadata/fakemetadatastore.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Basilbend
{

/// An endpoint of the service "s" that streams ten events, each with the version of its software, from the event after Last-Event-Id on.
class VersionedEndpoint
{
public:
    VersionedEndpoint(
        asio::io_context &io, VirtualTime &time, FakeMetadataStore &store, const std::string &id, const std::string &version, const std::string &zone)
        : m_time(time)
        , m_store(store)
        , m_key("servers/" + id)
        , m_version(version)
        , m_zone(zone)
        , m_server(io, "127.0.0.1:0", defaultServerHooks([this](const std::shared_ptr<ServerExchange> &exchange) { begin(exchange); }))
    {
        enter();
    }

    static constexpr std::uint64_t EventCount = 10;

    int runs = 0;
    Milliseconds eventInterval{50};

    void enter()
    {
        const nlohmann::json entry{{"service", "s"},
                                   {"address", "127.0.0.1:" + std::to_string(m_server.port())},
                                   {"zone", m_zone},
                                   {"slots", 8},
                                   {"state", "ready"},
                                   {"version", m_version}};
        m_store.put(m_key, entry.dump());
    }

    void leave()
    {
        m_store.erase(m_key);
    }

    /// Breaks off all streams.
    void breakOff()
    {
        for (const auto &exchange : m_exchanges) {
            exchange->abort();
        }
        m_exchanges.clear();
    }

private:
    void begin(const std::shared_ptr<ServerExchange> &exchange)
    {
        ++runs;
        const auto &fields = exchange->request().fields;
        const std::string after(fields.value("Last-Event-Id"));
        m_exchanges.push_back(exchange);
        exchange->beginStream({200,
                               {{"Content-Type", "text/event-stream"},
                                {"Basilbend-Server-Signature", "s"},
                                {"Basilbend-Attempt-Id", std::string(fields.value("Basilbend-Attempt-Id"))}}});
        sendEvent(exchange, after.empty() ? 1 : std::stoull(after) + 1);
    }

    void sendEvent(const std::shared_ptr<ServerExchange> &exchange, std::uint64_t id)
    {
        if (!exchange->isOpen()) {
            return;
        }
        if (id > EventCount) {
            exchange->endStream();
            return;
        }
        exchange->sendChunk("id: " + std::to_string(id) + "\ndata: " + m_version + "\n\n");
        m_time.schedule(eventInterval, [this, exchange, id] { sendEvent(exchange, id + 1); });
    }

    VirtualTime &m_time;
    FakeMetadataStore &m_store;
    std::string m_key;
    std::string m_version;
    std::string m_zone;
    std::vector<std::shared_ptr<ServerExchange>> m_exchanges;
    WebServer m_server;
};

}
