#include "forwarding/warmuplimiter.h"

#include "base/random.h"
#include "forwarding/warmupchoice.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
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

EndpointRecord endpoint(const std::string &id, Milliseconds warmupRemaining)
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
    WarmupLimiter limiter(Tolerance, 2);
    for (int i = 0; i < 100; ++i) {
        limiter.recordRequest("a", Timestamp(1000));
    }
    BOOST_TEST(limiter.requestsLeft("a", serviceWith(0), Timestamp(1000)) == WarmupLimiter::Unlimited);
}

// Guards against a limit in fixed windows, which lets twice as many requests pass around the border of two windows.
BOOST_AUTO_TEST_CASE(the_window_of_the_limit_slides)
{
    const auto service = serviceWith(7.8);
    WarmupLimiter limiter(Tolerance, 2);
    BOOST_TEST(limiter.requestsLeft("a", service, Timestamp(1000)) == 8U);
    for (int i = 0; i < 8; ++i) {
        limiter.recordRequest("a", Timestamp(1900 + i));
    }
    BOOST_TEST(limiter.requestsLeft("a", service, Timestamp(2100)) == 0U);
    BOOST_TEST(limiter.requestsLeft("b", service, Timestamp(2100)) == 8U);
    const auto firstLeaves = Timestamp(1900) + WarmupLimiter::Window;
    BOOST_TEST(limiter.requestsLeft("a", service, firstLeaves - Milliseconds(1)) == 0U);
    BOOST_TEST(limiter.requestsLeft("a", service, firstLeaves) == 1U);
    limiter.recordRequest("a", firstLeaves);
    BOOST_TEST(limiter.requestsLeft("a", service, firstLeaves) == 0U);
}

BOOST_AUTO_TEST_CASE(every_sender_may_send_at_least_one_request)
{
    BOOST_TEST(WarmupLimiter(Tolerance, 1000).requestsLeft("a", serviceWith(7.8), Timestamp(1000)) == 1U);
    BOOST_TEST(WarmupLimiter({}, 1).requestsLeft("a", serviceWith(0.5), Timestamp(1000)) == 1U);
}

// Guards against an endpoint that gets more than it bears in any second, from a leader and its successor together, at any moment at
// which it becomes cold and with connections that take up to 300 ms. Plays random bursts of both, with freed slots and hand-overs.
BOOST_AUTO_TEST_CASE(no_endpoint_gets_more_than_its_bound_in_any_second_from_two_senders)
{
    constexpr double Rate = 7.8;
    const auto bound = Rate * Tolerance.rateFactor + Tolerance.extraRequests;
    const auto service = serviceWith(Rate);
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        Random random(seed);
        WarmupLimiter limiters[] = {WarmupLimiter(Tolerance, 2), WarmupLimiter(Tolerance, 2)};
        std::vector<Timestamp> sent;
        for (Timestamp now(1000); now < Timestamp(9000); now = now + Milliseconds(1 + random.below(60))) {
            auto &limiter = limiters[random.below(2)];
            for (auto burst = random.below(12); burst > 0 && limiter.requestsLeft("a", service, now) > 0; --burst) {
                limiter.recordRequest("a", now);
                sent.push_back(now + Milliseconds(random.below(301)));
            }
        }
        std::sort(sent.begin(), sent.end(), [](Timestamp a, Timestamp b) { return a < b; });
        std::deque<Timestamp> second;
        for (const auto at : sent) {
            second.push_back(at);
            while (at - second.front() >= Milliseconds(1000)) {
                second.pop_front();
            }
            BOOST_REQUIRE_MESSAGE(static_cast<double>(second.size()) <= bound, "seed " << seed << ": " << second.size() << " requests in one second");
        }
    }
}

// Guards against live requests of many gateways that together overload an endpoint that has just started.
BOOST_AUTO_TEST_CASE(warming_endpoints_get_live_requests_only_when_no_other_endpoint_is_left)
{
    const auto service = serviceWith(7.8);
    const auto warm = endpoint("warm", Milliseconds(0));
    const auto warming = endpoint("warming", Milliseconds(900));
    WarmupLimiter limiter(Tolerance, 16);
    const Timestamp now(1000);
    using Endpoints = std::vector<const EndpointRecord *>;
    BOOST_TEST((avoidWarmingEndpoints({&warming, &warm}, service, limiter, now) == Endpoints{&warm}));
    BOOST_TEST((avoidWarmingEndpoints({&warming}, service, limiter, now) == Endpoints{&warming}));
    limiter.recordRequest("warming", now);
    BOOST_TEST(avoidWarmingEndpoints({&warming}, service, limiter, now).empty());
    // A service that needs no warm-up uses all of its endpoints.
    BOOST_TEST(avoidWarmingEndpoints({&warming, &warm}, serviceWith(0), limiter, now).size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
