#include "gateway/batchfixture.h"
#include "platform/clienttext.h"

#include <boost/test/unit_test.hpp>

using namespace Basilbend;

BOOST_AUTO_TEST_SUITE(gateway, *boost::unit_test::label("gateway"))

// Guards against a gateway that ends because a client names a batch or an attempt with bytes that are not UTF-8.
BOOST_FIXTURE_TEST_CASE(an_id_that_is_not_utf8_is_rejected_and_the_gateway_goes_on, BatchFixture)
{
    const std::string odd = "b\xff";
    const std::vector<std::shared_ptr<ClientResponse>> responses{submit(0, odd),
                                                                 send(0, {"GET", "/-/lots/" + odd, {}, {}}),
                                                                 send(0, {"GET", "/-/items/" + odd + "?id=i1", {}, {}}),
                                                                 send(0, {"GET", "/-/items/b1?id=%ff", {}, {}}),
                                                                 send(0, {"DELETE", "/-/lots/" + odd, {}, {}})};
    run(100);
    for (const auto &response : responses) {
        BOOST_REQUIRE(response->ended);
        BOOST_TEST(response->status == 400);
        BOOST_TEST(response->json().at("code") == 1000);
    }
    const auto sound = submit(0);
    run(50);
    BOOST_TEST(sound->status == 202);
}

// Guards against a request that stands inside the path of an item and runs in the name of another workspace.
BOOST_FIXTURE_TEST_CASE(a_batch_with_an_item_that_holds_another_request_is_rejected_whole, BatchFixture)
{
    const std::string items = R"([{"id":"i1","path":"/p"},{"id":"i2","path":"/p HTTP/1.1\r\n\r\nPOST /q HTTP/1.1\r\nBasilbend-Tenant: v\r\nX: "}])";
    const auto rejected = send(0, {"POST", "/steps/1", {{"Basilbend-Attempt-Id", "b1"}}, R"({"model":"m","items":)" + items + "}"});
    run(100);
    BOOST_REQUIRE(rejected->ended);
    BOOST_TEST(rejected->status == 400);
    BOOST_TEST(rejected->json().at("message").get<std::string>().find("item 1: its path") == 0U);
    BOOST_TEST(store.peek(BatchRecords::indexKey("b1")) == nullptr);
}

// Guards against a batch that is accepted and can't be read, because its id has to be encoded in a path.
BOOST_FIXTURE_TEST_CASE(a_batch_is_read_under_its_percent_encoded_id, BatchFixture)
{
    submit(0, "run 4+\xc3\xa9");
    run(50);
    for (const auto *target : {"/-/lots/run%204+%C3%A9", "/-/lots/run%204%2B\xc3\xa9"}) {
        const auto read = send(1, {"GET", target, {}, {}});
        run(50);
        BOOST_TEST(read->status == 200, target);
    }
}

// Guards against a batch that clients submit again and again, because the store can't take it in one transaction.
BOOST_FIXTURE_TEST_CASE(a_batch_that_cannot_be_stored_is_rejected_at_once, BatchFixture)
{
    const std::string body(BatchRecords::MaxSubmissionBytes + 1, ' ');
    const auto large = send(0, {"POST", "/steps/1", {{"Basilbend-Attempt-Id", "b1"}}, body});
    const auto longId = submit(0, std::string(MaxBatchIdBytes + 1, 'x'));
    const auto noId = submit(0, "");
    run(1000);
    BOOST_REQUIRE(large->ended);
    BOOST_TEST(large->status == 413);
    BOOST_TEST(large->json().at("code") == 1002);
    BOOST_TEST(longId->status == 400);
    BOOST_TEST(noId->status == 400);
    const auto longest = submit(0, std::string(MaxBatchIdBytes, 'x'));
    run(100);
    BOOST_TEST(longest->status == 202);
}

BOOST_AUTO_TEST_SUITE_END()
