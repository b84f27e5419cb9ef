#include "gateway/gatewayprocess.h"
#include "http/crashingendpoint.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <optional>

using namespace Basilbend;

namespace
{

constexpr const char *ConfigurationText = R"({"version":7,"services":[{"name":"s"}],"tenants":[{"name":"w","api_keys":["k"]}],"routes":[
 {"name":"once","host":"a.example","path_prefix":"/once/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":400,"service":"s","attempts":3},
 {"name":"often","host":"a.example","path_prefix":"/often/","kind":"idempotent","timeout_ms":3000,"target_latency_ms":400,"service":"s","attempts":3}]})";

struct Answer {
    int status = 0;
    std::string retryAfter;
    bool hasEnded = false;
};

/// Gateways before four endpoints that crash under requests with the body "deadly".
struct CrashFixture {
    asio::io_context io;
    VirtualTime time{Timestamp(1'000'000)};
    FakeMetadataStore store{time};
    std::vector<std::unique_ptr<CrashingEndpoint>> endpoints;
    std::vector<std::unique_ptr<GatewayProcess>> gateways;
    /// Their timers may still be set.
    std::vector<std::unique_ptr<GatewayProcess>> ended;
    WebClient client{io, systemNow};
    std::vector<ClientCall> calls;
    std::vector<std::unique_ptr<Answer>> answers;

    explicit CrashFixture(int endpointCount = 4)
    {
        store.put("op/config", ConfigurationText);
        for (int i = 0; i < endpointCount; ++i) {
            endpoints.push_back(std::make_unique<CrashingEndpoint>(io, time, store, "i-" + std::to_string(i)));
            endpoints.back()->deadlyBodies = {"deadly"};
        }
        startGateways(2);
    }

    void startGateways(int n)
    {
        for (auto &gateway : gateways) {
            gateway->server.stopAccepting();
            ended.push_back(std::move(gateway));
        }
        gateways.clear();
        for (int i = 0; i < n; ++i) {
            gateways.push_back(std::make_unique<GatewayProcess>(io, time, store));
        }
        run(100);
    }

    Answer &send(const std::string &body, const std::string &path = "/often/a", std::size_t gateway = 0)
    {
        auto answer = std::make_unique<Answer>();
        CallHooks hooks;
        hooks.onHead = [answer = answer.get()](const ResponseHead &head) {
            answer->status = head.status;
            answer->retryAfter = std::string(head.fields.value("Retry-After"));
        };
        hooks.onEnd = [answer = answer.get()](CallOutcome) { answer->hasEnded = true; };
        const auto attempt = "r-" + std::to_string(answers.size());
        const RequestMessage request{
            "POST", path, {{"Host", "a.example"}, {"X-Api-Key", "k"}, {"Basilbend-Attempt-Id", attempt}, {"Basilbend-Deadline-Ms", "3000"}}, body};
        calls.push_back(client.send({asio::ip::make_address("127.0.0.1"), gateways.at(gateway)->server.port()}, request, std::move(hooks), Milliseconds(500)));
        answers.push_back(std::move(answer));
        return *answers.back();
    }

    void run(int ms)
    {
        for (int i = 0; i < ms; i += 10) {
            io.restart();
            io.run_for(std::chrono::milliseconds(2));
            time.advance(Milliseconds(10));
        }
    }

    /// Sends a request and runs until it has been answered.
    Answer serve(const std::string &body, const std::string &path = "/often/a", std::size_t gateway = 0)
    {
        const auto &answer = send(body, path, gateway);
        for (int i = 0; i < 400 && !answer.hasEnded; ++i) {
            run(10);
        }
        return answer;
    }

    int crashes() const
    {
        int n = 0;
        for (const auto &endpoint : endpoints) {
            n += endpoint->crashes;
        }
        return n;
    }

    std::size_t runsOf(const std::string &body) const
    {
        std::size_t n = 0;
        for (const auto &endpoint : endpoints) {
            n += static_cast<std::size_t>(std::count(endpoint->bodies.begin(), endpoint->bodies.end(), body));
        }
        return n;
    }
};

}

BOOST_AUTO_TEST_SUITE(gateway, *boost::unit_test::label("gateway"))

// Guards against a request that crashes one endpoint after the other, at whichever gateway it comes again.
BOOST_FIXTURE_TEST_CASE(a_request_that_crashes_endpoints_reaches_few_of_them, CrashFixture)
{
    for (std::size_t i = 0; i < 8; ++i) {
        serve("deadly", "/often/a", i % 2);
        run(1000);
    }
    BOOST_TEST(runsOf("deadly") == 2);
    BOOST_TEST(crashes() == 2);
    const auto answer = serve("deadly");
    BOOST_TEST(answer.status == 503);
    BOOST_TEST(!answer.retryAfter.empty());
    BOOST_TEST(serve("sound").status == 200);
}

// Guards against a request that crashes endpoints anew after the gateways that know it have been killed.
BOOST_FIXTURE_TEST_CASE(restarted_gateways_know_the_requests_that_crash_endpoints, CrashFixture)
{
    serve("deadly");
    run(100);
    startGateways(2);
    run(3000);
    for (std::size_t i = 0; i < 4; ++i) {
        BOOST_TEST(serve("deadly", "/often/a", i % 2).status == 503);
    }
    BOOST_TEST(runsOf("deadly") == 2);
}

// Guards against crashes that no gateway adds up because the store was away when each gateway saw one.
BOOST_FIXTURE_TEST_CASE(crashes_during_an_outage_of_the_store_are_shared_after_it, CrashFixture)
{
    store.faults.refuses = true;
    run(1000);
    serve("deadly");
    store.faults.refuses = false;
    run(3000);
    BOOST_TEST(serve("deadly", "/often/a", 1).status == 503);
    BOOST_TEST(runsOf("deadly") == 2);
}

// Guards against requests that are turned away because they ran beside one that crashed their endpoint.
BOOST_FIXTURE_TEST_CASE(requests_beside_a_deadly_one_are_served, CrashFixture)
{
    constexpr std::size_t SoundCount = 12;
    std::vector<const Answer *> sound;
    sound.reserve(SoundCount);
    const auto &deadly = send("deadly");
    for (std::size_t i = 0; i < SoundCount; ++i) {
        sound.push_back(&send("sound-" + std::to_string(i)));
    }
    run(2000);
    BOOST_TEST(deadly.hasEnded);
    for (const auto *answer : sound) {
        BOOST_TEST(answer->status == 200);
    }
    BOOST_TEST(crashes() == 2);
    BOOST_TEST(gateways[0]->context.crashes.history().size() == 1);
}

// Guards against a common request that is turned away because a whole service has crashed under several copies of it.
BOOST_FIXTURE_TEST_CASE(a_crash_of_a_whole_service_condemns_no_request, CrashFixture)
{
    for (int i = 0; i < 12; ++i) {
        send("ping", "/often/a", static_cast<std::size_t>(i % 2));
    }
    run(20);
    for (const auto &endpoint : endpoints) {
        endpoint->crash();
    }
    run(6000);
    for (std::size_t i = 0; i < 4; ++i) {
        BOOST_TEST(serve("ping", "/often/a", i % 2).status == 200);
    }
}

// Guards against one more run of a request that may run once at most, and against a second client attempt that crashes endpoints on.
BOOST_FIXTURE_TEST_CASE(a_deadly_request_that_may_run_once_is_answered_as_unknown_and_then_as_not_run, CrashFixture)
{
    BOOST_TEST(serve("deadly", "/once/a").status == 502);
    BOOST_TEST(runsOf("deadly") == 1);
    run(1000);
    BOOST_TEST(serve("deadly", "/once/a", 1).status == 502);
    BOOST_TEST(runsOf("deadly") == 2);
    run(1000);
    BOOST_TEST(serve("deadly", "/once/a").status == 503);
    BOOST_TEST(runsOf("deadly") == 2);
}

// Guards against the loss of the last endpoint to a request under which another one has just crashed.
BOOST_FIXTURE_TEST_CASE(a_suspect_does_not_run_at_the_last_endpoint, CrashFixture)
{
    endpoints[1]->crash();
    endpoints[2]->crash();
    for (int i = 0; i < 8; ++i) {
        serve("sound-" + std::to_string(i));
    }
    serve("deadly");
    BOOST_TEST(crashes() == 3);
    BOOST_TEST(serve("sound").status == 200);
}

// Guards against the loss of the last endpoint to a suspect whose quarantine has ended, while others have crashed under another request.
BOOST_FIXTURE_TEST_CASE(a_suspect_does_not_run_at_the_last_endpoint_after_crashes_under_other_requests, CrashFixture)
{
    serve("deadly");
    run(4000);
    time.advance(CrashHistory::FirstQuarantine);
    const auto before = crashes();
    endpoints[1]->crash();
    endpoints[2]->crash();
    endpoints[0]->deadlyBodies = {"deadly", "other"};
    endpoints[3]->deadlyBodies = {"deadly", "other"};
    for (int i = 0; i < 8; ++i) {
        serve("sound-" + std::to_string(i));
    }
    serve("other");
    serve("deadly");
    BOOST_TEST(crashes() == before + 3);
    BOOST_TEST(serve("sound").status == 200);
}

// Guards against requests that are rejected as if all endpoints were full, because the only running one is reserved for a trial.
BOOST_FIXTURE_TEST_CASE(requests_use_a_reserved_endpoint_when_the_others_have_crashed, CrashFixture)
{
    for (std::size_t i = 1; i < endpoints.size(); ++i) {
        endpoints[i]->crash();
    }
    auto &trials = gateways[0]->context.crashes.trials();
    trials.reserve("i-0", {"suspect"}, trials.nextAttempt(), time.now() + Milliseconds(5000), false);
    BOOST_TEST(serve("sound").status == 200);
}

// Guards against a request that is turned away for good although the endpoints bear it by now.
BOOST_FIXTURE_TEST_CASE(a_quarantine_ends_with_one_trial, CrashFixture)
{
    serve("deadly");
    run(4000);
    BOOST_TEST(serve("deadly").status == 503);
    time.advance(CrashHistory::FirstQuarantine);
    for (const auto &endpoint : endpoints) {
        endpoint->deadlyBodies.clear();
    }
    BOOST_TEST(serve("deadly").status == 200);
    run(100);
    BOOST_TEST(serve("deadly", "/often/a", 1).status == 200);
    BOOST_TEST(gateways[1]->context.crashes.history().isEmpty());
    BOOST_TEST(store.keysBelow("crash/").empty());
}

// Guards against a request that counts as deadly because endpoints closed its connections.
BOOST_AUTO_TEST_CASE(connections_that_a_running_endpoint_closes_make_no_request_suspect)
{
    CrashFixture fixture(0);
    int requests = 0;
    WebServer server(fixture.io, "127.0.0.1:0", defaultServerHooks([&requests](const std::shared_ptr<ServerExchange> &exchange) {
                         ++requests;
                         exchange->abort();
                     }));
    for (const auto *id : {"i-1", "i-2", "i-3"}) {
        const nlohmann::json entry{
            {"service", "s"}, {"address", "127.0.0.1:" + std::to_string(server.port())}, {"zone", "z"}, {"slots", 8}, {"state", "ready"}};
        fixture.store.put(std::string("servers/") + id, entry.dump());
    }
    fixture.run(100);
    BOOST_TEST(fixture.serve("sound").status == 502);
    BOOST_TEST(requests == 3);
    BOOST_TEST(fixture.gateways[0]->context.crashes.history().isEmpty());
}

BOOST_AUTO_TEST_SUITE_END()
