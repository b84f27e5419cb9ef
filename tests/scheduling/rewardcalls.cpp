#include "scheduling/rewardcalls.h"

#include "http/rawendpoint.h"
#include "http/scriptedendpoint.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <optional>

using namespace Basilbend;

namespace
{

constexpr const char *ConfigurationText = R"({"version":1,"services":[{"name":"s"}],"routes":[
 {"name":"score","host":"a.example","path_prefix":"/score/","kind":"idempotent","timeout_ms":2000,"target_latency_ms":150,"service":"s","attempts":2},
 {"name":"batch","host":"a.example","path_prefix":"/batch/","kind":"rollout","timeout_ms":9000,"target_latency_ms":400,"result_deadline_ms":7500,
  "service":"m","attempts":3}]})";
constexpr const char *WithoutScorer = R"({"version":2,"services":[{"name":"s"}],"routes":[
 {"name":"batch","host":"a.example","path_prefix":"/batch/","kind":"rollout","timeout_ms":9000,"target_latency_ms":400,"service":"m","attempts":3}]})";

struct RewardFixture {
    asio::io_context io;
    VirtualTime time{Timestamp(1'000'000)};
    FakeMetadataStore store{time};
    EventLog log{EventLogSettings(), [this] { return time.now(); }, [](std::string_view bytes) { return bytes.size(); }};
    Metrics metrics;
    Random random{1};
    ScriptedEndpoint first{io, store, "i-1", 6};
    ScriptedEndpoint second{io, store, "i-2", 6};
    WebClient client{io, [this] { return time.now(); }};
    SystemView view{store, virtualLoop(time), log, ViewScope::Serving, ViewWatchSpans{Milliseconds(2500), Milliseconds(5000)}};
    std::shared_ptr<OpenBatch> batch;
    RequestLimiter requestLimiter;
    std::optional<RewardCalls> calls;
    std::vector<std::pair<std::size_t, std::string>> scores;
    int serverErrors = 0;

    RewardFixture()
    {
        store.put("op/config", ConfigurationText);
        view.start();
        time.advance(Milliseconds(50));
        RewardHooks hooks;
        hooks.onScore = [this](const std::string &, std::size_t item, std::string score) {
            batch->acceptScore(item, score);
            scores.emplace_back(item, std::move(score));
        };
        hooks.onServerError = [this](const std::string &, std::size_t item, int attempts) {
            ++serverErrors;
            batch->recordRewardError(item, attempts);
        };
        hooks.onRetryDue = [this] { calls->poll(); };
        calls.emplace(RewardContext{virtualLoop(time), log, metrics, client, view, random, requestLimiter, "z"}, std::move(hooks));
        answer([](const ExchangePtr &exchange) { score(exchange); });
    }

    static std::string idOf(const ExchangePtr &exchange)
    {
        return std::string(exchange->request().fields.value("Basilbend-Attempt-Id"));
    }

    static void score(const ExchangePtr &exchange)
    {
        exchange->respond({200, {{"Basilbend-Attempt-Id", idOf(exchange)}, {"Basilbend-Server-Signature", "scored-" + idOf(exchange)}}, "{}"});
    }

    /// Sets the handler of both endpoints.
    void answer(const std::function<void(const ExchangePtr &)> &behaviour)
    {
        first.onRequest = behaviour;
        second.onRequest = behaviour;
    }

    /// Opens a batch of groups whose texts are complete and wait for their scores.
    void finishTexts(std::size_t groups, std::size_t size)
    {
        BatchIndex index;
        index.id = "b";
        index.route = "batch";
        index.submittedAtMs = time.now().milliseconds();
        BatchSubmission submission;
        for (std::size_t i = 0; i < groups * size; ++i) {
            BatchItem item;
            item.id = "i" + std::to_string(i);
            item.group = "g" + std::to_string(i / size);
            item.reward = RewardRequest{"r" + std::to_string(i), "a.example", "/score/" + std::to_string(i), "text"};
            submission.items.push_back(item);
        }
        batch = std::make_shared<OpenBatch>(index, submission, std::vector<std::string>());
        for (std::size_t i = 0; i < groups * size; ++i) {
            batch->progress(i).phase = ItemPhase::Running;
            batch->complete(i);
            calls->add(batch, i);
        }
        calls->poll();
    }

    void run(int ms)
    {
        for (int i = 0; i < ms; i += 10) {
            io.restart();
            io.run_for(std::chrono::milliseconds(2));
            time.advance(Milliseconds(10));
            calls->poll();
        }
    }

    std::size_t callCount() const
    {
        return first.requests.size() + second.requests.size();
    }
};

}

BOOST_AUTO_TEST_SUITE(scheduling, *boost::unit_test::label("scheduling"))

BOOST_FIXTURE_TEST_CASE(a_finished_text_gets_the_signature_of_its_own_reward_call, RewardFixture)
{
    finishTexts(2, 2);
    run(200);
    BOOST_REQUIRE(scores.size() == 4U);
    for (const auto &[item, score] : scores) {
        BOOST_TEST(score == "scored-r" + std::to_string(item));
    }
    BOOST_TEST(callCount() == 4U);
    BOOST_TEST(calls->size() == 0U);
}

// Finishes 40 texts at once while the endpoints hold every call. Guards against live requests that find no slot.
BOOST_FIXTURE_TEST_CASE(reward_calls_take_at_most_half_of_the_slots, RewardFixture)
{
    answer([](const ExchangePtr &) {});
    finishTexts(10, 4);
    run(100);
    BOOST_TEST(first.requests.size() == 3U);
    BOOST_TEST(second.requests.size() == 3U);
}

// Guards against texts that are sent to an endpoint after it has announced in a response that it leaves.
BOOST_FIXTURE_TEST_CASE(a_leaving_endpoint_gets_no_more_texts, RewardFixture)
{
    first.onRequest = [](const ExchangePtr &exchange) {
        exchange->respond({200, {{"Basilbend-Attempt-Id", idOf(exchange)}, {"Basilbend-Server-Signature", "scored"}, {"Server-Leaving", "1"}}, "{}"});
    };
    finishTexts(20, 2);
    run(1000);
    BOOST_TEST(scores.size() == 40U);
    // Those that were sent together before the first response.
    BOOST_TEST(first.requests.size() <= 3U);
}

// Guards against a sample that waits for a response that was lost.
BOOST_FIXTURE_TEST_CASE(a_call_without_a_response_is_repeated_at_another_endpoint, RewardFixture)
{
    bool isLost = true;
    answer([&isLost](const ExchangePtr &exchange) {
        if (!std::exchange(isLost, false)) {
            score(exchange);
        }
    });
    finishTexts(1, 1);
    run(250);
    BOOST_TEST(callCount() == 1U);
    run(250);
    BOOST_REQUIRE(scores.size() == 1U);
    BOOST_TEST(first.requests.size() == 1U);
    BOOST_TEST(second.requests.size() == 1U);
}

// Guards against a score that no endpoint has signed, or that belongs to another text.
BOOST_FIXTURE_TEST_CASE(a_response_without_signature_or_with_another_id_scores_no_text, RewardFixture)
{
    int number = 0;
    answer([&number](const ExchangePtr &exchange) {
        switch (number++) {
        case 0:
            exchange->respond({200, {{"Basilbend-Attempt-Id", idOf(exchange)}}, "{}"});
            break;
        case 1:
            exchange->respond({200, {{"Basilbend-Attempt-Id", "another"}, {"Basilbend-Server-Signature", "wrong"}}, "{}"});
            break;
        case 2:
            exchange->respond({200, {{"Basilbend-Server-Signature", "nameless"}}, "{}"});
            break;
        default:
            score(exchange);
        }
    });
    finishTexts(1, 1);
    run(3000);
    BOOST_REQUIRE(scores.size() == 1U);
    BOOST_TEST(scores.front().second == "scored-r0");
}

// Guards against a text that can never be scored and occupies the slots that others need.
BOOST_FIXTURE_TEST_CASE(a_text_that_always_fails_is_terminated_while_the_others_are_scored, RewardFixture)
{
    answer([](const ExchangePtr &exchange) {
        if (idOf(exchange) == "r1") {
            exchange->respond({500, {{"Basilbend-Attempt-Id", "r1"}, {"Basilbend-Server-Signature", "s"}}, {}});
        } else {
            score(exchange);
        }
    });
    finishTexts(3, 2);
    run(1000);
    BOOST_TEST(scores.size() == 5U);
    // The route of the batch allows three attempts and that of the scorer two.
    BOOST_TEST(serverErrors == 3);
    BOOST_TEST(batch->isDecided());
    BOOST_TEST(calls->size() == 0U);
}

// Guards against a refusal for lack of room that is counted as a failure of the text.
BOOST_FIXTURE_TEST_CASE(a_refused_call_is_repeated_without_counting_as_a_failure, RewardFixture)
{
    int refusals = 5;
    answer([&refusals](const ExchangePtr &exchange) {
        if (refusals-- > 0) {
            exchange->respond({503, {{"Basilbend-Attempt-Id", idOf(exchange)}, {"Basilbend-Not-Executed", "1"}}, {}});
        } else {
            score(exchange);
        }
    });
    finishTexts(1, 1);
    run(800);
    BOOST_TEST(scores.size() == 1U);
    BOOST_TEST(serverErrors == 0);
}

// Guards against a call although the operators have removed its route, and against a text that is lost as a result.
BOOST_FIXTURE_TEST_CASE(a_text_waits_while_no_route_leads_to_its_scorer, RewardFixture)
{
    store.put("op/config", WithoutScorer);
    time.advance(Milliseconds(300));
    finishTexts(1, 1);
    run(500);
    BOOST_TEST(callCount() == 0U);
    auto again = std::string(ConfigurationText);
    again.replace(again.find("\"version\":1"), 11, "\"version\":3");
    store.put("op/config", again);
    run(500);
    BOOST_TEST(scores.size() == 1U);
}

// Guards against work for a batch that has ended.
BOOST_FIXTURE_TEST_CASE(no_call_is_sent_for_a_dropped_batch_and_running_calls_are_cancelled, RewardFixture)
{
    answer([](const ExchangePtr &) {});
    finishTexts(4, 2);
    run(100);
    const auto before = callCount();
    calls->drop("b");
    run(800);
    BOOST_TEST(callCount() == before);
    BOOST_TEST(calls->size() == 0U);
    BOOST_TEST(scores.empty());
}

/// An endpoint whose responses have no length beside one that answers as usual.
struct UnframedRewardFixture : RewardFixture {
    RawEndpoint raw{io, "i-3", 1000};

    UnframedRewardFixture()
    {
        store.erase("servers/i-1");
        store.erase("servers/i-2");
        const auto address = "127.0.0.1:" + std::to_string(raw.port());
        store.put("servers/i-3",
                  nlohmann::json{{"service", "s"}, {"address", address}, {"zone", "z"}, {"slots", 6}, {"state", "ready"}, {"born", 1000}}.dump());
        time.advance(Milliseconds(50));
    }

    void addFirst()
    {
        const auto address = "127.0.0.1:" + std::to_string(first.server.port());
        store.put("servers/i-1", nlohmann::json{{"service", "s"}, {"address", address}, {"zone", "z"}, {"slots", 6}, {"state", "ready"}}.dump());
    }
};

// Guards against a score of an endpoint that is killed within its response: the response has no length, so nothing shows that it was cut.
BOOST_FIXTURE_TEST_CASE(a_reward_call_is_repeated_if_its_endpoint_was_killed_within_a_response_without_a_length, UnframedRewardFixture)
{
    raw.onRequest = [this](const RawEndpoint::ConnectionPtr &connection) {
        connection->write(RawEndpoint::head("r0") + "{");
        addFirst();
        raw.kill();
    };
    finishTexts(1, 1);
    run(500);
    BOOST_REQUIRE(scores.size() == 1U);
    BOOST_TEST(scores.front().second == "scored-r0");
    BOOST_TEST(raw.requests.size() == 1U);
}

// Guards against a score from an invalid response: its head holds a line that is no field, or its status is none.
BOOST_FIXTURE_TEST_CASE(a_reward_call_is_repeated_after_an_invalid_response, UnframedRewardFixture)
{
    raw.onRequest = [this](const RawEndpoint::ConnectionPtr &connection) {
        const bool isFirst = raw.requests.size() == 1;
        if (!isFirst) {
            addFirst();
        }
        connection->write(std::string(isFirst ? "HTTP/1.1 200 OK\r\nX Odd: 1" : "HTTP/1.1 000 \r\n\r\nHTTP/1.1 200 OK")
                          + "\r\nBasilbend-Attempt-Id: r0\r\nBasilbend-Server-Signature: odd\r\nContent-Length: 0\r\n\r\n");
    };
    finishTexts(1, 1);
    run(2000);
    BOOST_REQUIRE(scores.size() == 1U);
    BOOST_TEST(scores.front().second == "scored-r0");
    BOOST_TEST(raw.requests.size() == 2U);
}

// Guards against a score that is lost because its response has no length.
BOOST_FIXTURE_TEST_CASE(a_reward_response_without_a_length_counts_if_its_endpoint_still_runs, UnframedRewardFixture)
{
    raw.onRequest = [](const RawEndpoint::ConnectionPtr &connection) {
        connection->write(RawEndpoint::head("r0") + "{}");
        connection->close();
    };
    finishTexts(1, 1);
    run(500);
    BOOST_REQUIRE(scores.size() == 1U);
    BOOST_TEST(scores.front().second == "s");
    BOOST_TEST(raw.requests.size() == 1U);
}

// Guards against a text that is given up an answer early: the late copy of a 500 counts as the answer to the next call, which succeeds.
BOOST_FIXTURE_TEST_CASE(a_late_copy_of_a_500_does_not_count_as_another_answer, UnframedRewardFixture)
{
    const std::string failure = "HTTP/1.1 500 Internal Server Error\r\nBasilbend-Attempt-Id: r0\r\nBasilbend-Server-Signature: s\r\nContent-Length: 0\r\n\r\n";
    raw.onRequest = [this, failure](const RawEndpoint::ConnectionPtr &connection) {
        if (raw.requests.size() == 1) {
            connection->write(failure);
            return;
        }
        connection->write((connection->requests > 1 ? failure : std::string())
                          + "HTTP/1.1 200 OK\r\nBasilbend-Attempt-Id: r0\r\nBasilbend-Server-Signature: scored\r\nContent-Length: 0\r\n\r\n");
    };
    finishTexts(1, 1);
    run(500);
    BOOST_TEST(serverErrors == 1);
    BOOST_REQUIRE(scores.size() == 1U);
    BOOST_TEST(scores.front().second == "scored");
}

// Guards against a reward call that reads a body without end until its time limit.
BOOST_FIXTURE_TEST_CASE(an_endless_body_ends_a_reward_call_before_its_time_limit, UnframedRewardFixture)
{
    raw.onRequest = [this](const RawEndpoint::ConnectionPtr &connection) {
        addFirst();
        connection->write("HTTP/1.1 200 OK\r\nBasilbend-Attempt-Id: r0\r\nBasilbend-Server-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n");
        connection->repeat("3e80\r\n" + std::string(16'000, 'x') + "\r\n");
    };
    finishTexts(1, 1);
    run(250);
    BOOST_REQUIRE(scores.size() == 1U);
    BOOST_TEST(scores.front().second == "scored-r0");
}

BOOST_AUTO_TEST_SUITE_END()
