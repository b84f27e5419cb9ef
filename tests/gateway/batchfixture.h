#pragma once

#include "gateway/gatewayprocess.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Basilbend
{

inline constexpr const char *BatchConfigurationText = R"({"version":7,"routes":[
 {"name":"r","host":"a.example","path_prefix":"/steps/","kind":"rollout","timeout_ms":10000,"target_latency_ms":500,"service":"s","attempts":3,
  "retention_s":40,"result_deadline_ms":7500}],"services":[{"name":"s"}],
 "tenants":[{"name":"w","api_keys":["k"]},{"name":"v","api_keys":["l"]}]})";

struct ClientResponse {
    int status = 0;
    HttpFields fields;
    std::string body;
    bool ended = false;

    nlohmann::json json() const
    {
        return nlohmann::json::parse(body);
    }
};

struct BatchFixture {
    asio::io_context io;
    VirtualTime time{Timestamp(1'000'000)};
    FakeMetadataStore store{time};
    WebClient client{io, systemNow};
    std::vector<std::unique_ptr<GatewayProcess>> gateways;
    std::vector<ClientCall> calls;

    BatchFixture()
    {
        store.put("op/config", BatchConfigurationText);
        for (int i = 0; i < 2; ++i) {
            gateways.push_back(std::make_unique<GatewayProcess>(io, time, store));
        }
        run(50);
    }

    void run(int ms)
    {
        for (int i = 0; i < ms; i += 5) {
            io.restart();
            for (int turns = 0; turns < 6; ++turns) {
                io.poll();
            }
            time.advance(Milliseconds(5));
        }
    }

    std::shared_ptr<ClientResponse> send(std::size_t gateway, RequestMessage message, const std::string &key = "k")
    {
        message.fields.add("Host", "a.example");
        message.fields.add("X-Api-Key", key);
        auto response = std::make_shared<ClientResponse>();
        CallHooks hooks;
        hooks.onHead = [response](const ResponseHead &head) {
            response->status = head.status;
            response->fields = head.fields;
        };
        hooks.onBody = [response](std::string_view data) { response->body.append(data); };
        hooks.onEnd = [response](CallOutcome) { response->ended = true; };
        const asio::ip::tcp::endpoint address(asio::ip::make_address("127.0.0.1"), gateways[gateway]->server.port());
        calls.push_back(client.send(address, message, std::move(hooks), Milliseconds(500)));
        return response;
    }

    std::shared_ptr<ClientResponse> submit(std::size_t gateway, const std::string &id = "b1", const std::string &key = "k")
    {
        return send(gateway,
                    {"POST",
                     "/steps/1",
                     {{"Basilbend-Attempt-Id", id}, {"Basilbend-Deadline-Ms", "12000"}},
                     R"({"step":0,"model":"m","items":[{"id":"i1","path":"/p","body":"q83v"},{"id":"i2","path":"/p","body":""}]})"},
                    key);
    }
    std::shared_ptr<ClientResponse> read(std::size_t gateway, int after, const std::string &wait = "0", const std::string &key = "k")
    {
        return send(gateway, {"GET", "/-/lots/b1?after=" + std::to_string(after), {{"Basilbend-Wait-Ms", wait}}, {}}, key);
    }
    void list(std::size_t position, const std::string &id)
    {
        store.put(BatchRecords::resultKey("b1", position), BatchRecords::encodeChunk({"w", 2, {{id, ItemOutcome::Completed, "t " + id, {1}, {}}}}));
    }
};

}
