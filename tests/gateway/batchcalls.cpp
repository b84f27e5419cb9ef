#include "gateway/batchfixture.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace Basilbend;

BOOST_AUTO_TEST_SUITE(gateway, *boost::unit_test::label("gateway"))

BOOST_FIXTURE_TEST_CASE(a_batch_submitted_at_two_gateways_is_accepted_once, BatchFixture)
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

// Guards against the response "nothing was accepted" after a write whose acknowledgement was lost.
BOOST_FIXTURE_TEST_CASE(a_submission_is_not_rejected_after_a_write_without_acknowledgement, BatchFixture)
{
    store.faults.doesNotAnswer = true;
    const auto silent = submit(0);
    run(6000);
    BOOST_REQUIRE(silent->ended);
    BOOST_TEST(silent->status == 500);
    store.faults.doesNotAnswer = false;
    store.faults.lostCommits = 1;
    run(4000);
    const auto lost = submit(0);
    run(2000);
    BOOST_TEST(lost->status == 202);
}

BOOST_FIXTURE_TEST_CASE(a_submission_that_the_store_refuses_is_rejected_with_retry_after, BatchFixture)
{
    store.faults.refuses = true;
    const auto refused = submit(0);
    run(4000);
    BOOST_REQUIRE(refused->ended);
    BOOST_TEST(refused->status == 503);
    BOOST_TEST(refused->fields.find("Retry-After") != nullptr);
    BOOST_TEST(store.peek(BatchRecords::indexKey("b1")) == nullptr);
}

// Guards against losing a batch because of a short outage of the store.
BOOST_FIXTURE_TEST_CASE(a_submission_waits_until_the_store_is_available, BatchFixture)
{
    store.faults.refuses = true;
    const auto waiting = submit(0);
    run(1500);
    BOOST_TEST(!waiting->ended);
    store.faults.refuses = false;
    run(600);
    BOOST_TEST(waiting->status == 202);
}

BOOST_FIXTURE_TEST_CASE(every_gateway_returns_results_from_the_requested_position, BatchFixture)
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
        // A page may hold fewer results than exist, but always starts with the result at the requested position.
        BOOST_TEST(all->json().at("results").at(0).at("id") == "i2");
        BOOST_TEST(rest->json().at("results").at(0).at("id") == "i1");
    }
}

// Guards against reporting a batch without results as unknown: an empty listing does not show which workspace owns the batch.
BOOST_FIXTURE_TEST_CASE(every_gateway_finds_a_batch_without_results, BatchFixture)
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

BOOST_FIXTURE_TEST_CASE(a_read_completes_when_a_result_arrives_or_its_wait_expires, BatchFixture)
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

// Guards against reporting a missing batch, or no result at a position, while the store is unavailable.
BOOST_FIXTURE_TEST_CASE(a_gateway_without_the_store_returns_only_cached_results, BatchFixture)
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

BOOST_FIXTURE_TEST_CASE(a_batch_is_visible_only_to_its_workspace, BatchFixture)
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

BOOST_FIXTURE_TEST_CASE(ending_a_batch_is_idempotent_and_makes_its_items_unavailable, BatchFixture)
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

BOOST_FIXTURE_TEST_CASE(the_rejection_of_a_malformed_batch_names_the_field, BatchFixture)
{
    const auto response = send(0, {"POST", "/steps/1", {{"Basilbend-Attempt-Id", "b2"}}, R"({"items":[{"id":"i1"}]})"});
    run(50);
    BOOST_TEST(response->status == 400);
    BOOST_TEST(response->json().at("code") == 1000);
    BOOST_TEST(response->json().at("message").get<std::string>().find("path") != std::string::npos);
}

// Guards against accepting withdrawn keys while a gateway can't read the configuration.
BOOST_FIXTURE_TEST_CASE(a_gateway_with_a_stale_configuration_rejects_requests_and_is_not_ready, BatchFixture)
{
    BOOST_TEST(gateways[0]->service.isReady());
    store.faults.doesNotAnswer = true;
    run(6000);
    BOOST_TEST(!gateways[0]->service.isReady());
    const auto refused = read(0, 0);
    run(100);
    BOOST_TEST(refused->status == 503);
    BOOST_TEST(refused->json().at("code") == 1105);
}

BOOST_FIXTURE_TEST_CASE(a_withdrawn_key_is_rejected, BatchFixture)
{
    std::string changed = BatchConfigurationText;
    changed.replace(changed.find("\"version\":7"), 11, "\"version\":9");
    changed.replace(changed.find("[\"k\"]"), 5, "[]");
    store.put("op/config", changed);
    run(50);
    const auto refused = submit(0);
    run(50);
    BOOST_TEST(refused->status == 401);
    // An older version that arrives late is ignored.
    store.put("op/config", BatchConfigurationText);
    run(50);
    const auto still = submit(1);
    run(50);
    BOOST_TEST(still->status == 401);
}

// Simulates a listing that takes seconds, as at a gateway short of processor time. Guards against a read that joins the listing
// and misses a result that other readers have seen since the listing was requested.
BOOST_FIXTURE_TEST_CASE(a_read_does_not_use_a_listing_requested_before_it_started, BatchFixture)
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

// Guards against reporting an accepted batch as missing because of an older store request of the same gateway.
BOOST_FIXTURE_TEST_CASE(a_store_request_older_than_a_read_does_not_report_its_batch_as_missing, BatchFixture)
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

// Guards against reporting no result because a watch on the store missed it.
BOOST_FIXTURE_TEST_CASE(an_empty_watch_does_not_prove_that_there_is_no_result, BatchFixture)
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

// Guards against results and bodies of a batch whose id begins with that of the batch that is read.
BOOST_FIXTURE_TEST_CASE(reads_of_a_batch_leave_out_the_records_of_batches_whose_ids_begin_with_its_own, BatchFixture)
{
    submit(0);
    run(50);
    const auto foreign = BatchRecords::encodeChunk({"v", 9, {{"x", ItemOutcome::Completed, "foreign", {1}, {}}}});
    store.put(BatchRecords::resultKey("b1/0", 0), foreign);
    store.put(BatchRecords::resultKey("b1/00000000", 0), foreign);
    store.put(BatchRecords::submissionKey("b1/0", 0), "foreign");
    const auto waiting = read(1, 0, "500");
    run(100);
    BOOST_TEST(!waiting->ended);
    store.put(BatchRecords::resultKey("b1/0", 1), foreign);
    list(0, "i2");
    run(600);
    BOOST_TEST(waiting->json().at("total") == 2);
    BOOST_TEST(waiting->json().at("next") == 1);
    BOOST_TEST(waiting->json().at("results").at(0).at("id") == "i2");
    const auto body = send(1, {"GET", "/-/items/b1?id=i1", {}, {}});
    run(100);
    BOOST_TEST(body->status == 200);
    BOOST_TEST(body->body == "\xab\xcd\xef");
}

BOOST_AUTO_TEST_SUITE_END()
