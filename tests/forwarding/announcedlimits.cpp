#include "forwarding/announcedlimits.h"

#include "forwarding/requestlimiter.h"
#include "platform/endpointcalls.h"

#include <boost/test/unit_test.hpp>
#include <deque>

using namespace Basilbend;

namespace
{

const EndpointStart Start{"e", 5};

EndpointRecord record(std::int64_t startedAtMs = 5)
{
    EndpointRecord result;
    result.id = "e";
    result.startedAtMs = startedAtMs;
    return result;
}

RateStatement limited(double requestsPerSecond)
{
    return {RateStatement::Kind::Limited, requestsPerSecond};
}

RateStatement statementOf(const HttpFields &fields)
{
    ResponseHead head{200, fields};
    head.fields.add("Basilbend-Server-Signature", "s");
    return decodeResponseFields(head).rate.value();
}

}

BOOST_AUTO_TEST_SUITE(forwarding, *boost::unit_test::label("forwarding"))

BOOST_AUTO_TEST_CASE(a_limit_ends_when_later_requests_are_answered_without_one_for_a_while)
{
    const auto delay = AnnouncedLimits::EndDelay;
    AnnouncedLimits limits;
    limits.record(Start, limited(2), Timestamp(900), Timestamp(1000));
    BOOST_TEST(limits.limitOf(record())->requestsPerSecond == 2);
    // The endpoint may have made this response before its limit began.
    limits.record(Start, {}, Timestamp(950), Timestamp(1100));
    limits.record(Start, {}, Timestamp(1050), Timestamp(1200));
    limits.record(Start, {}, Timestamp(1049) + delay, Timestamp(1200) + delay);
    BOOST_TEST(limits.limitOf(record()).has_value());
    limits.record(Start, {}, Timestamp(1050) + delay, Timestamp(1200) + delay);
    BOOST_TEST(!limits.limitOf(record()).has_value());
}

// Guards against bursts to an endpoint that names its limit in some responses only.
BOOST_AUTO_TEST_CASE(a_limit_that_is_named_now_and_then_holds)
{
    AnnouncedLimits limits;
    for (int ms = 1000; ms < 20'000; ms += 400) {
        const bool isNamed = ms % 1600 == 1000;
        limits.record(Start, isNamed ? limited(2) : RateStatement(), Timestamp(ms - 50), Timestamp(ms));
        BOOST_REQUIRE(limits.limitOf(record()).has_value());
    }
}

BOOST_AUTO_TEST_CASE(the_newest_limit_holds_and_ends_with_a_restart_of_the_endpoint)
{
    AnnouncedLimits limits;
    limits.record(Start, limited(2), Timestamp(900), Timestamp(1000));
    limits.record(Start, limited(7.5), Timestamp(1000), Timestamp(1100));
    BOOST_TEST(limits.limitOf(record())->requestsPerSecond == 7.5);
    BOOST_TEST(!limits.limitOf(record(6)).has_value());
}

// Guards against a limit that comes back from a gateway which has not sent a request there for a while.
BOOST_AUTO_TEST_CASE(a_limit_that_is_over_is_not_adopted_again_from_an_older_response)
{
    AnnouncedLimits limits;
    limits.adopt("e", {2, Timestamp(1000), 5});
    BOOST_TEST(limits.limitOf(record()).has_value());
    limits.end("e", Timestamp(1500));
    limits.adopt("e", {2, Timestamp(1400), 5});
    BOOST_TEST(!limits.limitOf(record()).has_value());
    limits.adopt("e", {3, Timestamp(1600), 5});
    BOOST_TEST(limits.limitOf(record())->requestsPerSecond == 3);
}

BOOST_AUTO_TEST_CASE(a_limit_is_checked_again_at_intervals)
{
    AnnouncedLimits limits;
    limits.record(Start, limited(2), Timestamp(900), Timestamp(1000));
    BOOST_TEST(!limits.takeRecheck(record(), Timestamp(3900)));
    BOOST_TEST(limits.takeRecheck(record(), Timestamp(4000)));
    BOOST_TEST(!limits.takeRecheck(record(), Timestamp(4100)));
    BOOST_TEST(limits.takeRecheck(record(), Timestamp(7000)));
}

BOOST_AUTO_TEST_CASE(limits_in_responses_are_read_strictly)
{
    BOOST_TEST((statementOf({}) == RateStatement()));
    BOOST_TEST((statementOf({{"Server-Limit", "1.5"}}) == limited(1.5)));
    BOOST_TEST((statementOf({{"server-limit", " 0 "}}) == limited(0)));
    BOOST_TEST((statementOf({{"Server-Limit", "4"}, {"Server-Limit", "3"}}) == limited(3)));
    BOOST_TEST((statementOf({{"Server-Limit", "4, x"}}) == limited(4)));
    for (const char *text : {"", "-1", "nan", "inf", "x", "1e3", "1x", "--2"}) {
        BOOST_TEST((statementOf({{"Server-Limit", text}}).kind == RateStatement::Kind::Unreadable), text);
    }
    BOOST_TEST((statementOf({{"Server-Limit", std::string(400, '9')}}).kind == RateStatement::Kind::Unreadable));
}

BOOST_AUTO_TEST_CASE(an_unreadable_limit_changes_nothing)
{
    AnnouncedLimits limits;
    limits.record(Start, {RateStatement::Kind::Unreadable, 0}, Timestamp(900), Timestamp(1000));
    BOOST_TEST(!limits.limitOf(record()).has_value());
    limits.record(Start, limited(2), Timestamp(1000), Timestamp(1100));
    limits.record(Start, {RateStatement::Kind::Unreadable, 0}, Timestamp(1200), Timestamp(1300));
    BOOST_TEST(limits.limitOf(record())->requestsPerSecond == 2);
}

// Another process at an address that is used again says nothing about the endpoint that was meant.
BOOST_AUTO_TEST_CASE(a_response_of_another_endpoint_or_without_signature_says_nothing_about_a_limit)
{
    BOOST_TEST(!decodeResponseFields({421, {{"Server-Limit", "1"}}}).rate.has_value());
    BOOST_TEST(!decodeResponseFields({502, {}}).rate.has_value());
    BOOST_TEST(decodeResponseFields({503, {{"Basilbend-Not-Executed", "1"}, {"Server-Limit", "1"}}}).rate.has_value());
}

// Guards against a limit that is forgotten because a gateway reports late what it saw before another saw the limit again.
BOOST_AUTO_TEST_CASE(a_report_of_no_limit_counts_only_from_the_last_time_that_any_process_saw_one)
{
    const auto delay = AnnouncedLimits::EndDelay;
    AnnouncedLimits limits;
    limits.adopt("e", {2, Timestamp(1000), 5});
    limits.recordUnnamed("e", Timestamp(1500));
    limits.adopt("e", {2, Timestamp(1600), 5});
    limits.recordUnnamed("e", Timestamp(1500) + delay);
    BOOST_TEST(limits.limitOf(record()).has_value());
    // An older claim does not take this report back.
    limits.adopt("e", {2, Timestamp(1700), 5});
    limits.recordUnnamed("e", Timestamp(1500) + delay + delay);
    BOOST_TEST(!limits.limitOf(record()).has_value());
}

// Simulates a leader that always has a request for an endpoint. Guards against more requests in any 4 s than one and a half times the
// limit and five.
BOOST_AUTO_TEST_CASE(a_limited_endpoint_never_gets_more_than_the_bound_of_its_limit)
{
    for (const double limit : {0.0, 0.05, 1.0, 1.7, 8.0, 60.0}) {
        RequestLimiter limiter;
        limiter.announcedLimits().record(Start, limited(limit), Timestamp(900), Timestamp(1000));
        std::deque<Timestamp> sent;
        std::size_t total = 0;
        for (int ms = 1000; ms < 31'000; ms += 5) {
            const Timestamp now(ms);
            while (limiter.announcedRequestsLeft(record(), now) > 0) {
                limiter.recordRequest(record(), now);
                sent.push_back(now);
                ++total;
            }
            while (!sent.empty() && now - sent.front() >= Milliseconds(4000)) {
                sent.pop_front();
            }
            BOOST_REQUIRE(static_cast<double>(sent.size()) <= 1.5 * 4 * limit + 5);
        }
        // The limit is used, too.
        BOOST_TEST(static_cast<double>(total) >= 30 * std::max(limit, RequestLimiter::MinRate) - 1);
    }
}

// Guards against all requests at once to an endpoint that recovers, and against a long wait for one that has recovered.
BOOST_AUTO_TEST_CASE(the_rate_grows_after_a_response_without_limit_until_the_limit_ends)
{
    RequestLimiter limiter;
    limiter.announcedLimits().record(Start, limited(1), Timestamp(900), Timestamp(1000));
    const auto requestsUntil = [&limiter](int from, int to) {
        std::size_t n = 0;
        for (int ms = from; ms < to; ms += 5) {
            const Timestamp now(ms);
            for (; limiter.announcedRequestsLeft(record(), now) > 0; ++n) {
                limiter.recordRequest(record(), now);
            }
        }
        return n;
    };
    requestsUntil(1000, 9000);
    limiter.announcedLimits().recordUnnamed("e", Timestamp(9000));
    // The integral of 4^t over one second, and over the next one.
    BOOST_TEST(requestsUntil(9000, 10'000) <= 3U);
    const auto second = requestsUntil(10'000, 11'000);
    BOOST_TEST(second >= 7U);
    BOOST_TEST(second <= 10U);
    limiter.announcedLimits().recordUnnamed("e", Timestamp(11'000));
    BOOST_TEST(limiter.announcedRequestsLeft(record(), Timestamp(11'000)) == RequestLimiter::Unlimited);
}

BOOST_AUTO_TEST_CASE(the_next_request_is_allowed_at_the_time_that_is_named_for_it)
{
    RequestLimiter limiter;
    limiter.announcedLimits().record(Start, limited(2), Timestamp(900), Timestamp(1000));
    BOOST_TEST((limiter.nextAnnouncedRequestAt(record(), Timestamp(1000)) == Timestamp(1000)));
    while (limiter.announcedRequestsLeft(record(), Timestamp(1000)) > 0) {
        limiter.recordRequest(record(), Timestamp(1000));
    }
    const auto next = limiter.nextAnnouncedRequestAt(record(), Timestamp(1000));
    BOOST_TEST((next == Timestamp(1500)));
    BOOST_TEST(limiter.announcedRequestsLeft(record(), next - Milliseconds(1)) == 0U);
    BOOST_TEST(limiter.announcedRequestsLeft(record(), next) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
