#include "config/configurationlog.h"

#include "store/fakestore.h"

#include <boost/test/unit_test.hpp>

using namespace Basilbend;

namespace
{

/// A process with its own state and log on a shared store.
struct OperatorProcess {
    OperatorProcess(Store &store, const std::string &node)
        : log(store, state, node, 1)
    {
    }

    void submit(decltype(ConfigurationEdit::change) change, std::uint64_t base)
    {
        log.submit({std::move(change), base, {}}, [this](const Result<std::uint64_t> &result) { results.push_back(result); });
    }

    ConfigurationState state;
    ConfigurationLog log;
    std::vector<Result<std::uint64_t>> results;
};

struct ConfigurationLogFixture {
    VirtualTime time;
    FakeStore store{time, 1};
    OperatorProcess first{store, "entry-1"};
    OperatorProcess second{store, "entry-2"};

    void runUntilSettled()
    {
        time.advance(Milliseconds(2000));
    }
};

}

BOOST_AUTO_TEST_SUITE(config, *boost::unit_test::label("config"))

// Guards against accepting two concurrent edits of a list that are based on the same revision.
BOOST_FIXTURE_TEST_CASE(of_two_concurrent_edits_of_a_list_one_is_accepted_and_one_is_rejected, ConfigurationLogFixture)
{
    first.submit(Plan{"gold", 100, 0, 1}, 0);
    second.submit(Plan{"gold", 200, 0, 1}, 0);
    runUntilSettled();
    BOOST_REQUIRE(first.results.size() == 1U);
    BOOST_REQUIRE(second.results.size() == 1U);
    const auto accepted = first.results[0].has_value() + second.results[0].has_value();
    BOOST_TEST(accepted == 1);
    const auto &rejected = first.results[0] ? second.results[0] : first.results[0];
    BOOST_CHECK(rejected.error().code == ResultCode::RevisionConflict);
}

// Guards against an edit that is applied twice, or reported as rejected, because the store's response was lost.
BOOST_FIXTURE_TEST_CASE(an_edit_whose_store_response_was_lost_is_found_and_not_repeated, ConfigurationLogFixture)
{
    first.submit(Plan{"gold", 100, 0, 1}, 0);
    time.advance(Milliseconds(2));
    store.loseNextAnswer();
    runUntilSettled();
    BOOST_REQUIRE(first.results.size() == 1U);
    BOOST_TEST(first.results[0].value() == 1U);
    second.log.refresh([](const auto &) {});
    runUntilSettled();
    BOOST_TEST(second.state.revision() == 1U);
}

BOOST_FIXTURE_TEST_CASE(an_edit_during_a_store_outage_is_rejected_as_not_run, ConfigurationLogFixture)
{
    store.faults.outage = true;
    first.submit(Plan{"gold", 100, 0, 1}, 0);
    runUntilSettled();
    BOOST_REQUIRE(first.results.size() == 1U);
    BOOST_CHECK(first.results[0].error().code == ResultCode::StoreUnavailable);
    BOOST_CHECK(first.results[0].error().execution == Execution::NotRun);
}

// Guards against a snapshot that loses edits, and against a new process that can't load the state from a snapshot.
BOOST_FIXTURE_TEST_CASE(a_new_process_catches_up_from_a_snapshot, ConfigurationLogFixture)
{
    first.submit(Plan{"gold", 100, 0, 1}, 0);
    runUntilSettled();
    for (std::uint64_t i = 1; i < 300; ++i) {
        first.submit(Workspace{"w" + std::to_string(i), "gold"}, i);
        runUntilSettled();
    }
    BOOST_TEST(first.state.revision() == 300U);
    second.log.refresh([](const auto &) {});
    runUntilSettled();
    BOOST_TEST((*second.state.current() == *first.state.current()));
}

BOOST_FIXTURE_TEST_CASE(a_watch_applies_an_edit_of_another_process, ConfigurationLogFixture)
{
    second.log.watch(Milliseconds(1000), [](const auto &) {});
    first.submit(Plan{"gold", 100, 0, 1}, 0);
    runUntilSettled();
    BOOST_TEST(second.state.revision() == 1U);
}

// Guards against writers that overwrite each other's edits when the store loses responses and applies writes late.
BOOST_AUTO_TEST_CASE(each_edit_is_applied_once_when_responses_are_lost_and_writes_are_late)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        VirtualTime time;
        FakeStore store(time, seed);
        store.faults.loseAnswer = 0.2;
        store.faults.delayWrite = 0.2;
        store.faults.failCall = 0.1;
        OperatorProcess first(store, "entry-1");
        OperatorProcess second(store, "entry-2");
        first.submit(Plan{"gold", 1, 0, 1}, 1000);
        for (int i = 0; i < 30; ++i) {
            first.submit(Workspace{"a" + std::to_string(i), "gold"}, 1000);
            second.submit(Workspace{"b" + std::to_string(i), "gold"}, 1000);
            time.advance(Milliseconds(5000));
        }
        store.faults = {};
        time.advance(Milliseconds(5000));
        OperatorProcess reader(store, "entry-3");
        reader.log.refresh([](const auto &) {});
        time.advance(Milliseconds(5000));
        std::set<std::uint64_t> revisions;
        for (const auto *process : {&first, &second}) {
            for (const auto &result : process->results) {
                if (result) {
                    BOOST_TEST(revisions.insert(result.value()).second, "seed " << seed << ": a revision was assigned to two edits");
                }
            }
        }
        const auto config = reader.state.current();
        for (int i = 0; i < 30; ++i) {
            const auto &result = second.results[static_cast<std::size_t>(i)];
            const bool present = config->workspaces.count("b" + std::to_string(i)) != 0;
            if (result || result.error().execution == Execution::NotRun) {
                BOOST_TEST(present == result.has_value(), "seed " << seed << ": edit " << i << " was reported with the wrong outcome");
            }
        }
        BOOST_TEST(config->revision >= revisions.size());
        BOOST_TEST(config->revision == config->plans.size() + config->workspaces.size(), "seed " << seed << ": an edit was applied twice");
    }
}

BOOST_AUTO_TEST_SUITE_END()
