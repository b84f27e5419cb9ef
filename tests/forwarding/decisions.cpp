#include "forwarding/admission.h"
#include "forwarding/attemptrule.h"
#include "forwarding/endpointpicker.h"

#include <boost/test/unit_test.hpp>

using namespace Basilbend;

namespace
{

EndpointRecord endpoint(const std::string &id, const std::string &zone, int slots = 6)
{
    EndpointRecord record;
    record.id = id;
    record.zone = zone;
    record.slots = slots;
    return record;
}

struct PickerFixture {
    EndpointRecord a = endpoint("a", "z1");
    EndpointRecord b = endpoint("b", "z2");
    EndpointRecord c = endpoint("c", "z2");
    EndpointPicker picker{"z1"};
    Timestamp now{1000};

    std::string pick(const std::set<std::string> &excluded = {}) const
    {
        const auto *picked = picker.pick({&a, &b, &c}, excluded, now);
        return picked == nullptr ? "none" : picked->id;
    }
};

}

BOOST_AUTO_TEST_SUITE(forwarding, *boost::unit_test::label("forwarding"))

BOOST_FIXTURE_TEST_CASE(the_local_zone_is_preferred_until_its_endpoint_is_busier, PickerFixture)
{
    BOOST_TEST(pick() == "a");
    for (int i = 0; i < 2; ++i) {
        picker.recordSent("a");
    }
    BOOST_TEST(pick() == "b");
}

// Guards against a slow endpoint that keeps receiving its share of the traffic.
BOOST_FIXTURE_TEST_CASE(a_slow_endpoint_is_avoided_until_its_latency_expires, PickerFixture)
{
    picker.recordLatency("a", Milliseconds(120), now);
    BOOST_TEST(pick() == "b");
    now = now + Milliseconds(6000);
    BOOST_TEST(pick() == "a");
}

BOOST_FIXTURE_TEST_CASE(a_failed_endpoint_is_suspended_for_longer_after_each_failure, PickerFixture)
{
    picker.recordFailure("a", now);
    BOOST_TEST(pick() == "b");
    now = now + EndpointPicker::FirstSuspension;
    BOOST_TEST(pick() == "a");
    picker.recordFailure("a", now);
    now = now + EndpointPicker::FirstSuspension;
    BOOST_TEST(pick() == "b");
    picker.recordLatency("a", Milliseconds(10), now);
    BOOST_TEST(pick() == "a");
}

// Guards against rejecting every request when all endpoints are suspended.
BOOST_FIXTURE_TEST_CASE(the_endpoint_whose_suspension_ends_first_is_selected_when_all_are_suspended, PickerFixture)
{
    picker.recordFailure("a", now);
    picker.recordFailure("b", now);
    picker.recordFailure("b", now);
    picker.recordFailure("c", now);
    picker.recordFailure("c", now);
    BOOST_TEST(pick() == "a");
    BOOST_TEST(pick({"a", "b", "c"}) == "none");
}

BOOST_FIXTURE_TEST_CASE(a_full_endpoint_is_not_selected_until_its_backoff_ends, PickerFixture)
{
    for (const auto *id : {"a", "b", "c"}) {
        picker.recordFull(id, now);
    }
    BOOST_TEST(pick() == "none");
    now = now + EndpointPicker::FullBackoff;
    BOOST_TEST(pick() == "a");
}

// Guards against requests with a short time limit that suspend a healthy endpoint for all other requests.
BOOST_FIXTURE_TEST_CASE(only_consecutive_timeouts_suspend_an_endpoint, PickerFixture)
{
    picker.recordTimeout("a", now);
    picker.recordTimeout("a", now);
    BOOST_TEST(pick() == "a");
    picker.recordLatency("a", Milliseconds(5), now);
    picker.recordTimeout("a", now);
    BOOST_TEST(pick() == "a");
    picker.recordTimeout("a", now);
    picker.recordTimeout("a", now);
    BOOST_TEST(pick() == "b");
}

// Simulates the worst load: a burst of 60 requests to three endpoints with six slots each, one of them four times slower. No
// endpoint receives more than its share, and the slow one receives the fewest requests.
BOOST_FIXTURE_TEST_CASE(a_burst_is_distributed_by_expected_time, PickerFixture)
{
    picker.recordLatency("a", Milliseconds(25), now);
    picker.recordLatency("b", Milliseconds(25), now);
    picker.recordLatency("c", Milliseconds(100), now);
    for (int i = 0; i < 60; ++i) {
        picker.recordSent(pick());
    }
    BOOST_TEST(picker.inFlight("c") < 15);
    BOOST_TEST(picker.inFlight("a") <= 32);
    BOOST_TEST(picker.inFlight("a") >= picker.inFlight("b"));
}

BOOST_AUTO_TEST_CASE(the_outcome_of_an_attempt_tells_whether_the_request_ran)
{
    BOOST_TEST((classifyResponse(CallOutcome::Complete, 200, false, true) == ForwardOutcome::FinalResponse));
    BOOST_TEST((classifyResponse(CallOutcome::Complete, 404, false, true) == ForwardOutcome::FinalResponse));
    BOOST_TEST((classifyResponse(CallOutcome::Complete, 500, false, true) == ForwardOutcome::ServerError));
    BOOST_TEST((classifyResponse(CallOutcome::Complete, 503, true, false) == ForwardOutcome::NotRun));
    BOOST_TEST((classifyResponse(CallOutcome::NotConnected, 0, false, false) == ForwardOutcome::NotRun));
    // A success without the endpoint's signature was not sent by the endpoint; a truncated response proves nothing.
    BOOST_TEST((classifyResponse(CallOutcome::Complete, 200, false, false) == ForwardOutcome::MayHaveRun));
    BOOST_TEST((classifyResponse(CallOutcome::Broken, 200, false, true) == ForwardOutcome::MayHaveRun));
    BOOST_TEST((classifyResponse(CallOutcome::ClosedUnanswered, 0, false, false) == ForwardOutcome::MayHaveRun));
}

// Guards against a status that tells the client "not run" for a request that may have run: the endpoint did not say so.
BOOST_AUTO_TEST_CASE(a_refusal_that_does_not_say_that_the_request_did_not_run_is_not_passed_on)
{
    for (const int status : {408, 421, 429, 503}) {
        BOOST_TEST((classifyResponse(CallOutcome::Complete, status, false, true) == ForwardOutcome::MayHaveRun), status);
        BOOST_TEST((classifyResponse(CallOutcome::Complete, status, true, true) == ForwardOutcome::NotRun), status);
    }
}

// Guards against running a non-repeatable request twice, and against reporting "not run" for a request that ran.
BOOST_AUTO_TEST_CASE(a_non_repeatable_request_is_retried_only_if_it_has_not_run)
{
    RetryState state;
    state.isRepeatable = false;
    state.maxAttempts = 3;
    state.executedAttempts = 0;
    BOOST_TEST((decideRetry(ForwardOutcome::NotRun, state) == RetryDecision::Retry));
    state.hasTimeLeft = false;
    BOOST_TEST((decideRetry(ForwardOutcome::NotRun, state) == RetryDecision::RejectNotRun));
    state.hasTimeLeft = true;
    state.executedAttempts = 1;
    BOOST_TEST((decideRetry(ForwardOutcome::MayHaveRun, state) == RetryDecision::FailExecutionUnknown));
    BOOST_TEST((decideRetry(ForwardOutcome::ServerError, state) == RetryDecision::ForwardResponse));
}

BOOST_AUTO_TEST_CASE(a_repeatable_request_runs_at_most_as_often_as_its_route_allows)
{
    RetryState state;
    state.isRepeatable = true;
    state.maxAttempts = 2;
    state.executedAttempts = 1;
    BOOST_TEST((decideRetry(ForwardOutcome::MayHaveRun, state) == RetryDecision::Retry));
    state.attemptsInProgress = 1;
    BOOST_TEST((decideRetry(ForwardOutcome::MayHaveRun, state) == RetryDecision::AwaitOtherAttempt));
    state.attemptsInProgress = 0;
    state.executedAttempts = 2;
    BOOST_TEST((decideRetry(ForwardOutcome::MayHaveRun, state) == RetryDecision::FailExecutionUnknown));
    BOOST_TEST((decideRetry(ForwardOutcome::ServerError, state) == RetryDecision::ForwardResponse));
    BOOST_TEST((decideRetry(ForwardOutcome::NotRun, state) == RetryDecision::FailExecutionUnknown));
}

// Guards against a withdrawn key that stays valid in a process that is disconnected from the metadata store.
BOOST_AUTO_TEST_CASE(a_stale_configuration_accepts_no_key)
{
    ServiceConfiguration configuration;
    configuration.workspaces = {{"w", {"k"}}};
    const RouteTable routes(std::move(configuration));
    const FreshnessRule rule;
    BOOST_TEST(rule.isFresh(Timestamp(1000), Timestamp(5800)));
    BOOST_TEST(!rule.isFresh(Timestamp(1000), Timestamp(6000)));
    BOOST_TEST(!rule.isFresh(std::nullopt, Timestamp(6000)));
    BOOST_TEST(authenticateRequest(routes, "k", ConfigurationTrust::Current).value() == "w");
    BOOST_TEST((authenticateRequest(routes, "k", ConfigurationTrust::Stale).error().code == ResultCode::ConfigurationNotFresh));
    BOOST_TEST((authenticateRequest(routes, "x", ConfigurationTrust::Stale).error().code == ResultCode::ConfigurationNotFresh));
    BOOST_TEST((authenticateRequest(routes, "x", ConfigurationTrust::Current).error().code == ResultCode::KeyUnknown));
    BOOST_TEST((authenticateRequest(routes, "", ConfigurationTrust::Current).error().code == ResultCode::KeyMissing));
    BOOST_TEST(authenticateRequest(RouteTable(), "", ConfigurationTrust::Stale).value().empty());
}

// Guards against a final refusal by a process that is behind: a route or key that was added stays unknown there, and clients do not
// come back after 401 and 404.
BOOST_AUTO_TEST_CASE(a_configuration_older_than_its_bound_denies_nothing_for_good)
{
    ServiceConfiguration configuration;
    configuration.workspaces = {{"w", {"k"}}};
    const RouteTable routes(std::move(configuration));
    const FreshnessRule rule;
    BOOST_TEST((rule.trustIn(Timestamp(1000), Timestamp(3000)) == ConfigurationTrust::Current));
    BOOST_TEST((rule.trustIn(Timestamp(1000), Timestamp(3001)) == ConfigurationTrust::MayLackAdditions));
    BOOST_TEST((rule.trustIn(Timestamp(1000), Timestamp(5851)) == ConfigurationTrust::Stale));
    BOOST_TEST((rule.trustIn(std::nullopt, Timestamp(3000)) == ConfigurationTrust::Stale));
    BOOST_TEST(authenticateRequest(routes, "k", ConfigurationTrust::MayLackAdditions).value() == "w");
    BOOST_TEST((authenticateRequest(routes, "x", ConfigurationTrust::MayLackAdditions).error().code == ResultCode::ConfigurationNotFresh));
    BOOST_TEST((authenticateRequest(routes, "", ConfigurationTrust::MayLackAdditions).error().code == ResultCode::ConfigurationNotFresh));
}

BOOST_AUTO_TEST_SUITE_END()
