#include "forwarding/crashhistory.h"

#include <boost/test/unit_test.hpp>

using namespace Basilbend;

namespace
{

using Kind = RequestStanding::Kind;

constexpr Timestamp Start{1'000'000};
const RequestFingerprint Deadly{"deadly"};

EndpointCrash crashOf(const RequestFingerprint &request, const std::string &endpoint, CrashedRun run, const std::string &workspace = "w")
{
    return {request, workspace, {endpoint, 1}, run};
}

RequestMessage message(const std::string &target, const std::string &body, const std::string &attempt)
{
    return {"POST", target, {{"Host", "a.example"}, {"Basilbend-Attempt-Id", attempt}}, body};
}

}

BOOST_AUTO_TEST_SUITE(forwarding, *boost::unit_test::label("forwarding"))

BOOST_AUTO_TEST_CASE(a_fingerprint_is_the_same_for_all_attempts_of_a_request_and_differs_between_requests)
{
    const auto fingerprint = fingerprintOf(message("/a?x=1", "body", "r-1"), "w");
    BOOST_TEST((fingerprint == fingerprintOf(message("/a?x=1", "body", "r-2"), "w")));
    BOOST_TEST((fingerprint != fingerprintOf(message("/a?x=2", "body", "r-1"), "w")));
    BOOST_TEST((fingerprint != fingerprintOf(message("/a?x=1", "other", "r-1"), "w")));
    BOOST_TEST((fingerprint != fingerprintOf(message("/a?x=1", "body", "r-1"), "v")));
    // The same bytes, divided differently between target and body.
    BOOST_TEST((fingerprint != fingerprintOf(message("/a?x=", "1body", "r-1"), "w")));
}

BOOST_AUTO_TEST_CASE(a_first_crash_makes_a_request_a_suspect_and_a_crash_of_its_trial_puts_it_under_quarantine)
{
    CrashHistory history;
    BOOST_TEST((history.standingOf(Deadly, Start).kind == Kind::Unsuspected));
    history.record(crashOf(Deadly, "a", CrashedRun::Regular), Start);
    BOOST_TEST((history.standingOf(Deadly, Start).kind == Kind::Suspected));
    history.record(crashOf(Deadly, "b", CrashedRun::IsolatedTrial), Start + Milliseconds(50));
    const auto standing = history.standingOf(Deadly, Start + Milliseconds(50));
    BOOST_TEST((standing.kind == Kind::Quarantined));
    BOOST_TEST((standing.quarantinedFor == CrashHistory::FirstQuarantine));
}

// Guards against a suspect that counts only its own crashes when it asks whether endpoints have crashed lately.
BOOST_AUTO_TEST_CASE(the_newest_crash_is_that_under_any_request)
{
    CrashHistory history;
    BOOST_TEST((history.sinceLastCrash(Start) == CrashHistory::Retention));
    history.record(crashOf(Deadly, "a", CrashedRun::Regular), Start);
    history.record(crashOf({"other"}, "b", CrashedRun::Regular), Start + Milliseconds(3000));
    BOOST_TEST((history.sinceLastCrash(Start + Milliseconds(4000)) == Milliseconds(1000)));
}

BOOST_AUTO_TEST_CASE(two_shared_trials_prove_as_much_as_an_isolated_one)
{
    CrashHistory history;
    history.record(crashOf(Deadly, "a", CrashedRun::SharedTrial), Start);
    BOOST_TEST((history.standingOf(Deadly, Start).kind == Kind::Suspected));
    history.record(crashOf(Deadly, "b", CrashedRun::SharedTrial), Start);
    BOOST_TEST((history.standingOf(Deadly, Start).kind == Kind::Quarantined));
}

// Guards against a request that is turned away because a whole service has crashed under copies of it.
BOOST_AUTO_TEST_CASE(crashes_of_runs_that_were_no_trials_never_add_up)
{
    CrashHistory history;
    for (int i = 0; i < 20; ++i) {
        history.record(crashOf(Deadly, std::to_string(i), CrashedRun::Regular), Start);
    }
    BOOST_TEST((history.standingOf(Deadly, Start).kind == Kind::Suspected));
}

BOOST_AUTO_TEST_CASE(a_crash_that_two_gateways_report_counts_once)
{
    CrashHistory history;
    BOOST_TEST(history.record(crashOf(Deadly, "a", CrashedRun::SharedTrial), Start));
    BOOST_TEST(!history.record(crashOf(Deadly, "a", CrashedRun::SharedTrial), Start));
    BOOST_TEST((history.standingOf(Deadly, Start).kind == Kind::Suspected));
}

BOOST_AUTO_TEST_CASE(each_failed_trial_makes_the_quarantine_longer_up_to_the_retention)
{
    CrashHistory history;
    Timestamp now = Start;
    history.record(crashOf(Deadly, "a", CrashedRun::Regular), now);
    for (const auto span : {Milliseconds(10000), Milliseconds(60000), Milliseconds(360000)}) {
        history.record(crashOf(Deadly, std::to_string(now.milliseconds()), CrashedRun::IsolatedTrial), now);
        BOOST_TEST((history.standingOf(Deadly, now + span - Milliseconds(1)).kind == Kind::Quarantined));
        now = now + span;
        BOOST_TEST((history.standingOf(Deadly, now).kind == Kind::Suspected));
    }
    history.record(crashOf(Deadly, "last", CrashedRun::IsolatedTrial), now);
    BOOST_TEST((history.standingOf(Deadly, now).quarantinedFor == CrashHistory::Retention));
}

BOOST_AUTO_TEST_CASE(crashes_are_forgotten_after_the_retention_and_when_the_request_is_cleared)
{
    CrashHistory history;
    history.record(crashOf(Deadly, "a", CrashedRun::IsolatedTrial), Start);
    history.removeExpired(Start + CrashHistory::Retention - Milliseconds(1));
    BOOST_TEST(history.size() == 1);
    history.removeExpired(Start + CrashHistory::Retention);
    BOOST_TEST(history.isEmpty());
    history.record(crashOf(Deadly, "a", CrashedRun::IsolatedTrial), Start);
    BOOST_TEST(history.clear(Deadly).size() == 1);
    BOOST_TEST(history.isEmpty());
}

// Guards against a client whose many different requests push the suspects of other workspaces out of the memory.
BOOST_AUTO_TEST_CASE(a_workspace_with_many_deadly_requests_pushes_out_only_its_own)
{
    CrashHistory history;
    history.record(crashOf(Deadly, "a", CrashedRun::IsolatedTrial, "other"), Start);
    for (std::size_t i = 0; i < 2 * CrashHistory::MaxRequestsPerWorkspace; ++i) {
        history.record(crashOf({std::to_string(i)}, "a", CrashedRun::Regular, "many"), Start + Milliseconds(i));
    }
    BOOST_TEST(history.size() == CrashHistory::MaxRequestsPerWorkspace + 1);
    BOOST_TEST((history.standingOf(Deadly, Start).kind == Kind::Quarantined));
}

// Guards against a proven request that runs again because suspects without proof have pushed it out.
BOOST_AUTO_TEST_CASE(requests_under_quarantine_are_evicted_last)
{
    CrashHistory history;
    history.record(crashOf(Deadly, "a", CrashedRun::IsolatedTrial), Start);
    for (std::size_t i = 0; i < 2 * CrashHistory::MaxRequestsPerWorkspace; ++i) {
        history.record(crashOf({std::to_string(i)}, "a", CrashedRun::Regular), Start + Milliseconds(i));
    }
    BOOST_TEST((history.standingOf(Deadly, Start).kind == Kind::Quarantined));
}

BOOST_AUTO_TEST_SUITE_END()
