#include "election/leaderelection.h"
#include "election/leaderrecord.h"
#include "gateway/gatewayprocess.h"
#include "http/scriptedendpoint.h"
#include "scheduling/grantserver.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <optional>

using namespace Basilbend;

namespace
{

constexpr const char *ConfigurationText = R"({"version":7,"services":[{"name":"s"}],"tenants":[{"name":"w","api_keys":["k"]}],"routes":[
 {"name":"often","host":"a.example","path_prefix":"/often/","kind":"idempotent","timeout_ms":3000,"target_latency_ms":400,"service":"s","attempts":3}]})";

/// Two gateways and a leader before two endpoints that may name limits.
struct LimitFixture {
    asio::io_context io;
    VirtualTime time{Timestamp(1'000'000)};
    FakeMetadataStore store{time};
    Metrics metrics;
    RequestLimiter limiter;
    bool isLeading = true;
    double sendShare = 1;
    /// The endpoints name their limits in every other response.
    bool namesEveryOther = false;
    GrantServer grants{virtualLoop(time), metrics, limiter, {[this] { return isLeading; }, [this] { return sendShare; }}};
    WebServer leader{io, "127.0.0.1:0", defaultServerHooks([this](const ExchangePtr &exchange) { grants.serve(exchange); })};
    ScriptedEndpoint first{io, store, "i-1"};
    ScriptedEndpoint second{io, store, "i-2"};
    std::map<const ScriptedEndpoint *, std::string> limits;
    std::vector<std::unique_ptr<GatewayProcess>> gateways;
    WebClient client{io, systemNow};
    std::vector<ClientCall> calls;
    std::map<int, int> statuses;
    std::string retryAfter;
    std::size_t nextGateway = 0;

    LimitFixture()
    {
        store.put("op/config", ConfigurationText);
        store.put(LeaderElection::holderKey(), encodeLeaderRecord({"node", "life", 1, "127.0.0.1:" + std::to_string(leader.port())}));
        for (auto *endpoint : {&first, &second}) {
            endpoint->onRequest = [this, endpoint](const ExchangePtr &exchange) { answer(*endpoint, exchange); };
        }
        for (int i = 0; i < 2; ++i) {
            gateways.push_back(std::make_unique<GatewayProcess>(io, time, store));
        }
        run(100);
    }

    void answer(const ScriptedEndpoint &endpoint, const ExchangePtr &exchange)
    {
        HttpFields fields{{"Basilbend-Server-Signature", "s"}, {"Basilbend-Attempt-Id", std::string(exchange->request().fields.value("Basilbend-Attempt-Id"))}};
        if (!limits[&endpoint].empty() && (!namesEveryOther || endpoint.requests.size() % 2 == 1)) {
            fields.add("Server-Limit", limits[&endpoint]);
        }
        exchange->respond({200, fields, "whole"});
    }

    /// Sends a request to the gateways in turn.
    void send()
    {
        CallHooks hooks;
        hooks.onHead = [this](const ResponseHead &head) {
            ++statuses[head.status];
            retryAfter = std::string(head.fields.value("Retry-After"));
        };
        hooks.onBody = [](std::string_view) {};
        hooks.onEnd = [](CallOutcome) {};
        const auto attempt = "r-" + std::to_string(calls.size());
        const RequestMessage request{
            "POST", "/often/a", {{"Host", "a.example"}, {"X-Api-Key", "k"}, {"Basilbend-Attempt-Id", attempt}, {"Basilbend-Deadline-Ms", "3000"}}, "b"};
        const auto port = gateways[nextGateway++ % gateways.size()]->server.port();
        calls.push_back(client.send({asio::ip::make_address("127.0.0.1"), port}, request, std::move(hooks), Milliseconds(500)));
    }

    void run(int ms)
    {
        for (int i = 0; i < ms; i += 10) {
            io.restart();
            io.run_for(std::chrono::milliseconds(1));
            time.advance(Milliseconds(10));
        }
    }

    /// Sends a request every 50 ms.
    void sendFor(int ms)
    {
        for (int i = 0; i < ms; i += 50) {
            send();
            run(50);
        }
    }

    std::size_t arrivals() const
    {
        return first.requests.size() + second.requests.size();
    }
};

}

BOOST_AUTO_TEST_SUITE(gateway, *boost::unit_test::label("gateway"))

// Guards against endpoints that get far more requests than the limit that they name (LIMIT): each gateway sent what came.
BOOST_FIXTURE_TEST_CASE(all_gateways_together_keep_to_the_limits_that_endpoints_name, LimitFixture)
{
    limits[&first] = limits[&second] = "1";
    sendFor(1000);
    const auto before = arrivals();
    statuses.clear();
    sendFor(4000);
    BOOST_TEST(arrivals() - before <= 2 * (6U + 5U));
    BOOST_TEST(arrivals() - before >= 7U);
    // What they can't take is rejected at once, as not run, with the time at which they can take more.
    run(300);
    BOOST_TEST(statuses[200] + statuses[503] == 80);
    BOOST_TEST(std::stod(retryAfter) > 0);
}

BOOST_FIXTURE_TEST_CASE(requests_go_to_endpoints_without_limit_first, LimitFixture)
{
    limits[&first] = "1";
    sendFor(1000);
    const auto before = first.requests.size();
    sendFor(4000);
    BOOST_TEST(first.requests.size() - before <= 6U + 5U);
    run(300);
    BOOST_TEST(statuses[200] == 100);
}

// Guards against bursts to an endpoint that names its limit in some responses only.
BOOST_FIXTURE_TEST_CASE(gateways_keep_to_a_limit_that_is_named_in_every_other_response, LimitFixture)
{
    namesEveryOther = true;
    limits[&first] = limits[&second] = "1";
    sendFor(2000);
    const auto before = arrivals();
    sendFor(4000);
    BOOST_TEST(arrivals() - before <= 2 * (6U + 5U));
    BOOST_TEST(arrivals() - before >= 7U);
}

// Guards against an endpoint that gets no request any more after its limit is over.
BOOST_FIXTURE_TEST_CASE(an_endpoint_is_used_again_once_its_limit_is_over, LimitFixture)
{
    limits[&first] = "0";
    sendFor(1000);
    limits.clear();
    sendFor(5000);
    const auto before = first.requests.size();
    second.onRequest = [](const ExchangePtr &exchange) { exchange->respond({503, {{"Basilbend-Not-Executed", "1"}}, {}}); };
    sendFor(1000);
    BOOST_TEST(first.requests.size() - before >= 15U);
}

BOOST_FIXTURE_TEST_CASE(a_service_of_limited_endpoints_rejects_at_once_while_no_leader_grants, LimitFixture)
{
    limits[&first] = limits[&second] = "1";
    sendFor(1000);
    isLeading = false;
    run(500);
    const auto before = arrivals();
    statuses.clear();
    send();
    run(400);
    BOOST_TEST(statuses[503] == 1);
    BOOST_TEST(arrivals() == before);
    isLeading = true;
    run(4000);
    statuses.clear();
    send();
    run(300);
    send();
    run(300);
    BOOST_TEST(statuses[200] >= 1);
}

// Guards against a first request that is rejected only because the gateway has not had to know the leader before.
BOOST_FIXTURE_TEST_CASE(the_first_request_to_limited_endpoints_waits_for_the_look_up_of_the_leader, LimitFixture)
{
    limits[&first] = limits[&second] = "1";
    sendFor(300);
    run(300);
    BOOST_TEST(statuses[200] == 6);
    BOOST_TEST(statuses[503] == 0);
}

// Guards against a service that stays without requests after its limits are over, because the leader runs an older version that
// grants none.
BOOST_FIXTURE_TEST_CASE(limits_are_forgotten_after_a_while_when_no_leader_grants_requests, LimitFixture)
{
    limits[&first] = limits[&second] = "1";
    sendFor(1000);
    isLeading = false;
    limits.clear();
    run(5000);
    statuses.clear();
    send();
    run(400);
    BOOST_TEST(statuses[503] == 1);
    run(5000);
    sendFor(500);
    run(400);
    BOOST_TEST(statuses[200] == 10);
}

BOOST_AUTO_TEST_CASE(a_grant_request_and_its_reply_survive_encoding)
{
    const GrantRequest request{{{{"e", 5}, 1.5, Milliseconds(20)}}, {{{"f", 6}, 0, Milliseconds(30)}}};
    const auto decoded = decodeGrantRequest(encodeGrantRequest(request));
    BOOST_REQUIRE(decoded);
    BOOST_TEST(decoded.value().candidates.front().endpoint.id == "e");
    BOOST_TEST(decoded.value().candidates.front().requestsPerSecond == 1.5);
    BOOST_TEST(decoded.value().unnamed.front().age.count() == 30);
    const auto reply = decodeGrantReply(encodeGrantReply({"e", Milliseconds(70), {"x"}}));
    BOOST_REQUIRE(reply);
    BOOST_TEST(reply.value().granted == "e");
    BOOST_TEST(reply.value().retryAfter.count() == 70);
    BOOST_TEST(reply.value().unlimited.front() == "x");
    BOOST_TEST(!decodeGrantRequest("[]"));
    BOOST_TEST(!decodeGrantReply("x"));
}

// Guards against a leader that grants all that a limit allows while its predecessor or its successor does so, too.
BOOST_FIXTURE_TEST_CASE(a_leader_that_may_not_be_the_only_one_grants_a_part_of_what_limits_allow, LimitFixture)
{
    sendShare = 0.5;
    const GrantRequest request{{{{"e", 5}, 4, Milliseconds(0)}}, {}};
    int granted = 0;
    for (int i = 0; i < 80; ++i) {
        granted += grants.decide(request).granted.empty() ? 0 : 1;
        time.advance(Milliseconds(50));
    }
    // At once half of the 4 + 2 requests, then 2 a second.
    BOOST_TEST(granted == 3 + 7);
}

// Guards against clients that all come back at the same time, of which only one can be served.
BOOST_FIXTURE_TEST_CASE(denials_name_times_that_are_as_far_apart_as_the_limit_demands, LimitFixture)
{
    const GrantRequest request{{{{"e", 5}, 2, Milliseconds(0)}}, {}};
    while (!grants.decide(request).granted.empty()) {}
    const auto earlier = grants.decide(request).retryAfter;
    const auto later = grants.decide(request).retryAfter;
    BOOST_TEST((later - earlier).count() == 500);
}

BOOST_AUTO_TEST_SUITE_END()
