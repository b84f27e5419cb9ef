#include "entry/requestrun.h"

#include <boost/test/unit_test.hpp>

using namespace Basilbend;

namespace
{

/// A run without a network: the test plays the sidecars.
struct RunFixture : RunPort, RunSink {
    std::vector<ChosenEndpoint> endpoints{{"tagliatore-1", "a", 1, 7}, {"tagliatore-2", "b", 1, 7}};
    std::vector<AttemptRequest> sent;
    std::vector<std::uint64_t> offsets;
    std::vector<AttemptId> cancelled;
    std::vector<std::string> texts;
    std::optional<RunResult> result;
    std::optional<Error> error;
    std::uint64_t generation = 0;
    std::uint64_t sequence = 0;
    bool streaming = true;
    bool retryLeft = true;
    int open = 0;
    Timestamp now{1000};
    std::unique_ptr<RequestRun> run;

    void start(bool idempotent = true)
    {
        RunRequest request;
        request.deadline = now + Milliseconds(60000);
        request.idempotent = idempotent;
        request.engine.model = "policy-lm";
        run = std::make_unique<RequestRun>(request, *this, *this);
        run->start(now);
    }
    void line(AttemptLine::Kind kind, std::uint64_t number, const std::string &text = {}, Error refusal = {})
    {
        AttemptLine line;
        line.kind = kind;
        line.attempt = sent.back().id.toString();
        line.number = number;
        line.incarnation = 1;
        line.text = text;
        line.tokens = text.empty() ? 0 : 1;
        line.version = 7;
        line.versions = {{7, 0}};
        line.error = std::move(refusal);
        run->received(generation, 200, line.toText() + "\n", now);
    }
    void cut()
    {
        HttpClientResponse response;
        response.failure = TransportFailure::ConnectionLost;
        response.status = 200;
        run->exchangeEnded(generation, response, now);
    }

    Result<ChosenEndpoint> choose(const RunRequest &, const std::set<std::string> &exclude) override
    {
        for (const auto &endpoint : endpoints) {
            if (exclude.count(endpoint.node) == 0) {
                return endpoint;
            }
        }
        return Error{ResultCode::NoEndpoint, "none"};
    }
    AttemptId newAttempt() override
    {
        return {"entry", 1, ++sequence};
    }
    void sendAttempt(std::uint64_t number, const ChosenEndpoint &, const AttemptRequest &request) override
    {
        generation = number;
        sent.push_back(request);
    }
    void reattach(std::uint64_t number, const ChosenEndpoint &, const AttemptId &, std::uint64_t fromLine) override
    {
        generation = number;
        offsets.push_back(fromLine);
    }
    void dropExchange() override
    {
    }
    void cancelAttempt(const ChosenEndpoint &, const AttemptId &attempt) override
    {
        cancelled.push_back(attempt);
    }
    void wakeUpAfter(std::uint64_t number, Milliseconds) override
    {
        generation = number;
    }
    bool takeRetry(const std::string &) override
    {
        return retryLeft;
    }
    void attemptStarted(const ChosenEndpoint &) override
    {
        ++open;
    }
    void attemptEnded(const ChosenEndpoint &) override
    {
        --open;
    }
    void endpointUnreachable(const ChosenEndpoint &) override
    {
    }
    void observeSpeed(const ChosenEndpoint &, double) override
    {
    }
    Milliseconds joinDeltas() const override
    {
        return Milliseconds(0);
    }
    void count(const char *) override
    {
    }
    bool isStreaming() const override
    {
        return streaming;
    }
    void text(std::string_view part, std::uint64_t) override
    {
        texts.emplace_back(part);
    }
    void finished(const RunResult &whole) override
    {
        result = whole;
    }
    void failed(const Error &failure) override
    {
        error = failure;
    }
};

}

BOOST_AUTO_TEST_SUITE(entry, *boost::unit_test::label("entry"))

// Guards against text that is held back until more arrives.
BOOST_FIXTURE_TEST_CASE(text_leaves_with_the_bytes_that_brought_it, RunFixture)
{
    start();
    line(AttemptLine::Kind::Accepted, 0);
    line(AttemptLine::Kind::Delta, 1, "one ");
    BOOST_TEST(texts == std::vector<std::string>{"one "}, boost::test_tools::per_element());
    line(AttemptLine::Kind::Finished, 2);
    BOOST_TEST_REQUIRE(result.has_value());
    BOOST_TEST(result->body.text == "one ");
    BOOST_TEST(open == 0);
}

BOOST_FIXTURE_TEST_CASE(late_events_of_an_earlier_exchange_are_ignored, RunFixture)
{
    start();
    line(AttemptLine::Kind::Delta, 0, "one ");
    const auto old = generation;
    cut();
    run->wokenUp(generation, now);
    BOOST_TEST(offsets == std::vector<std::uint64_t>{1}, boost::test_tools::per_element());
    run->received(old, 200, "stray\n", now);
    run->exchangeEnded(old, {}, now);
    line(AttemptLine::Kind::Finished, 1);
    BOOST_TEST(result.has_value());
}

// Guards against "not run" for a request that an earlier attempt had run.
BOOST_FIXTURE_TEST_CASE(the_furthest_attempt_tells_whether_the_request_ran, RunFixture)
{
    start();
    line(AttemptLine::Kind::Delta, 0, "one ");
    endpoints.clear();
    line(AttemptLine::Kind::Refused, 1, {}, Error{ResultCode::EndpointFailed, "crashed", Execution::Ran});
    now = now + Milliseconds(6000);
    run->wokenUp(generation, now);
    now = now + Milliseconds(6000);
    run->wokenUp(generation, now);
    BOOST_TEST_REQUIRE(error.has_value());
    BOOST_TEST((error->code == ResultCode::EndpointFailed));
    BOOST_TEST((error->execution == Execution::Ran));
}

// Guards against a second run of work that must not run twice.
BOOST_FIXTURE_TEST_CASE(work_that_must_not_run_twice_is_repeated_only_when_it_did_not_run, RunFixture)
{
    start(false);
    line(AttemptLine::Kind::Refused, 0, {}, Error{ResultCode::Overloaded, "full", Execution::NotRun});
    BOOST_TEST(sent.size() == 2U);
    line(AttemptLine::Kind::Refused, 0, {}, Error{ResultCode::EndpointFailed, "cut", Execution::Unknown});
    BOOST_TEST(sent.size() == 2U);
    BOOST_TEST((error->execution == Execution::Unknown));
}

// Guards against retry storms.
BOOST_FIXTURE_TEST_CASE(without_a_retry_left_the_failure_is_reported, RunFixture)
{
    retryLeft = false;
    start();
    line(AttemptLine::Kind::Refused, 0, {}, Error{ResultCode::EndpointFailed, "crashed", Execution::NotRun});
    BOOST_TEST((error->code == ResultCode::RetryBudgetExhausted));
    BOOST_TEST(sent.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_passed_deadline_cancels_the_attempt, RunFixture)
{
    start();
    line(AttemptLine::Kind::Delta, 0, "one ");
    run->tick(now + Milliseconds(60500));
    BOOST_TEST(!error.has_value());
    run->tick(now + Milliseconds(61000));
    BOOST_TEST((error->code == ResultCode::DeadlineExceeded));
    BOOST_TEST(cancelled.size() == 1U);
    BOOST_TEST(open == 0);
}

BOOST_AUTO_TEST_SUITE_END()
