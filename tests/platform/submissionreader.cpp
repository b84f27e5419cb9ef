#include "platform/submissionreader.h"

#include "platform/batchcodec.h"
#include "platform/mutation.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace Basilbend;
using nlohmann::json;

namespace
{

constexpr const char *Sample =
    R"({"step":7,"odd":{"items":[{"id":1}],"x":[[]]},"model":"m","minimum_version":6,"items":[)"
    R"({"id":"i1","path":"/p","headers":{"B":"2","A":"1","Basilbend-Token-Counts":"180,760"},"body":"q83v","tokens":940,"group":"g","odd":[1,{"id":"x"}]},)"
    R"({"scorer":{"id":"s","host":"h","path":"/s","body":"AAAA","odd":{"id":[]}},"body":null,"path":"/q","id":"i2","tokens":7.0}],"desired_count":12})";

/// Decodes the whole text as one value, as earlier releases did, and returns its items as texts; nothing if it is refused.
std::optional<std::vector<std::string>> referenceItems(const std::string &text)
{
    const auto value = json::parse(text, nullptr, false);
    if (!value.is_object() || !value.contains("items") || !value["items"].is_array()) {
        return std::nullopt;
    }
    std::vector<std::string> items;
    for (const auto &item : value["items"]) {
        const auto hasText = [&item](const char *name) { return item.is_object() && item.contains(name) && item[name].is_string(); };
        if (!hasText("id") || !hasText("path")) {
            return std::nullopt;
        }
        items.push_back(item["id"].get<std::string>() + " " + item["path"].get<std::string>());
    }
    return items;
}

std::string itemsText(std::size_t n)
{
    std::string text = "{\"items\":[";
    for (std::size_t i = 0; i < n; ++i) {
        text += (i > 0 ? "," : "") + std::string(R"({"id":")") + std::to_string(i) + R"(","path":"/p"})";
    }
    return text + "]}";
}

}

BOOST_AUTO_TEST_SUITE(platform)

BOOST_AUTO_TEST_CASE(a_submission_is_read_whatever_the_order_of_its_fields)
{
    const auto submission = decodeSubmission(Sample);
    BOOST_REQUIRE(submission.has_value());
    const auto &value = submission.value();
    BOOST_TEST(value.model == "m");
    BOOST_TEST(value.minimumVersion == 6U);
    BOOST_TEST(value.desiredGroups == 12U);
    BOOST_REQUIRE(value.items.size() == 2U);
    BOOST_TEST(value.items[0].body == "\xab\xcd\xef");
    BOOST_TEST(value.items[0].promptTokens == 180U);
    BOOST_TEST((value.items[0].fields == HttpFields{{"A", "1"}, {"B", "2"}, {"Basilbend-Token-Counts", "180,760"}}));
    BOOST_TEST(value.items[1].group == "i2");
    BOOST_TEST(value.items[1].tokens == 7U);
    BOOST_TEST((value.items[1].reward == RewardRequest{"s", "h", "/s", std::string(3, '\0')}));
    BOOST_TEST(checkSubmission(Sample).value() == 2U);
}

// Guards against a field of the wrong type that is taken for a missing one, and against an error that does not say what is wrong.
BOOST_AUTO_TEST_CASE(a_field_of_the_wrong_type_is_named)
{
    for (const auto &[text, reason] : {std::pair{"[]", "not a JSON object"},
                                       std::pair{"7", "not a JSON object"},
                                       std::pair{"", "not a JSON object"},
                                       std::pair{R"({"items":[]} x)", "not a JSON object"},
                                       std::pair{"{}", "items is missing"},
                                       std::pair{R"({"items":null})", "items is missing"},
                                       std::pair{R"({"items":{}})", "items must be a list"},
                                       std::pair{R"({"items":"x"})", "items must be a list"},
                                       std::pair{R"({"items":[],"items":[]})", "items stands twice"},
                                       std::pair{R"({"items":[],"model":{"a":1}})", "model has the wrong type"},
                                       std::pair{R"({"items":[],"model":7})", "model must be a text"},
                                       std::pair{R"({"items":[],"minimum_version":-1})", "minimum_version must be"},
                                       std::pair{R"({"items":[7]})", "item 0: id is missing"},
                                       std::pair{R"({"items":[[]]})", "item 0: id is missing"},
                                       std::pair{R"({"items":[{"id":"i","path":"/p"},{"id":"j"}]})", "item 1: path is missing"},
                                       std::pair{R"({"items":[{"id":["i"],"path":"/p"}]})", "item 0: id has the wrong type"},
                                       std::pair{R"({"items":[{"id":"i","path":"/p","headers":null}]})", "item 0: headers must be a map"},
                                       std::pair{R"({"items":[{"id":"i","path":"/p","headers":[]}]})", "item 0: headers has the wrong type"},
                                       std::pair{R"({"items":[{"id":"i","path":"/p","headers":{"A":1}}]})", "item 0: header A must be a text"},
                                       std::pair{R"({"items":[{"id":"i","path":"/p","headers":{"A":{}}}]})", "item 0: header A must be a text"},
                                       std::pair{R"({"items":[{"id":"i","path":"/p","scorer":7}]})", "item 0: scorer of item i must be an object"},
                                       std::pair{R"({"items":[{"id":"i","path":"/p","scorer":{"id":"s"}}]})", "item 0: host is missing"},
                                       std::pair{R"({"items":[{"id":"i","path":"/p","body":"A"}]})", "item 0: body of item i is not base64"},
                                       std::pair{R"({"items":[{"id":"i","path":"/p"},{"id":"i","path":"/p"}]})", "item 1: id i stands twice"}}) {
        const auto submission = decodeSubmission(text);
        BOOST_REQUIRE_MESSAGE(submission.has_error(), text);
        BOOST_TEST((submission.error().code == ResultCode::MalformedRequest));
        BOOST_TEST(submission.error().message.find(reason) == 0U, submission.error().message << " for " << text);
    }
}

// Guards against a batch that this reader takes otherwise than the one of earlier releases, which may have accepted it.
BOOST_AUTO_TEST_CASE(mutated_submissions_are_read_as_their_whole_value_is)
{
    Random random(56);
    int accepted = 0;
    for (int i = 0; i < 20000; ++i) {
        const auto text = mutate(Sample, random);
        const auto submission = decodeSubmission(text);
        BOOST_REQUIRE(submission || !submission.error().message.empty());
        if (!submission) {
            continue;
        }
        ++accepted;
        std::vector<std::string> items;
        for (const auto &item : submission.value().items) {
            items.push_back(item.id + " " + item.path);
        }
        BOOST_REQUIRE((referenceItems(text) == items));
    }
    BOOST_TEST(accepted > 100);
}

// Guards against a small text that takes many times its size in memory once it is read.
BOOST_AUTO_TEST_CASE(items_and_headers_of_a_submission_are_bounded_in_number)
{
    BOOST_TEST(checkSubmission(itemsText(SubmissionLimits::MaxItems)).value() == SubmissionLimits::MaxItems);
    BOOST_TEST(checkSubmission(itemsText(SubmissionLimits::MaxItems + 1)).has_error());
    std::string headers;
    for (std::size_t i = 0; i <= SubmissionLimits::MaxItemHeaders; ++i) {
        headers += (i > 0 ? ",\"h" : "\"h") + std::to_string(i) + "\":\"\"";
    }
    BOOST_TEST(checkSubmission(R"({"items":[{"id":"i","path":"/p","headers":{)" + headers + "}}]}").has_error());
    const std::string deep(1'000'000, '[');
    BOOST_TEST(checkSubmission(R"({"x":)" + deep).has_error());
}

// Guards against an item whose path holds another request: the position tells the client which one.
BOOST_AUTO_TEST_CASE(an_item_that_cannot_be_sent_is_named_with_its_position)
{
    const auto checked = checkSubmission(R"({"items":[{"id":"i","path":"/p"},{"id":"j","path":"/p HTTP/1.1\r\n\r\nPOST /q"}]})");
    BOOST_REQUIRE(checked.has_error());
    BOOST_TEST(checked.error().message.find("item 1: its path") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
