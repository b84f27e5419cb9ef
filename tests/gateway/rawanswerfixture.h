#pragma once

#include "gateway/gatewayprocess.h"
#include "http/rawendpoint.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace Basilbend
{

/// A gateway and endpoints of which the tests write the responses.
struct RawAnswerFixture {
    using ConnectionPtr = RawEndpoint::ConnectionPtr;

    /// Routes of the four kinds: /once/ may not run again, /often/ may, /stream/ is a stream and /kept/ one that can be resumed.
    static constexpr const char *ConfigurationText =
        R"({"version":7,"services":[{"name":"s","health_path":"/health"}],"tenants":[{"name":"w","api_keys":["k"]}],
     "routes":[
     {"name":"once","host":"a.example","path_prefix":"/once/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":400,"service":"s","attempts":3},
     {"name":"often","host":"a.example","path_prefix":"/often/","kind":"idempotent","timeout_ms":3000,"target_latency_ms":4000,"service":"s","attempts":3},
     {"name":"kept","host":"a.example","path_prefix":"/kept/","kind":"streaming","resumable":true,"timeout_ms":9000,"target_latency_ms":400,"service":"s",
      "attempts":3},
     {"name":"stream","host":"a.example","path_prefix":"/stream/","kind":"streaming","timeout_ms":9000,"target_latency_ms":400,"service":"s","attempts":3}]})";

    static constexpr const char *WholeAnswer =
        "HTTP/1.1 200 OK\r\nBasilbend-Attempt-Id: r-1\r\nBasilbend-Server-Signature: s\r\nContent-Length: 5\r\n\r\nwhole";

    static std::string event(int id)
    {
        return "id: " + std::to_string(id) + "\ndata: d" + std::to_string(id) + "\n\n";
    }

    asio::io_context io;
    VirtualTime time{Timestamp(1'000'000)};
    FakeMetadataStore store{time};
    std::vector<std::unique_ptr<RawEndpoint>> endpoints;
    std::unique_ptr<GatewayProcess> gateway;
    WebClient client{io, systemNow};
    ClientCall call;
    int status = 0;
    std::string body;
    std::optional<CallOutcome> outcome;

    /// A request that an endpoint crashed under is not sent to the last one that is left.
    explicit RawAnswerFixture(int endpointCount = 4)
    {
        store.put("op/config", ConfigurationText);
        for (int i = 1; i <= endpointCount; ++i) {
            const auto id = "i-" + std::to_string(i);
            endpoints.push_back(std::make_unique<RawEndpoint>(io, id, 1000));
            const auto address = "127.0.0.1:" + std::to_string(endpoints.back()->port());
            store.put("servers/" + id,
                      nlohmann::json{{"service", "s"}, {"address", address}, {"zone", "z"}, {"slots", 8}, {"state", "ready"}, {"born", 1000}}.dump());
        }
        gateway = std::make_unique<GatewayProcess>(io, time, store);
        time.advance(Milliseconds(50));
    }

    void send(const std::string &path, std::string requestBody = "b")
    {
        CallHooks hooks;
        hooks.onHead = [this](const ResponseHead &head) { status = head.status; };
        hooks.onBody = [this](std::string_view data) { body.append(data); };
        hooks.onEnd = [this](CallOutcome callOutcome) { outcome = callOutcome; };
        RequestMessage request{"POST",
                               path,
                               {{"Host", "a.example"}, {"X-Api-Key", "k"}, {"Basilbend-Attempt-Id", "r-1"}, {"Basilbend-Deadline-Ms", "5000"}},
                               std::move(requestBody)};
        call = client.send({asio::ip::make_address("127.0.0.1"), gateway->server.port()}, request, std::move(hooks), Milliseconds(500));
    }

    /// Runs sockets and virtual time until the response has ended, for at most ms milliseconds of virtual time.
    void run(int ms)
    {
        for (int i = 0; i < ms && !outcome; i += 10) {
            io.restart();
            io.run_for(std::chrono::milliseconds(2));
            time.advance(Milliseconds(10));
        }
    }

    /// Sets the behaviour for the first request, at whichever endpoint it arrives, and for all later requests.
    void script(const std::function<void(RawEndpoint &, const ConnectionPtr &)> &onFirst, const std::function<void(const ConnectionPtr &)> &onLater)
    {
        auto hasFirst = std::make_shared<bool>(false);
        for (const auto &endpoint : endpoints) {
            endpoint->onRequest = [hasFirst, onFirst, onLater, raw = endpoint.get()](const ConnectionPtr &connection) {
                if (*hasFirst) {
                    onLater(connection);
                } else {
                    *hasFirst = true;
                    onFirst(*raw, connection);
                }
            };
        }
    }

    std::size_t runs() const
    {
        std::size_t n = 0;
        for (const auto &endpoint : endpoints) {
            n += endpoint->requests.size();
        }
        return n;
    }
};

}
