#include "gateway/gatewayprocess.h"
#include "http/scriptedendpoint.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <optional>

using namespace Basilbend;

namespace
{

constexpr const char *ConfigurationText = R"({"version":7,"services":[{"name":"s"}],"tenants":[{"name":"w","api_keys":["k"]}],"routes":[
 {"name":"once","host":"a.example","path_prefix":"/once/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":400,"service":"s","attempts":3},
 {"name":"often","host":"a.example","path_prefix":"/often/","kind":"idempotent","timeout_ms":3000,"target_latency_ms":400,"service":"s","attempts":3},
 {"name":"kept","host":"a.example","path_prefix":"/kept/","kind":"streaming","resumable":true,"timeout_ms":9000,"target_latency_ms":400,"service":"s",
  "attempts":3},
 {"name":"stream","host":"a.example","path_prefix":"/stream/","kind":"streaming","timeout_ms":9000,"target_latency_ms":400,"service":"s","attempts":3}]})";

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: d" + std::to_string(id) + "\n\n";
}

void beginEvents(const ExchangePtr &exchange, int first, int last)
{
    exchange->beginStream({200, {{"Content-Type", "text/event-stream"}, {"Basilbend-Server-Signature", "s"}}});
    for (int id = first; id <= last; ++id) {
        exchange->sendPart(event(id));
    }
}

void refuseNotRun(const ExchangePtr &exchange)
{
    exchange->respond({503, {{"Basilbend-Not-Executed", "1"}}, {}});
}

struct LiveFixture {
    asio::io_context io;
    VirtualTime time{Timestamp(1'000'000)};
    FakeMetadataStore store{time};
    ScriptedEndpoint first{io, store, "i-1"};
    ScriptedEndpoint second{io, store, "i-2"};
    std::unique_ptr<GatewayProcess> gateway;
    WebClient client{io, systemNow};
    ClientCall call;
    int status = 0;
    std::string body;
    std::optional<CallEnd> end;

    LiveFixture()
    {
        store.put("op/config", ConfigurationText);
        gateway = std::make_unique<GatewayProcess>(io, time, store);
        time.advance(Milliseconds(50));
    }

    void send(const std::string &path)
    {
        CallHooks hooks;
        hooks.onHead = [this](const ResponseHead &head) { status = head.status; };
        hooks.onBody = [this](std::string_view data) { body.append(data); };
        hooks.onEnd = [this](CallEnd how) { end = how; };
        RequestMessage request{
            "POST", path, {{"Host", "a.example"}, {"X-Api-Key", "k"}, {"Basilbend-Attempt-Id", "r-1"}, {"Basilbend-Deadline-Ms", "5000"}}, "b"};
        call = client.send({asio::ip::make_address("127.0.0.1"), gateway->server.port()}, request, std::move(hooks), Milliseconds(500));
    }

    /// Runs sockets and virtual time for at most this span, until the answer has ended.
    void run(int ms)
    {
        for (int i = 0; i < ms && !end; i += 10) {
            io.restart();
            io.run_for(std::chrono::milliseconds(2));
            time.advance(Milliseconds(10));
        }
    }

    /// The first endpoint that is asked does this, the other one that.
    void script(std::function<void(const ExchangePtr &)> asked, std::function<void(const ExchangePtr &)> other)
    {
        auto isAsked = std::make_shared<bool>(false);
        const auto choose = [isAsked, asked = std::move(asked), other = std::move(other)](const ExchangePtr &exchange) {
            const auto &behaviour = *isAsked ? other : asked;
            *isAsked = true;
            behaviour(exchange);
        };
        first.onRequest = choose;
        second.onRequest = choose;
    }

    /// Cuts an answer when what was sent of it has arrived.
    void cutSoon(const ExchangePtr &exchange)
    {
        time.schedule(Milliseconds(100), [exchange] { exchange->abort(); });
    }

    std::size_t runs() const
    {
        return first.requests.size() + second.requests.size();
    }

    /// The request that came second, to whichever endpoint.
    const RequestMessage &secondRequest() const
    {
        return first.requests.size() == 2 ? first.requests.back() : second.requests.size() == 2 ? second.requests.back() : laterOfBoth();
    }

    const RequestMessage &laterOfBoth() const
    {
        return first.requests.front().fields.find("Last-Event-Id") != nullptr ? first.requests.front() : second.requests.front();
    }
};

void answerAll(const ExchangePtr &exchange)
{
    exchange->respond({200, {{"Basilbend-Server-Signature", "s"}}, "whole"});
}

}

BOOST_AUTO_TEST_SUITE(gateway, *boost::unit_test::label("gateway"))

BOOST_FIXTURE_TEST_CASE(a_stream_is_passed_on_as_its_events_come, LiveFixture)
{
    script([](const ExchangePtr &exchange) { beginEvents(exchange, 1, 2); }, refuseNotRun);
    send("/kept/a");
    run(200);
    BOOST_TEST(body == event(1) + event(2));
    BOOST_TEST(!end.has_value());
    auto &endpoint = first.exchanges.empty() ? second : first;
    endpoint.exchanges.front()->sendPart(event(3));
    endpoint.exchanges.front()->endStream();
    run(300);
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST((*end == CallEnd::Complete));
    BOOST_TEST(body == event(1) + event(2) + event(3));
}

BOOST_FIXTURE_TEST_CASE(a_cut_stream_goes_on_behind_its_last_event_elsewhere, LiveFixture)
{
    script(
        [this](const ExchangePtr &exchange) {
            beginEvents(exchange, 1, 2);
            exchange->sendPart("id: 3\ndata: hal");
            cutSoon(exchange);
        },
        [](const ExchangePtr &exchange) {
            beginEvents(exchange, 3, 4);
            exchange->endStream();
        });
    send("/kept/a");
    run(1000);
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST((*end == CallEnd::Complete));
    BOOST_TEST(body == event(1) + event(2) + event(3) + event(4));
    BOOST_TEST(secondRequest().fields.value("Last-Event-Id") == "2");
}

// Guards against a stream that ends as if it were whole because the endpoint where it should go on has refused it.
BOOST_FIXTURE_TEST_CASE(a_stream_that_nobody_goes_on_with_does_not_look_complete, LiveFixture)
{
    script(
        [this](const ExchangePtr &exchange) {
            beginEvents(exchange, 1, 2);
            cutSoon(exchange);
        },
        refuseNotRun);
    send("/kept/a");
    run(9500);
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST((*end == CallEnd::Broken));
    BOOST_TEST(body == event(1) + event(2));
}

// Guards against a caller that waits for the rest of a stream whose endpoint has gone silent.
BOOST_FIXTURE_TEST_CASE(a_silent_stream_goes_on_elsewhere, LiveFixture)
{
    script([](const ExchangePtr &exchange) { beginEvents(exchange, 1, 2); },
           [](const ExchangePtr &exchange) {
               beginEvents(exchange, 3, 3);
               exchange->endStream();
           });
    send("/kept/a");
    run(2000);
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST((*end == CallEnd::Complete));
    BOOST_TEST(body == event(1) + event(2) + event(3));
}

// A stream that may go on elsewhere may also begin again, so its caller need not see the end of the first endpoint.
BOOST_FIXTURE_TEST_CASE(a_resumable_stream_that_is_cut_before_its_first_event_begins_elsewhere, LiveFixture)
{
    script([](const ExchangePtr &exchange) { exchange->abort(); },
           [](const ExchangePtr &exchange) {
               beginEvents(exchange, 1, 2);
               exchange->endStream();
           });
    send("/kept/a");
    run(2000);
    BOOST_TEST(status == 200);
    BOOST_TEST(body == event(1) + event(2));
}

BOOST_FIXTURE_TEST_CASE(a_stream_that_may_not_be_resumed_is_cut_and_runs_once, LiveFixture)
{
    script(
        [this](const ExchangePtr &exchange) {
            beginEvents(exchange, 1, 2);
            cutSoon(exchange);
        },
        [](const ExchangePtr &exchange) { beginEvents(exchange, 3, 4); });
    send("/stream/a");
    run(2000);
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST((*end == CallEnd::Broken));
    BOOST_TEST(runs() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_cut_answer_is_repeated_only_where_the_route_allows_it, LiveFixture)
{
    script([](const ExchangePtr &exchange) { exchange->abort(); }, answerAll);
    send("/often/a");
    run(2000);
    BOOST_TEST(status == 200);
    BOOST_TEST(body == "whole");
    BOOST_TEST(runs() == 2U);
}

BOOST_FIXTURE_TEST_CASE(a_request_that_may_run_once_is_not_called_not_run_after_a_cut, LiveFixture)
{
    script([](const ExchangePtr &exchange) { exchange->abort(); }, answerAll);
    send("/once/a");
    run(2000);
    BOOST_TEST(status == 502);
    BOOST_TEST(runs() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_refusal_not_run_lets_any_request_go_elsewhere, LiveFixture)
{
    script(refuseNotRun, answerAll);
    send("/once/a");
    run(2000);
    BOOST_TEST(status == 200);
}

// Guards against a gateway whose memory is taken by an answer without end, and against a client that waits for it.
// Guards against requests that reach an endpoint after it has said in an answer that it leaves.
BOOST_FIXTURE_TEST_CASE(an_endpoint_whose_answer_says_that_it_leaves_is_sent_nothing_more, LiveFixture)
{
    const auto respond = [](const ExchangePtr &exchange, HttpFields fields) {
        fields.set("Basilbend-Attempt-Id", std::string(exchange->request().fields.value("Basilbend-Attempt-Id")));
        fields.set("Basilbend-Server-Signature", "s");
        exchange->respond({200, fields, "whole"});
    };
    script(
        [respond](const ExchangePtr &exchange) {
            respond(exchange, {{"Server-Leaving", "1"}});
        },
        [respond](const ExchangePtr &exchange) { respond(exchange, {}); });
    for (int i = 0; i < 12; ++i) {
        end.reset();
        send("/often/1");
        run(500);
        BOOST_TEST(status == 200);
    }
    BOOST_TEST(std::min(first.requests.size(), second.requests.size()) == 1U);
    BOOST_TEST(runs() == 12U);
}

// Guards against an endpoint that is left alone because another one, which now has its address, leaves.
BOOST_FIXTURE_TEST_CASE(the_leaving_of_another_endpoint_at_the_address_does_not_count, LiveFixture)
{
    const auto misdirected = [](const ExchangePtr &exchange) { exchange->respond({421, {{"Server-Leaving", "1"}}, {}}); };
    script(misdirected, answerAll);
    send("/often/1");
    run(500);
    BOOST_TEST(status == 200);
    BOOST_TEST(gateway->view.endpoints().readyOf("s").size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(an_answer_without_end_is_given_up_and_another_endpoint_asked, LiveFixture)
{
    auto pour = std::make_shared<std::function<void(const ExchangePtr &)>>();
    *pour = [this, pour](const ExchangePtr &exchange) {
        if (exchange->isOpen() && exchange->pendingBytes() < 4 * 1024 * 1024) {
            exchange->sendPart(std::string(512 * 1024, 'x'));
        }
        time.schedule(Milliseconds(10), [pour, exchange] {
            if (exchange->isOpen()) {
                (*pour)(exchange);
            }
        });
    };
    script(
        [pour](const ExchangePtr &exchange) {
            exchange->beginStream({200, {{"Basilbend-Attempt-Id", "r-1"}, {"Basilbend-Server-Signature", "s"}}});
            (*pour)(exchange);
        },
        answerAll);
    send("/often/1");
    run(2500);
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST(status == 200);
    BOOST_TEST(body == "whole");
    BOOST_TEST(gateway->context.responseBudget.bufferedBytes() <= ResponseBufferBudget::MaxResponseBytes);
    time.advance(Milliseconds(5000));
    BOOST_TEST(gateway->context.responseBudget.bufferedBytes() == 0U);
    *pour = nullptr;
}

// Guards against a stalled stream that is kept alive by a byte now and then.
BOOST_FIXTURE_TEST_CASE(a_stream_that_sends_bytes_but_no_event_goes_on_elsewhere, LiveFixture)
{
    auto trickle = std::make_shared<std::function<void(const ExchangePtr &)>>();
    *trickle = [this, trickle](const ExchangePtr &exchange) {
        exchange->sendPart(": still here\n\n");
        time.schedule(Milliseconds(100), [trickle, exchange] {
            if (exchange->isOpen()) {
                (*trickle)(exchange);
            }
        });
    };
    script(
        [trickle](const ExchangePtr &exchange) {
            beginEvents(exchange, 1, 2);
            (*trickle)(exchange);
        },
        [](const ExchangePtr &exchange) {
            beginEvents(exchange, 3, 4);
            exchange->endStream();
        });
    send("/kept/1");
    run(4000);
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST(body == event(1) + event(2) + event(3) + event(4));
    *trickle = nullptr;
}

BOOST_AUTO_TEST_CASE(many_large_answers_together_leave_room_for_small_ones)
{
    ResponseBufferBudget budget;
    std::size_t held = 0;
    for (int endpoint = 0; endpoint < 50; ++endpoint) {
        for (std::size_t size = 0; budget.reserve(size, 32 * 1024); size += 32 * 1024) {
            held += 32 * 1024;
        }
    }
    BOOST_TEST(budget.bufferedBytes() == held);
    BOOST_TEST(held <= ResponseBufferBudget::MaxBufferedBytes + 50 * ResponseBufferBudget::GuaranteedResponseBytes);
    BOOST_TEST(budget.reserve(0, 800));
    budget.release(held);
    BOOST_TEST(budget.bufferedBytes() == 800U);
    BOOST_TEST(budget.reserve(0, ResponseBufferBudget::MaxResponseBytes));
}

BOOST_AUTO_TEST_SUITE_END()
