#include "forwarding/requestlimiter.h"

#include "forwarding/warmupchoice.h"

#include <boost/test/unit_test.hpp>
#include <vector>

using namespace Basilbend;

namespace
{

constexpr WarmupTolerance Tolerance{1.5, 5};

ServiceSpec serviceWith(double requestsPerSecond)
{
    ServiceSpec service;
    service.name = "s";
    service.warmupRequestsPerSecond = requestsPerSecond;
    return service;
}

EndpointRecord endpoint(const std::string &id, Milliseconds warmupRemaining = Milliseconds(0))
{
    EndpointRecord record;
    record.id = id;
    record.service = "s";
    record.warmupRemaining = warmupRemaining;
    return record;
}

}

BOOST_AUTO_TEST_SUITE(forwarding, *boost::unit_test::label("forwarding"))

BOOST_AUTO_TEST_CASE(a_service_without_a_warm_up_rate_is_not_limited)
{
    RequestLimiter limiter(Tolerance, 0.5);
    for (int i = 0; i < 100; ++i) {
        limiter.recordRequest(endpoint("a"), Timestamp(1000));
    }
    BOOST_TEST(limiter.requestsLeft(endpoint("a"), serviceWith(0), Timestamp(1000)) == RequestLimiter::Unlimited);
}

// Guards against a limit in fixed windows, which lets twice as many requests pass around the border of two windows.
BOOST_AUTO_TEST_CASE(the_window_of_the_limit_slides)
{
    const auto service = serviceWith(7.8);
    const auto a = endpoint("a");
    RequestLimiter limiter(Tolerance, 0.5);
    BOOST_TEST(limiter.requestsLeft(a, service, Timestamp(1000)) == 8U);
    for (int i = 0; i < 8; ++i) {
        limiter.recordRequest(a, Timestamp(1900 + i));
    }
    BOOST_TEST(limiter.requestsLeft(a, service, Timestamp(2100)) == 0U);
    BOOST_TEST(limiter.requestsLeft(endpoint("b"), service, Timestamp(2100)) == 8U);
    const auto firstLeaves = Timestamp(1900) + RequestLimiter::Window;
    BOOST_TEST(limiter.requestsLeft(a, service, firstLeaves - Milliseconds(1)) == 0U);
    BOOST_TEST(limiter.requestsLeft(a, service, firstLeaves) == 1U);
    limiter.recordRequest(a, firstLeaves);
    BOOST_TEST(limiter.requestsLeft(a, service, firstLeaves) == 0U);
}

// Guards against an endpoint that gets the most that is tolerated, and probably crashes, although its entry says that it warms up.
BOOST_AUTO_TEST_CASE(an_endpoint_that_is_known_to_warm_up_gets_no_more_than_its_rate)
{
    const auto service = serviceWith(7.8);
    const RequestLimiter limiter(Tolerance, 1);
    BOOST_TEST(limiter.requestsLeft(endpoint("a"), service, Timestamp(1000)) == 16U);
    BOOST_TEST(limiter.requestsLeft(endpoint("a", Milliseconds(2400)), service, Timestamp(1000)) == 7U);
}

BOOST_AUTO_TEST_CASE(a_sender_with_a_share_may_send_at_least_one_request_and_one_without_none)
{
    BOOST_TEST(RequestLimiter(Tolerance, 0.001).requestsLeft(endpoint("a"), serviceWith(7.8), Timestamp(1000)) == 1U);
    BOOST_TEST(RequestLimiter({}, 1).requestsLeft(endpoint("a", Milliseconds(100)), serviceWith(0.5), Timestamp(1000)) == 1U);
    BOOST_TEST(RequestLimiter(Tolerance, 0).requestsLeft(endpoint("a"), serviceWith(7.8), Timestamp(1000)) == 0U);
}

// Guards against live requests of many gateways that together overload an endpoint that has just started.
BOOST_AUTO_TEST_CASE(warming_endpoints_get_live_requests_only_when_no_other_endpoint_is_left)
{
    const auto service = serviceWith(7.8);
    const auto warm = endpoint("warm");
    const auto warming = endpoint("warming", Milliseconds(900));
    RequestLimiter limiter(Tolerance, 1.0 / 16);
    const Timestamp now(1000);
    using Endpoints = std::vector<const EndpointRecord *>;
    BOOST_TEST((avoidWarmingEndpoints({&warming, &warm}, service, limiter, now) == Endpoints{&warm}));
    BOOST_TEST((avoidWarmingEndpoints({&warming}, service, limiter, now) == Endpoints{&warming}));
    limiter.recordRequest(warming, now);
    BOOST_TEST(avoidWarmingEndpoints({&warming}, service, limiter, now).empty());
    // A service that needs no warm-up uses all of its endpoints.
    BOOST_TEST(avoidWarmingEndpoints({&warming, &warm}, serviceWith(0), limiter, now).size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
