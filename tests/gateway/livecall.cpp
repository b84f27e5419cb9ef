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
        exchange->sendChunk(event(id));
    }
}

void rejectNotRun(const ExchangePtr &exchange)
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
    std::optional<CallOutcome> outcome;

    LiveFixture()
    {
        store.put("op/config", ConfigurationText);
        gateway = std::make_unique<GatewayProcess>(io, time, store);
        time.advance(Milliseconds(50));
    }

    void send(const std::string &path, const std::string &method = "POST")
    {
        CallHooks hooks;
        hooks.onHead = [this](const ResponseHead &head) { status = head.status; };
        hooks.onBody = [this](std::string_view data) { body.append(data); };
        hooks.onEnd = [this](CallOutcome callOutcome) { outcome = callOutcome; };
        RequestMessage request{
            method, path, {{"Host", "a.example"}, {"X-Api-Key", "k"}, {"Basilbend-Attempt-Id", "r-1"}, {"Basilbend-Deadline-Ms", "5000"}}, "b"};
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
    void script(std::function<void(const ExchangePtr &)> onFirst, std::function<void(const ExchangePtr &)> onLater)
    {
        auto hasFirst = std::make_shared<bool>(false);
        const auto choose = [hasFirst, onFirst = std::move(onFirst), onLater = std::move(onLater)](const ExchangePtr &exchange) {
            const auto &behaviour = *hasFirst ? onLater : onFirst;
            *hasFirst = true;
            behaviour(exchange);
        };
        first.onRequest = choose;
        second.onRequest = choose;
    }

    /// Aborts a response after the part that was sent has arrived.
    void abortSoon(const ExchangePtr &exchange)
    {
        time.schedule(Milliseconds(100), [exchange] { exchange->abort(); });
    }

    std::size_t runs() const
    {
        return first.requests.size() + second.requests.size();
    }

    /// The second request, at whichever endpoint it arrived.
    const RequestMessage &secondRequest() const
    {
        return first.requests.size() == 2 ? first.requests.back() : second.requests.size() == 2 ? second.requests.back() : laterOfBoth();
    }

    const RequestMessage &laterOfBoth() const
    {
        return first.requests.front().fields.find("Last-Event-Id") != nullptr ? first.requests.front() : second.requests.front();
    }
};

void respondWhole(const ExchangePtr &exchange)
{
    exchange->respond({200, {{"Basilbend-Server-Signature", "s"}}, "whole"});
}

}

BOOST_AUTO_TEST_SUITE(gateway, *boost::unit_test::label("gateway"))

BOOST_FIXTURE_TEST_CASE(stream_events_are_forwarded_as_they_arrive, LiveFixture)
{
    script([](const ExchangePtr &exchange) { beginEvents(exchange, 1, 2); }, rejectNotRun);
    send("/kept/a");
    run(200);
    BOOST_TEST(body == event(1) + event(2));
    BOOST_TEST(!outcome.has_value());
    auto &endpoint = first.exchanges.empty() ? second : first;
    endpoint.exchanges.front()->sendChunk(event(3));
    endpoint.exchanges.front()->endStream();
    run(300);
    BOOST_REQUIRE(outcome.has_value());
    BOOST_TEST((*outcome == CallOutcome::Complete));
    BOOST_TEST(body == event(1) + event(2) + event(3));
}

BOOST_FIXTURE_TEST_CASE(a_broken_stream_is_resumed_after_its_last_event_at_another_endpoint, LiveFixture)
{
    script(
        [this](const ExchangePtr &exchange) {
            beginEvents(exchange, 1, 2);
            exchange->sendChunk("id: 3\ndata: hal");
            abortSoon(exchange);
        },
        [](const ExchangePtr &exchange) {
            beginEvents(exchange, 3, 4);
            exchange->endStream();
        });
    send("/kept/a");
    run(1000);
    BOOST_REQUIRE(outcome.has_value());
    BOOST_TEST((*outcome == CallOutcome::Complete));
    BOOST_TEST(body == event(1) + event(2) + event(3) + event(4));
    BOOST_TEST(secondRequest().fields.value("Last-Event-Id") == "2");
}

// Guards against a truncated stream that appears complete because the endpoint at which it should resume rejected it.
BOOST_FIXTURE_TEST_CASE(a_stream_that_cannot_be_resumed_does_not_appear_complete, LiveFixture)
{
    script(
        [this](const ExchangePtr &exchange) {
            beginEvents(exchange, 1, 2);
            abortSoon(exchange);
        },
        rejectNotRun);
    send("/kept/a");
    run(9500);
    BOOST_REQUIRE(outcome.has_value());
    BOOST_TEST((*outcome == CallOutcome::Broken));
    BOOST_TEST(body == event(1) + event(2));
}

// Guards against the text or the head of an error in the middle of a stream, and against a stream that then ends as if it were complete.
BOOST_FIXTURE_TEST_CASE(an_error_of_the_endpoint_at_which_a_stream_should_resume_does_not_enter_the_stream, LiveFixture)
{
    for (const bool isSigned : {false, true}) {
        LiveFixture fixture;
        fixture.script(
            [&fixture](const ExchangePtr &exchange) {
                beginEvents(exchange, 1, 2);
                fixture.abortSoon(exchange);
            },
            [isSigned](const ExchangePtr &exchange) {
                const HttpFields fields = isSigned ? HttpFields{{"Basilbend-Server-Signature", "s"}} : HttpFields();
                exchange->respond({500, fields, "id: 3\ndata: an error of the endpoint\n\n"});
            });
        fixture.send("/kept/a");
        fixture.run(9500);
        BOOST_REQUIRE(fixture.outcome.has_value());
        BOOST_TEST((*fixture.outcome == CallOutcome::Broken));
        BOOST_TEST(fixture.status == 200);
        BOOST_TEST(fixture.body == event(1) + event(2));
    }
}

// Guards against a client that waits for the rest of a stream whose endpoint has stalled.
BOOST_FIXTURE_TEST_CASE(a_stalled_stream_is_resumed_at_another_endpoint, LiveFixture)
{
    script([](const ExchangePtr &exchange) { beginEvents(exchange, 1, 2); },
           [](const ExchangePtr &exchange) {
               beginEvents(exchange, 3, 3);
               exchange->endStream();
           });
    send("/kept/a");
    run(2000);
    BOOST_REQUIRE(outcome.has_value());
    BOOST_TEST((*outcome == CallOutcome::Complete));
    BOOST_TEST(body == event(1) + event(2) + event(3));
}

// A resumable stream may also restart, so the failure of the first endpoint is not visible to the client.
BOOST_FIXTURE_TEST_CASE(a_resumable_stream_that_breaks_before_its_first_event_restarts_at_another_endpoint, LiveFixture)
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

BOOST_FIXTURE_TEST_CASE(a_broken_non_resumable_stream_is_aborted_and_runs_once, LiveFixture)
{
    script(
        [this](const ExchangePtr &exchange) {
            beginEvents(exchange, 1, 2);
            abortSoon(exchange);
        },
        [](const ExchangePtr &exchange) { beginEvents(exchange, 3, 4); });
    send("/stream/a");
    run(2000);
    BOOST_REQUIRE(outcome.has_value());
    BOOST_TEST((*outcome == CallOutcome::Broken));
    BOOST_TEST(runs() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_request_with_a_truncated_response_is_retried_on_an_idempotent_route, LiveFixture)
{
    script([](const ExchangePtr &exchange) { exchange->abort(); }, respondWhole);
    send("/often/a");
    run(2000);
    BOOST_TEST(status == 200);
    BOOST_TEST(body == "whole");
    BOOST_TEST(runs() == 2U);
}

BOOST_FIXTURE_TEST_CASE(a_non_idempotent_request_with_a_truncated_response_is_not_reported_as_not_run, LiveFixture)
{
    script([](const ExchangePtr &exchange) { exchange->abort(); }, respondWhole);
    send("/once/a");
    run(2000);
    BOOST_TEST(status == 502);
    BOOST_TEST(runs() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_request_that_an_endpoint_rejected_as_not_run_is_retried_on_any_route, LiveFixture)
{
    script(rejectNotRun, respondWhole);
    send("/once/a");
    run(2000);
    BOOST_TEST(status == 200);
}

// Guards against requests to an endpoint that has announced in a response that it is about to leave.
BOOST_FIXTURE_TEST_CASE(an_endpoint_that_announces_its_leaving_receives_no_more_requests, LiveFixture)
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
        outcome.reset();
        send("/often/1");
        run(500);
        BOOST_TEST(status == 200);
    }
    BOOST_TEST(std::min(first.requests.size(), second.requests.size()) == 1U);
    BOOST_TEST(runs() == 12U);
}

// Guards against taking an endpoint out of use because another endpoint that now has its address is leaving.
BOOST_FIXTURE_TEST_CASE(a_misdirected_response_does_not_mark_the_endpoint_as_leaving, LiveFixture)
{
    const auto misdirected = [](const ExchangePtr &exchange) { exchange->respond({421, {{"Server-Leaving", "1"}}, {}}); };
    script(misdirected, respondWhole);
    send("/often/1");
    run(500);
    BOOST_TEST(status == 200);
    BOOST_TEST(gateway->view.endpoints().readyEndpoints("s").size() == 2U);
}

// Guards against an endless response that uses up the gateway's memory and keeps its client waiting.
BOOST_FIXTURE_TEST_CASE(an_endless_response_is_aborted_and_retried_at_another_endpoint, LiveFixture)
{
    auto sendEndlessBody = std::make_shared<std::function<void(const ExchangePtr &)>>();
    *sendEndlessBody = [this, sendEndlessBody](const ExchangePtr &exchange) {
        if (exchange->isOpen() && exchange->pendingBytes() < 4 * 1024 * 1024) {
            exchange->sendChunk(std::string(512 * 1024, 'x'));
        }
        time.schedule(Milliseconds(10), [sendEndlessBody, exchange] {
            if (exchange->isOpen()) {
                (*sendEndlessBody)(exchange);
            }
        });
    };
    script(
        [sendEndlessBody](const ExchangePtr &exchange) {
            exchange->beginStream({200, {{"Basilbend-Attempt-Id", "r-1"}, {"Basilbend-Server-Signature", "s"}}});
            (*sendEndlessBody)(exchange);
        },
        respondWhole);
    send("/often/1");
    run(2500);
    BOOST_REQUIRE(outcome.has_value());
    BOOST_TEST(status == 200);
    BOOST_TEST(body == "whole");
    BOOST_TEST(gateway->context.answerBudget.bufferedBytes() <= AnswerBudget::MaxResponseBytes);
    time.advance(Milliseconds(5000));
    BOOST_TEST(gateway->context.answerBudget.bufferedBytes() == 0U);
    *sendEndlessBody = nullptr;
}

// Guards against a stalled stream that is kept alive by occasional bytes.
BOOST_FIXTURE_TEST_CASE(a_stream_that_sends_bytes_but_no_event_is_resumed_at_another_endpoint, LiveFixture)
{
    auto sendComments = std::make_shared<std::function<void(const ExchangePtr &)>>();
    *sendComments = [this, sendComments](const ExchangePtr &exchange) {
        exchange->sendChunk(": still here\n\n");
        time.schedule(Milliseconds(100), [sendComments, exchange] {
            if (exchange->isOpen()) {
                (*sendComments)(exchange);
            }
        });
    };
    script(
        [sendComments](const ExchangePtr &exchange) {
            beginEvents(exchange, 1, 2);
            (*sendComments)(exchange);
        },
        [](const ExchangePtr &exchange) {
            beginEvents(exchange, 3, 4);
            exchange->endStream();
        });
    send("/kept/1");
    run(4000);
    BOOST_REQUIRE(outcome.has_value());
    BOOST_TEST(body == event(1) + event(2) + event(3) + event(4));
    *sendComments = nullptr;
}

BOOST_AUTO_TEST_CASE(large_responses_together_leave_memory_for_small_responses)
{
    AnswerBudget budget;
    std::size_t held = 0;
    for (int endpoint = 0; endpoint < 50; ++endpoint) {
        for (std::size_t size = 0; budget.reserve(size, 32 * 1024); size += 32 * 1024) {
            held += 32 * 1024;
        }
    }
    BOOST_TEST(budget.bufferedBytes() == held);
    BOOST_TEST(held <= AnswerBudget::MaxBufferedBytes + 50 * AnswerBudget::GuaranteedResponseBytes);
    BOOST_TEST(budget.reserve(0, 800));
    budget.release(held);
    BOOST_TEST(budget.bufferedBytes() == 800U);
    BOOST_TEST(budget.reserve(0, AnswerBudget::MaxResponseBytes));
}

// Guards against requests to a zone that the operator evacuates, and against clients that wait there for an endpoint until their time
// is up.
BOOST_FIXTURE_TEST_CASE(a_request_is_rejected_at_once_as_not_run_while_all_its_endpoints_are_evacuated, LiveFixture)
{
    script(respondWhole, respondWhole);
    store.put("op/evacuate/z", "\xff not readable");
    time.advance(Milliseconds(50));
    send("/often/a");
    run(200);
    BOOST_REQUIRE(outcome.has_value());
    BOOST_TEST(status == 503);
    BOOST_TEST(runs() == 0U);
    store.erase("op/evacuate/z");
    time.advance(Milliseconds(50));
    outcome.reset();
    send("/often/a");
    run(200);
    BOOST_TEST(status == 200);
    BOOST_TEST(runs() == 1U);
}

// Guards against a zone that stays unused because the end of its evacuation fell into a lost part of the history.
BOOST_FIXTURE_TEST_CASE(an_evacuation_that_a_new_listing_does_not_show_has_ended, LiveFixture)
{
    script(respondWhole, respondWhole);
    store.put("op/evacuate/z", "{}");
    time.advance(Milliseconds(50));
    BOOST_TEST(gateway->view.endpoints().evacuatedZones().size() == 1U);
    store.faults.watchesMissChanges = true;
    store.erase("op/evacuate/z");
    time.advance(Milliseconds(900));
    store.put("op/other", "{}");
    store.faults.compactedRevision = store.peek("op/other")->revision;
    store.faults.watchesMissChanges = false;
    time.advance(Milliseconds(6000));
    BOOST_TEST(gateway->view.endpoints().evacuatedZones().empty());
    send("/often/a");
    run(200);
    BOOST_TEST(status == 200);
}

// Guards against requests that come late in the grace period and are cut without an answer at its end (LOST).
BOOST_FIXTURE_TEST_CASE(a_stopping_gateway_takes_late_requests_only_if_their_time_limit_ends_before_it_does, LiveFixture)
{
    script(respondWhole, respondWhole);
    gateway->service.beginDrain(time.now() + Milliseconds(2800), time.now() + Milliseconds(5500));
    send("/once/a");
    run(1000);
    BOOST_TEST(status == 200);
    time.advance(Milliseconds(3000));
    outcome.reset();
    send("/once/a");
    run(500);
    BOOST_TEST(status == 503);
    BOOST_TEST(runs() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_stopping_gateway_takes_a_late_request_with_a_short_time_limit, LiveFixture)
{
    script(respondWhole, respondWhole);
    gateway->service.beginDrain(time.now(), time.now() + Milliseconds(3500));
    send("/once/a");
    run(500);
    BOOST_TEST(status == 200);
}

BOOST_FIXTURE_TEST_CASE(a_request_that_is_open_at_the_end_of_the_grace_period_gets_an_answer, LiveFixture)
{
    script([](const ExchangePtr &) {}, respondWhole);
    send("/once/a");
    run(300);
    BOOST_REQUIRE(!outcome.has_value());
    gateway->service.endOpenCalls();
    run(300);
    // The endpoint may have run it.
    BOOST_TEST(status == 502);
    BOOST_TEST((outcome == CallOutcome::Complete));
}

BOOST_FIXTURE_TEST_CASE(a_stream_that_is_open_at_the_end_of_the_grace_period_does_not_end_as_complete, LiveFixture)
{
    script([](const ExchangePtr &exchange) { beginEvents(exchange, 1, 2); }, respondWhole);
    send("/stream/a");
    run(300);
    gateway->service.endOpenCalls();
    run(300);
    BOOST_TEST((outcome == CallOutcome::Broken));
    BOOST_TEST(body == event(1) + event(2));
}

// Guards against a HEAD request that waits for a body until its time limit.
BOOST_FIXTURE_TEST_CASE(a_head_request_is_answered_with_the_head_of_the_endpoints_response, LiveFixture)
{
    script(respondWhole, rejectNotRun);
    send("/often/a", "HEAD");
    run(500);
    BOOST_REQUIRE(outcome.has_value());
    BOOST_TEST((*outcome == CallOutcome::Complete));
    BOOST_TEST(status == 200);
    BOOST_TEST(body.empty());
    BOOST_TEST(runs() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
