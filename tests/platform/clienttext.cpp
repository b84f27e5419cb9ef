#include "platform/clienttext.h"

#include "base/random.h"
#include "batches/batchrecords.h"
#include "http/httpsyntax.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <nlohmann/json.hpp>

using namespace Basilbend;

namespace
{

BatchItem soundItem()
{
    BatchItem item;
    item.id = "a31f-0";
    item.path = "/v1/complete?seed=4";
    item.fields = {{"Basilbend-Token-Counts", "180,760"}, {"X-Note", "caf\xc3\xa9\tau lait"}, {"X-Empty", ""}};
    item.reward = RewardRequest{"a31f-0-s", "score.example:8080", "/score/", "b"};
    return item;
}

std::optional<std::string> reasonFor(const RequestMessage &message)
{
    return invalidTextOf(message, decodeClientRequest(message));
}

}

BOOST_AUTO_TEST_SUITE(platform)

// Guards against a store key or a record that can't be written, and against two ids that differ on the wire only.
BOOST_AUTO_TEST_CASE(an_id_is_valid_utf8_without_control_characters_or_outer_spaces)
{
    const std::string longest(MaxClientIdBytes, 'x');
    for (const auto &id : {std::string("9c41d07be2a35f68"), std::string("step-10"), std::string("run 4/step 2%"), std::string("\xc3\xa9t\xc3\xa9"), longest}) {
        BOOST_TEST(isClientId(id), id);
    }
    for (const auto &id : {std::string(),
                           std::string("a\xff"),
                           std::string("a\xc3"),
                           std::string("\xed\xa0\x80"),
                           std::string("\xc0\xaf"),
                           std::string("a\r\nb"),
                           std::string("a\tb"),
                           std::string("a\x7f"),
                           std::string("a\0b", 3),
                           std::string(" a"),
                           std::string("a "),
                           longest + "x"}) {
        BOOST_TEST(!isClientId(id), id);
    }
}

// Guards against a batch whose keys the store refuses for good: a key has at most 200 bytes.
BOOST_AUTO_TEST_CASE(the_keys_of_a_batch_with_the_longest_id_fit_into_the_store)
{
    constexpr std::size_t MaxKeyBytes = 200;
    const std::string longest(MaxBatchIdBytes, 'x');
    BOOST_TEST(isBatchId(longest));
    BOOST_TEST(!isBatchId(longest + "x"));
    for (const auto &key : {BatchRecords::indexKey(longest),
                            BatchRecords::progressKey(longest),
                            BatchRecords::submissionKey(longest, 29),
                            BatchRecords::resultKey(longest, 99'999'999)}) {
        BOOST_TEST(key.size() <= MaxKeyBytes, key);
    }
}

// Guards against an encoder that throws at an accepted id.
BOOST_AUTO_TEST_CASE(each_accepted_id_can_be_encoded_as_json_and_as_a_field_value)
{
    Random random(56);
    int accepted = 0;
    for (int i = 0; i < 20000; ++i) {
        std::string id;
        for (std::size_t n = 1 + random.below(3); n > 0; --n) {
            id.push_back(static_cast<char>(random.below(256)));
        }
        if (isClientId(id)) {
            ++accepted;
            BOOST_REQUIRE(nlohmann::json::parse(nlohmann::json(id).dump()).get<std::string>() == id);
            BOOST_REQUIRE(isFieldValue(id));
        }
    }
    BOOST_TEST(accepted > 1000);
}

// Guards against rejecting what clients inside the limits send: one request of each kind.
BOOST_AUTO_TEST_CASE(ordinary_requests_of_each_kind_are_accepted)
{
    const HttpFields live{{"Host", "a.example"}, {"X-Api-Key", "k"}, {"Basilbend-Attempt-Id", "9c41d07be2a35f68"}, {"Basilbend-Deadline-Ms", "800"}};
    auto resumed = live;
    resumed.add("Last-Event-Id", "12");
    resumed.add("Resumes", "9c41d07be2a35f67");
    const std::vector<RequestMessage> messages{{"GET", "/status/7?x=%C3%A9&y", live, {}},
                                               {"POST", "/generate/1", resumed, "b"},
                                               {"POST", "/steps/1", live, "{}"},
                                               {"GET", "/-/lots/7c41e09b52d6a3f8?after=12", live, {}},
                                               {"GET", "/-/items/7c41e09b52d6a3f8?id=i2", live, {}},
                                               {"DELETE", "/-/lots/7c41e09b52d6a3f8", live, {}},
                                               {"GET", "/caf\xc3\xa9", {{"Host", "A.example:80"}}, {}},
                                               {"GET", "/", {}, {}}};
    for (const auto &message : messages) {
        BOOST_TEST(!reasonFor(message).has_value(), message.target);
    }
}

BOOST_AUTO_TEST_CASE(a_request_with_a_text_that_keys_or_messages_cannot_hold_is_named)
{
    const HttpFields host{{"Host", "a.example"}};
    const std::vector<std::pair<RequestMessage, std::string>> cases{{{"POST", "/p", {{"Basilbend-Attempt-Id", "a\xff"}}, {}}, "Basilbend-Attempt-Id"},
                                                                    {{"POST", "/p", {{"Basilbend-Attempt-Id", "a"}, {"Resumes", "\xfe"}}, {}}, "Resumes"},
                                                                    {{"GET", "/-/lots/\xff", host, {}}, "the id of the batch"},
                                                                    {{"GET", "/-/lots/%FF", host, {}}, "the id of the batch"},
                                                                    {{"GET", "/-/items/b?id=%0d%0a", host, {}}, "the id of the item"},
                                                                    {{"GET", "/p", {{"Host", "a.example:\xff"}}, {}}, "the host"},
                                                                    {{"GET", "/p", {{"Host", "a.example"}, {"Odd Name", "x"}}, {}}, "a header"},
                                                                    {{"GET", "/p\t1", host, {}}, "the request target"},
                                                                    {{"GET", "a.example/p", host, {}}, "the request target"}};
    for (const auto &[message, name] : cases) {
        const auto reason = reasonFor(message);
        BOOST_REQUIRE_MESSAGE(reason.has_value(), message.target);
        BOOST_TEST(reason->substr(0, name.size()) == name);
    }
}

// Guards against an item whose texts end the head of its request and begin another request.
BOOST_AUTO_TEST_CASE(an_item_with_a_text_that_would_change_its_request_is_named)
{
    const std::string smuggled = "/p HTTP/1.1\r\nHost: h\r\n\r\nPOST /q";
    const std::vector<std::pair<std::function<void(BatchItem &)>, std::string>> cases{
        {[](BatchItem &item) { item.id = "i\r\nBasilbend-Tenant: other"; }, "its id"},
        {[](BatchItem &item) { item.id.clear(); }, "its id"},
        {[&smuggled](BatchItem &item) { item.path = smuggled; }, "its path"},
        {[](BatchItem &item) { item.path = "p"; }, "its path"},
        {[](BatchItem &item) { item.path = "/a b"; }, "its path"},
        {[](BatchItem &item) { item.fields.add("X-Odd: 1\r\nBasilbend-Tenant", "other"); }, "a header has a name"},
        {[](BatchItem &item) { item.fields.add("", "x"); }, "a header has a name"},
        {[](BatchItem &item) { item.fields.add("X-Odd", "1\nBasilbend-Tenant: other"); }, "its header X-Odd"},
        {[&smuggled](BatchItem &item) { item.reward->path = smuggled; }, "the path of the scorer"},
        {[](BatchItem &item) { item.reward->host = "h\r\nX: y"; }, "the host of the scorer"},
        {[](BatchItem &item) { item.reward->id = "\n"; }, "the id of the scorer"}};
    BOOST_TEST(!invalidTextOf(soundItem()).has_value());
    for (const auto &[change, name] : cases) {
        auto item = soundItem();
        change(item);
        const auto reason = invalidTextOf(item);
        BOOST_REQUIRE_MESSAGE(reason.has_value(), name);
        BOOST_TEST(reason->substr(0, name.size()) == name);
    }
}

BOOST_AUTO_TEST_SUITE_END()
