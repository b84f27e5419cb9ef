#pragma once

#include "http/webserver.h"
#include "metadata/fakemetadatastore.h"

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Basilbend
{

using ExchangePtr = std::shared_ptr<ServerExchange>;

/// An endpoint of the service "s" whose behaviour is set by the test. It registers itself in the store.
struct ScriptedEndpoint {
    ScriptedEndpoint(asio::io_context &io, FakeMetadataStore &store, const std::string &id, int slots = 8)
        : server(io, "127.0.0.1:0", defaultServerHooks([this](const ExchangePtr &exchange) {
                     requests.push_back(exchange->request());
                     exchanges.push_back(exchange);
                     onRequest(exchange);
                 }))
    {
        const nlohmann::json entry{
            {"service", "s"}, {"address", "127.0.0.1:" + std::to_string(server.port())}, {"zone", "z"}, {"slots", slots}, {"state", "ready"}};
        store.put("servers/" + id, entry.dump());
    }

    std::function<void(const ExchangePtr &)> onRequest = [](const ExchangePtr &) {};
    std::vector<RequestMessage> requests;
    std::vector<ExchangePtr> exchanges;
    WebServer server;
};

}
