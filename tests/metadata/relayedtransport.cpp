#include "metadata/relayedtransport.h"

#include "http/webserver.h"
#include "metadata/fakemetadatastore.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <optional>

using namespace Basilbend;

namespace
{

/// Transport that gives each call the configured response.
class ScriptedTransport : public StoreTransport
{
public:
    explicit ScriptedTransport(VirtualTime &time)
        : m_time(time)
    {
    }

    void send(const StoreRequest &request, Callback callback) override
    {
        ++calls;
        targets.push_back(request.message.target);
        m_time.schedule(Milliseconds(4), [this, callback = std::move(callback)] { callback(response); });
    }

    void abortCalls() override
    {
        ++abortCount;
    }

    int abortCount = 0;
    StoreResponse response{CallOutcome::Complete, 200, "{}", 0};
    int calls = 0;
    std::vector<std::string> targets;

private:
    VirtualTime &m_time;
};

struct TransportFixture {
    VirtualTime time{Timestamp(1'000'000)};
    asio::io_context io;
    WebClient client{io, [this] { return time.now(); }};
    EventLog log{EventLogSettings(), [this] { return time.now(); }, [](std::string_view bytes) { return bytes.size(); }};
    ScriptedTransport direct{time};
    RelayedTransport transport{direct, client, virtualLoop(time), log, {}, 0};
    std::vector<StoreResponse> responses;

    void send(bool isIdempotent)
    {
        transport.send({{"GET", "/-/x", {}, {}}, Milliseconds(1000), isIdempotent},
                       [this](StoreResponse response) { responses.push_back(std::move(response)); });
        time.advance(Milliseconds(10));
    }
};

}

BOOST_AUTO_TEST_SUITE(metadata, *boost::unit_test::label("metadata"))

// Guards against a process that floods a store that is down: after two failures only one probe at a time is sent, however
// many calls are made.
BOOST_FIXTURE_TEST_CASE(only_probes_reach_a_store_that_is_down, TransportFixture)
{
    direct.response = {CallOutcome::Complete, 503, {}, 0};
    for (int i = 0; i < 100; ++i) {
        send(true);
    }
    BOOST_TEST(responses.size() == 100U);
    BOOST_TEST(responses.back().isRefusal());
    BOOST_TEST(direct.calls <= 2 + 1000 / 200 + 1);
}

BOOST_FIXTURE_TEST_CASE(calls_go_directly_again_after_a_successful_probe, TransportFixture)
{
    direct.response = {CallOutcome::ClosedUnanswered, 0, {}, 0};
    send(true);
    send(true);
    direct.response = {CallOutcome::Complete, 404, "{}", 0};
    time.advance(Milliseconds(500));
    send(true);
    BOOST_TEST(responses.back().isAnswer());
    BOOST_TEST(responses.back().status == 404);
}

// Guards against watches that wait on dead connections although a lease call has already shown that the store is
// unreachable.
BOOST_FIXTURE_TEST_CASE(open_calls_are_aborted_when_the_direct_connection_fails, TransportFixture)
{
    direct.response = {CallOutcome::ClosedUnanswered, 0, {}, 0};
    send(true);
    BOOST_TEST(direct.abortCount == 0);
    send(true);
    BOOST_TEST(direct.abortCount == 1);
}

// Guards against a write that is executed twice: a lost answer does not show whether the call was executed.
BOOST_AUTO_TEST_CASE(only_a_refused_write_may_be_retried_through_a_peer)
{
    BOOST_TEST(RelayRule::mayRetry(true, false));
    BOOST_TEST(!RelayRule::mayRetry(false, false));
    BOOST_TEST(RelayRule::mayRetry(false, true));
}

BOOST_AUTO_TEST_CASE(two_failures_start_an_outage_and_one_answer_ends_it)
{
    RelayRule rule;
    BOOST_TEST(!rule.recordDirectResult(false));
    BOOST_TEST(rule.isDirectAvailable());
    BOOST_TEST(!rule.isHealthy());
    BOOST_TEST(rule.recordDirectResult(false));
    BOOST_TEST(!rule.isDirectAvailable());
    rule.recordDirectResult(true);
    BOOST_TEST(rule.isDirectAvailable());
}

// Two peers on the loopback address that give each relayed call the same answer.
struct PeerFixture {
    asio::io_context io;
    VirtualTime time{Timestamp(1'000'000)};
    int status = 504;
    int relayedCalls = 0;
    EventLog log{EventLogSettings(), [this] { return time.now(); }, [](std::string_view bytes) { return bytes.size(); }};
    WebClient client{io, [this] { return time.now(); }};
    ScriptedTransport direct{time};
    /// Handles a relayed call with its target; the same answer as at the other peer if empty.
    using Handler = std::function<void(const std::shared_ptr<ServerExchange> &, const std::string &target)>;
    Handler onFirst;
    Handler onSecond;
    WebServer first{io, "127.0.0.1:0", hooks(onFirst)};
    WebServer second{io, "127.0.0.1:0", hooks(onSecond)};
    RelayedTransport transport{direct, client, virtualLoop(time), log, {address(first), address(second)}, 0};

    ServerHooks hooks(const Handler &handler)
    {
        return defaultServerHooks([this, &handler](const std::shared_ptr<ServerExchange> &exchange) {
            ++relayedCalls;
            if (handler) {
                handler(exchange, std::string(exchange->request().fields.value("Relay-Target")));
                return;
            }
            exchange->respond({status, {{RelayStatusField, "404"}}, "body"});
        });
    }
    static std::string address(const WebServer &server)
    {
        return "127.0.0.1:" + std::to_string(server.port());
    }
    std::optional<StoreResponse> send(bool isIdempotent)
    {
        std::optional<StoreResponse> result;
        transport.send({{"GET", "/-/x", {}, {}}, Milliseconds(1000), isIdempotent}, [&result](StoreResponse response) { result = std::move(response); });
        run();
        return result;
    }
    void run()
    {
        for (int i = 0; i < 100; ++i) {
            time.advance(Milliseconds(5));
            io.restart();
            io.poll();
        }
    }
};

// Guards against a call that is passed from peer to peer without end: each peer is asked once.
BOOST_FIXTURE_TEST_CASE(each_peer_is_asked_once_and_then_the_call_fails, PeerFixture)
{
    direct.response = {CallOutcome::Complete, 503, {}, 0};
    const auto response = send(true);
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(!response->isRefusal());
    BOOST_TEST(relayedCalls == 2);
}

BOOST_FIXTURE_TEST_CASE(a_relayed_answer_carries_the_stores_own_status, PeerFixture)
{
    direct.response = {CallOutcome::Complete, 503, {}, 0};
    status = 200;
    const auto response = send(false);
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response->status == 404);
    BOOST_TEST(response->body == "body");
    BOOST_TEST(relayedCalls == 1);
}

// Guards against a call that asks one peer twice and another one never, because other calls meanwhile found the peer that answers.
BOOST_FIXTURE_TEST_CASE(a_call_asks_each_peer_even_if_other_calls_are_answered_meanwhile, PeerFixture)
{
    direct.response = {CallOutcome::Complete, 503, {}, 0};
    std::map<std::string, int> callsOfFirst;
    std::map<std::string, int> callsOfSecond;
    std::shared_ptr<ServerExchange> held;
    // Two failures of direct calls, so that the next calls go to the peers at once. No peer answers them either.
    send(true);
    send(true);
    onFirst = [&](const std::shared_ptr<ServerExchange> &exchange, const std::string &target) {
        ++callsOfFirst[target];
        if (target == "/-/slow") {
            held = exchange;
        } else {
            exchange->respond({503, {}, {}});
        }
    };
    onSecond = [&](const std::shared_ptr<ServerExchange> &exchange, const std::string &target) {
        ++callsOfSecond[target];
        exchange->respond({200, {{RelayStatusField, "200"}}, "body"});
    };
    std::optional<StoreResponse> slow;
    transport.send({{"GET", "/-/slow", {}, {}}, Milliseconds(1000), true}, [&slow](StoreResponse response) { slow = std::move(response); });
    run();
    BOOST_REQUIRE((held != nullptr));
    send(true);
    held->respond({503, {}, {}});
    run();
    BOOST_REQUIRE(slow.has_value());
    BOOST_TEST(slow->status == 200);
    BOOST_TEST(callsOfFirst["/-/slow"] == 1);
    BOOST_TEST(callsOfSecond["/-/slow"] == 1);
}

// Two peers of which the first holds each call without an answer, as a suspended process does, and a store that has just turned
// this process away.
struct SuspendedPeerFixture : PeerFixture {
    std::vector<std::shared_ptr<ServerExchange>> held;
    std::optional<StoreResponse> response;

    SuspendedPeerFixture()
    {
        direct.response = {CallOutcome::Complete, 503, {}, 0};
        PeerFixture::send(true);
        PeerFixture::send(true);
        onFirst = [this](const std::shared_ptr<ServerExchange> &exchange, const std::string &) { held.push_back(exchange); };
        onSecond = onFirst;
    }
    void sendHeld(bool isIdempotent)
    {
        transport.send({{"GET", "/-/held", {}, {}}, Milliseconds(3400), isIdempotent}, [this](StoreResponse result) { response = std::move(result); });
        run();
        BOOST_REQUIRE(held.size() == 1U);
    }
};

// Guards against a watch that stays at a suspended peer although the store serves this process again: its configuration was
// behind for three seconds.
BOOST_FIXTURE_TEST_CASE(a_call_that_waits_at_a_suspended_peer_goes_directly_when_the_store_is_back, SuspendedPeerFixture)
{
    sendHeld(true);
    BOOST_TEST(!response.has_value());
    direct.response = {CallOutcome::Complete, 200, "{}", 0};
    run();
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response->isAnswer());
    BOOST_TEST(direct.targets.back() == "/-/held");
}

// Guards against a write that is executed twice: one that waits at a peer may have been executed there.
BOOST_FIXTURE_TEST_CASE(a_write_that_waits_at_a_suspended_peer_is_left_there, SuspendedPeerFixture)
{
    sendHeld(false);
    direct.response = {CallOutcome::Complete, 200, "{}", 0};
    run();
    BOOST_TEST(!response.has_value());
    BOOST_TEST(direct.targets.back() != "/-/held");
}

// Guards against a write that is executed twice: a peer that got no answer does not know whether the call was executed.
BOOST_FIXTURE_TEST_CASE(a_write_that_a_peer_may_have_executed_is_not_retried, PeerFixture)
{
    direct.response = {CallOutcome::Complete, 503, {}, 0};
    const auto response = send(false);
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(!response->isRefusal());
    BOOST_TEST(relayedCalls == 1);
}

BOOST_AUTO_TEST_SUITE_END()
