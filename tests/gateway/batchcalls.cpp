#include "gateway/batchfixture.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace Basilbend;

BOOST_AUTO_TEST_SUITE(gateway, *boost::unit_test::label("gateway"))

BOOST_FIXTURE_TEST_CASE(a_batch_is_accepted_once_at_any_gateway, BatchFixture)
{
    const auto first = submit(0);
    run(50);
    BOOST_TEST(first->status == 202);
    const auto revision = store.peek(BatchRecords::indexKey("b1"))->revision;
    const auto again = submit(1);
    run(50);
    BOOST_TEST(again->status == 202);
    BOOST_TEST(store.peek(BatchRecords::indexKey("b1"))->revision == revision);
    const auto foreign = submit(1, "b1", "l");
    run(50);
    BOOST_TEST(foreign->status == 409);
}

// Guards against a refusal "nothing was accepted" after a write whose answer was lost.
BOOST_FIXTURE_TEST_CASE(a_lost_answer_is_never_followed_by_a_refusal, BatchFixture)
{
    store.faults.isSilent = true;
    const auto silent = submit(0);
    run(6000);
    BOOST_REQUIRE(silent->ended);
    BOOST_TEST(silent->status == 500);
    store.faults.isSilent = false;
    store.faults.lostCommits = 1;
    run(4000);
    const auto lost = submit(0);
    run(2000);
    BOOST_TEST(lost->status == 202);
}

BOOST_FIXTURE_TEST_CASE(a_store_that_refuses_gives_a_refusal_with_a_time_to_return, BatchFixture)
{
    store.faults.refuses = true;
    const auto refused = submit(0);
    run(4000);
    BOOST_REQUIRE(refused->ended);
    BOOST_TEST(refused->status == 503);
    BOOST_TEST(refused->fields.find("Retry-After") != nullptr);
    BOOST_TEST(store.peek(BatchRecords::indexKey("b1")) == nullptr);
}

// Guards against a batch that is lost because the store was away for a moment.
BOOST_FIXTURE_TEST_CASE(a_submission_waits_for_the_store, BatchFixture)
{
    store.faults.refuses = true;
    const auto waiting = submit(0);
    run(1500);
    BOOST_TEST(!waiting->ended);
    store.faults.refuses = false;
    run(600);
    BOOST_TEST(waiting->status == 202);
}

BOOST_FIXTURE_TEST_CASE(results_are_read_from_any_position_at_any_gateway, BatchFixture)
{
    submit(0);
    run(50);
    list(0, "i2");
    const auto first = read(1, 0);
    run(50);
    BOOST_TEST(first->json().at("total") == 2);
    BOOST_TEST(first->json().at("next") == 1);
    BOOST_TEST(first->json().at("results").at(0).at("id") == "i2");
    list(1, "i1");
    for (const std::size_t gateway : {0, 1}) {
        const auto all = read(gateway, 0);
        const auto rest = read(gateway, 1);
        run(50);
        // A page may hold fewer results than there are, but the first is always the one at the position.
        BOOST_TEST(all->json().at("results").at(0).at("id") == "i2");
        BOOST_TEST(rest->json().at("results").at(0).at("id") == "i1");
    }
}

// Guards against a batch without results that is answered as unknown: an empty listing does not tell whose it is.
BOOST_FIXTURE_TEST_CASE(a_batch_without_results_is_known_at_any_gateway, BatchFixture)
{
    submit(0);
    run(50);
    for (const auto *wait : {"0", "300"}) {
        const auto empty = read(1, 0, wait);
        run(500);
        BOOST_TEST(empty->status == 200);
        BOOST_TEST(empty->json().at("total") == 2);
        BOOST_TEST(empty->json().at("next") == 0);
    }
}

BOOST_FIXTURE_TEST_CASE(a_read_waits_for_a_result_and_ends_with_its_wait, BatchFixture)
{
    submit(0);
    run(50);
    const auto waiting = read(0, 0, "1000");
    run(400);
    BOOST_TEST(!waiting->ended);
    list(0, "i1");
    run(50);
    BOOST_TEST(waiting->json().at("results").size() == 1U);
    const auto empty = read(0, 1, "500");
    run(450);
    BOOST_TEST(!empty->ended);
    run(300);
    BOOST_TEST(empty->json().at("next") == 1);
}

// Guards against a gateway that says "none" about a batch, or "nothing" about a position, when it can't know.
BOOST_FIXTURE_TEST_CASE(a_gateway_that_does_not_reach_the_store_is_not_sure, BatchFixture)
{
    submit(0);
    run(50);
    list(0, "i1");
    const auto known = read(0, 0);
    run(50);
    store.faults.refuses = true;
    const auto listed = read(0, 0);
    const auto behind = read(0, 1);
    const auto other = read(1, 0);
    run(2500);
    BOOST_TEST(listed->status == 200);
    BOOST_TEST(behind->status == 503);
    BOOST_TEST(other->status == 503);
}

BOOST_FIXTURE_TEST_CASE(batches_belong_to_their_workspace, BatchFixture)
{
    submit(0);
    run(50);
    const auto foreign = read(0, 0, "0", "l");
    const auto unknownKey = read(0, 0, "0", "zzz");
    const auto missing = send(0, {"GET", "/-/lots/nope", {}, {}});
    run(100);
    BOOST_TEST(foreign->status == 404);
    BOOST_TEST(unknownKey->status == 401);
    BOOST_TEST(missing->status == 404);
}

BOOST_FIXTURE_TEST_CASE(a_batch_is_ended_once_and_its_items_are_gone_then, BatchFixture)
{
    submit(0);
    run(50);
    const auto body = send(1, {"GET", "/-/items/b1?id=i1", {}, {}});
    const auto unknown = send(1, {"GET", "/-/items/b1?id=i9", {}, {}});
    run(50);
    BOOST_TEST(body->status == 200);
    BOOST_TEST(body->body == "\xab\xcd\xef");
    BOOST_TEST(unknown->status == 404);
    store.faults.lostCommits = 1;
    const auto ended = send(0, {"DELETE", "/-/lots/b1", {}, {}});
    run(500);
    BOOST_TEST(ended->status == 200);
    BOOST_TEST(BatchRecords::decodeIndex(store.peek(BatchRecords::indexKey("b1"))->value).value().ended);
    const auto repeated = send(1, {"DELETE", "/-/lots/b1", {}, {}});
    const auto late = send(1, {"GET", "/-/items/b1?id=i1", {}, {}});
    run(100);
    BOOST_TEST(repeated->status == 200);
    BOOST_TEST(late->status == 404);
}

BOOST_FIXTURE_TEST_CASE(a_malformed_batch_is_refused_with_its_fault, BatchFixture)
{
    const auto answer = send(0, {"POST", "/steps/1", {{"Basilbend-Attempt-Id", "b2"}}, R"({"items":[{"id":"i1"}]})"});
    run(50);
    BOOST_TEST(answer->status == 400);
    BOOST_TEST(answer->json().at("code") == 1000);
    BOOST_TEST(answer->json().at("message").get<std::string>().find("path") != std::string::npos);
}

// Guards against keys that work on while a gateway can't learn of their withdrawal.
BOOST_FIXTURE_TEST_CASE(a_gateway_with_an_old_configuration_refuses_and_is_not_ready, BatchFixture)
{
    BOOST_TEST(gateways[0]->service.isReady());
    store.faults.isSilent = true;
    run(6000);
    BOOST_TEST(!gateways[0]->service.isReady());
    const auto refused = read(0, 0);
    run(100);
    BOOST_TEST(refused->status == 503);
    BOOST_TEST(refused->json().at("code") == 1105);
}

BOOST_FIXTURE_TEST_CASE(a_withdrawn_key_is_refused, BatchFixture)
{
    std::string changed = BatchConfigurationText;
    changed.replace(changed.find("\"version\":7"), 11, "\"version\":9");
    changed.replace(changed.find("[\"k\"]"), 5, "[]");
    store.put("op/config", changed);
    run(50);
    const auto refused = submit(0);
    run(50);
    BOOST_TEST(refused->status == 401);
    // An older version that comes late changes nothing.
    store.put("op/config", BatchConfigurationText);
    run(50);
    const auto still = submit(1);
    run(50);
    BOOST_TEST(still->status == 401);
}

// Replays a listing that is seconds under way, as at a gateway short of processor time. Guards against a read that joins it and
// is told that nothing stands at a position which others have read since the listing was made.
BOOST_FIXTURE_TEST_CASE(a_read_is_not_answered_from_a_listing_that_is_older_than_itself, BatchFixture)
{
    submit(0);
    run(50);
    read(0, 0);
    run(50);
    store.latency = Milliseconds(600);
    const auto early = read(0, 0);
    run(100);
    list(0, "i1");
    run(50);
    const auto late = read(0, 0);
    run(2500);
    BOOST_REQUIRE(late->ended);
    const bool isTrue = late->status == 503 || (late->status == 200 && !late->json().at("results").empty());
    BOOST_TEST(isTrue, "answered " << late->status << " " << late->body);
}

// Guards against an accepted batch that is said not to exist, because an older question of the same gateway is under way.
BOOST_FIXTURE_TEST_CASE(a_read_is_not_told_that_its_batch_is_missing_by_an_older_question, BatchFixture)
{
    store.latency = Milliseconds(300);
    read(0, 0);
    run(400);
    store.latency = Milliseconds(4);
    submit(1);
    run(50);
    const auto late = read(0, 0);
    run(2500);
    BOOST_REQUIRE(late->ended);
    BOOST_TEST(late->status != 404);
}

// Guards against the answer "nothing there" because a watch of the store has missed the result.
BOOST_FIXTURE_TEST_CASE(a_read_does_not_trust_a_watch_that_heard_nothing, BatchFixture)
{
    submit(0);
    run(50);
    const auto first = read(0, 0);
    run(50);
    BOOST_REQUIRE(first->ended);
    store.faults.watchesMissChanges = true;
    list(0, "i1");
    const auto waiting = read(0, 0, "500");
    run(800);
    BOOST_REQUIRE(waiting->ended);
    BOOST_TEST(waiting->json().at("results").size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
