#include "forwarding/attemptchoice.h"

#include <boost/test/unit_test.hpp>

using namespace Basilbend;

namespace
{

using Step = AttemptChoice::Step;

constexpr Timestamp Start{1000};

/// Three endpoints of a service, of which some name a limit.
struct ChoiceFixture {
    EndpointRecord a = record("a");
    EndpointRecord b = record("b");
    EndpointRecord c = record("c");
    EndpointPicker picker{"z0"};
    AnnouncedLimits limits;
    std::set<std::string> excluded;

    static EndpointRecord record(const std::string &id)
    {
        EndpointRecord result;
        result.id = id;
        result.zone = "z0";
        result.slots = 4;
        return result;
    }

    void limit(const EndpointRecord &endpoint)
    {
        limits.record({endpoint.id, endpoint.startedAtMs}, {RateStatement::Kind::Limited, 1}, Start - Milliseconds(10), Start);
    }

    AttemptChoice choose(Timestamp now = Start, bool isGrantDenied = false)
    {
        return chooseAttempt(splitByLimit({&a, &b, &c}, limits), {excluded, isGrantDenied}, picker, limits, now);
    }
};

}

BOOST_AUTO_TEST_SUITE(forwarding, *boost::unit_test::label("forwarding"))

BOOST_FIXTURE_TEST_CASE(an_endpoint_without_limit_is_preferred_to_a_grant, ChoiceFixture)
{
    limit(a);
    limit(b);
    const auto choice = choose();
    BOOST_TEST((choice.step == Step::Send));
    BOOST_TEST(choice.endpoint == &c);
}

BOOST_FIXTURE_TEST_CASE(limited_endpoints_that_were_not_tried_are_asked_for_when_no_other_is_left, ChoiceFixture)
{
    limit(a);
    limit(b);
    limit(c);
    excluded = {"b"};
    const auto choice = choose();
    BOOST_TEST((choice.step == Step::AskForGrant));
    BOOST_TEST(choice.grantCandidates.size() == 2U);
    BOOST_TEST((choose(Start, true).step == Step::RejectLimited));
}

BOOST_FIXTURE_TEST_CASE(a_request_waits_when_all_endpoints_were_tried, ChoiceFixture)
{
    limit(a);
    excluded = {"a", "b", "c"};
    BOOST_TEST((choose().step == Step::WaitForCapacity));
    BOOST_TEST((chooseAttempt({}, {excluded, false}, picker, limits, Start).step == Step::NoEndpoint));
}

// Guards against an endpoint that is never used again because others without limit take all requests.
BOOST_FIXTURE_TEST_CASE(a_limited_endpoint_is_asked_for_now_and_then_although_others_have_no_limit, ChoiceFixture)
{
    limit(a);
    const auto later = Start + AnnouncedLimits::RecheckInterval;
    // After a denial the request goes to another endpoint.
    BOOST_TEST((choose(later, true).step == Step::Send));
    const auto choice = choose(later);
    BOOST_TEST((choice.step == Step::AskForGrant));
    BOOST_REQUIRE(choice.grantCandidates.size() == 1U);
    BOOST_TEST(choice.grantCandidates.front() == &a);
    BOOST_TEST((choose(later).step == Step::Send));
}

BOOST_AUTO_TEST_SUITE_END()
