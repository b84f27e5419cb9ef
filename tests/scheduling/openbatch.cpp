#include "scheduling/openbatch.h"

#include "batches/batchrecords.h"
#include "scheduling/textlimit.h"

#include <boost/test/unit_test.hpp>
#include <functional>

using namespace Basilbend;

namespace
{

BatchSubmission makeSubmission(std::size_t groups, std::size_t size, std::uint64_t minimumVersion = 5)
{
    BatchSubmission submission;
    submission.minimumVersion = minimumVersion;
    for (std::size_t g = 0; g < groups; ++g) {
        for (std::size_t i = 0; i < size; ++i) {
            BatchItem item;
            item.group = "g" + std::to_string(g);
            item.id = item.group + "-" + std::to_string(i);
            submission.items.push_back(item);
        }
    }
    return submission;
}

BatchIndex makeIndex()
{
    BatchIndex index;
    index.id = "b";
    index.submittedAtMs = 1000;
    return index;
}

struct BatchFixture {
    BatchRules rules{3, Milliseconds(40000), false};
    OpenBatch batch{makeIndex(), makeSubmission(2, 2), {}};

    void run(std::size_t i)
    {
        batch.progress(i).phase = ItemPhase::Running;
    }
    void generate(std::size_t i, std::uint64_t events, std::uint64_t version = 5)
    {
        for (std::uint64_t id = 1; id <= events; ++id) {
            batch.addEvent(i, id, "e" + std::to_string(id), version, rules);
        }
    }
};

}

BOOST_AUTO_TEST_SUITE(scheduling, *boost::unit_test::label("scheduling"))

// Guards against a text with a gap, a duplicate, or parts of two runs.
BOOST_FIXTURE_TEST_CASE(only_consecutive_events_are_appended_to_a_text, BatchFixture)
{
    run(0);
    generate(0, 2);
    BOOST_TEST(!batch.addEvent(0, 2, "again", 5, rules));
    BOOST_TEST(!batch.addEvent(0, 4, "gap", 5, rules));
    BOOST_TEST(batch.addEvent(0, 3, "e3", 6, rules));
    batch.complete(0);
    const auto results = batch.nextResults(1000);
    BOOST_TEST(results.at(0).text == "e1\ne2\ne3");
    BOOST_TEST((results.at(0).versions == std::vector<std::uint64_t>{5, 6}));
}

// Guards against samples generated with weights that the trainer does not allow.
BOOST_FIXTURE_TEST_CASE(events_of_an_older_version_are_rejected, BatchFixture)
{
    run(0);
    BOOST_TEST(!batch.addEvent(0, 1, "old", 4, rules));
    BOOST_TEST(batch.progress(0).text.eventCount() == 0U);
}

BOOST_FIXTURE_TEST_CASE(an_item_of_a_single_version_route_restarts_when_the_weights_change, BatchFixture)
{
    rules.singleVersion = true;
    run(0);
    generate(0, 2, 5);
    BOOST_TEST(!batch.addEvent(0, 3, "e3", 6, rules));
    BOOST_TEST(batch.progress(0).text.eventCount() == 0U);
    BOOST_TEST(batch.addEvent(0, 1, "e1", 6, rules));
}

BOOST_FIXTURE_TEST_CASE(a_requeued_item_continues_after_its_last_event, BatchFixture)
{
    run(0);
    generate(0, 3);
    batch.requeue(0, "i-1", Timestamp(50));
    BOOST_TEST((batch.progress(0).phase == ItemPhase::Waiting));
    BOOST_TEST(batch.progress(0).text.lastEventId() == 3U);
    BOOST_TEST(batch.progress(0).avoidedEndpoint == "i-1");
}

BOOST_FIXTURE_TEST_CASE(an_item_is_terminated_only_after_the_allowed_errors_or_its_retention_time, BatchFixture)
{
    run(0);
    batch.recordServerError(0, rules);
    batch.recordServerError(0, rules);
    BOOST_TEST((batch.progress(0).phase == ItemPhase::Running));
    batch.recordServerError(0, rules);
    BOOST_TEST((batch.progress(0).phase == ItemPhase::Decided));
    BOOST_TEST((batch.nextResults(1000).at(0).outcome == ItemOutcome::Terminated));
    run(1);
    BOOST_TEST(batch.expire(Timestamp(40999), rules).empty());
    BOOST_TEST((batch.expire(Timestamp(41000), rules) == std::vector<std::size_t>{1}));
    BOOST_TEST(batch.isDecided());
}

BOOST_FIXTURE_TEST_CASE(each_item_is_decided_once_and_listed_in_order, BatchFixture)
{
    run(0);
    run(1);
    generate(0, 1);
    generate(1, 1);
    batch.complete(1);
    batch.complete(0);
    batch.complete(0);
    batch.terminate(0);
    const auto results = batch.nextResults(1);
    BOOST_TEST(results.size() == 1U);
    BOOST_TEST(results.at(0).id == "g0-1");
    batch.markListed(1);
    BOOST_TEST(batch.nextResults(1).at(0).id == "g0-0");
    batch.markListed(1);
    BOOST_TEST(!batch.hasPending());
    BOOST_TEST(batch.listedCount() == 2U);
}

// Guards against results that a new leader lists again.
BOOST_AUTO_TEST_CASE(items_with_listed_results_are_not_run_again)
{
    OpenBatch batch(makeIndex(), makeSubmission(1, 2), std::vector<std::string>{"g0-1"});
    BOOST_TEST((batch.progress(1).phase == ItemPhase::Decided));
    BOOST_TEST((batch.progress(0).phase == ItemPhase::Waiting));
    BOOST_TEST(batch.listedCount() == 1U);
    BOOST_TEST(!batch.hasPending());
}

BOOST_FIXTURE_TEST_CASE(carried_items_resume_their_text_if_its_versions_are_allowed, BatchFixture)
{
    run(0);
    run(1);
    run(2);
    generate(0, 2);
    batch.complete(0);
    generate(1, 1);
    const auto resumable = batch.resumableTexts();
    BOOST_TEST(resumable.size() == 4U);
    OpenBatch next(makeIndex(), makeSubmission(2, 2, 5), {});
    next.restoreTexts(resumable, rules);
    BOOST_TEST((next.progress(0).phase == ItemPhase::Decided));
    BOOST_TEST(next.progress(1).text.lastEventId() == 1U);
    OpenBatch newer(makeIndex(), makeSubmission(2, 2, 6), {});
    newer.restoreTexts(resumable, rules);
    BOOST_TEST((newer.progress(0).phase == ItemPhase::Waiting));
    BOOST_TEST(newer.progress(1).text.eventCount() == 0U);
}

BOOST_FIXTURE_TEST_CASE(texts_of_completely_listed_groups_are_not_resumable, BatchFixture)
{
    for (std::size_t i = 0; i < 2; ++i) {
        run(i);
        generate(i, 1);
        batch.complete(i);
    }
    BOOST_TEST(batch.resumableTexts().size() == 4U);
    batch.markListed(2);
    BOOST_TEST(batch.resumableTexts().size() == 2U);
}

// Guards against a terminated item that counts as complete in a later batch.
BOOST_FIXTURE_TEST_CASE(a_terminated_text_does_not_count_as_complete, BatchFixture)
{
    run(0);
    generate(0, 2);
    batch.terminate(0);
    OpenBatch next(makeIndex(), makeSubmission(2, 2), {});
    next.restoreTexts(batch.resumableTexts(), rules);
    BOOST_TEST((next.progress(0).phase == ItemPhase::Waiting));
}

BOOST_AUTO_TEST_CASE(batch_records_round_trip_through_their_encoding)
{
    BatchIndex index{"b1", "r", "h", "w", 1234567890123, 40, 2, false};
    BOOST_TEST((BatchRecords::decodeIndex(BatchRecords::encodeIndex(index)).value() == index));
    BOOST_TEST(BatchRecords::decodeIndex("{}").has_error());
    const std::vector<ItemResult> results{{"a", ItemOutcome::Completed, "text\n\"q\"", {1, 2}, "score"}, {"b", ItemOutcome::Terminated, {}, {}, {}}};
    const auto chunk = BatchRecords::decodeChunk(BatchRecords::encodeChunk({"w", 40, results}));
    BOOST_TEST((chunk.value().results == results));
    BOOST_TEST(chunk.value().workspace == "w");
    BOOST_TEST(chunk.value().itemCount == 40U);
    BOOST_TEST(BatchRecords::decodeChunk("[1]").has_error());
    BOOST_TEST(*BatchRecords::resultChunks("b1").numberOf(BatchRecords::resultKey("b1", 120)) == 120U);
    BOOST_TEST(BatchRecords::resultKey("b1", 9) < BatchRecords::resultKey("b1", 10));
    BOOST_TEST(!BatchRecords::resultChunks("b1").numberOf("batch/result/b1/x").has_value());
    const auto parts = BatchRecords::splitSubmission("abcdefg", 3);
    BOOST_TEST((parts == std::vector<std::string>{"abc", "def", "g"}));
    BOOST_TEST(BatchRecords::splitSubmission("", 3).size() == 1U);
}

// Guards against a result that is listed as completed before its text has been scored.
BOOST_AUTO_TEST_CASE(an_item_with_a_reward_request_is_decided_by_its_score)
{
    auto submission = makeSubmission(1, 2);
    submission.items[0].reward = RewardRequest{"r", "a.example", "/s/", "b"};
    const BatchRules rules{3, Milliseconds(40000), false};
    OpenBatch batch(makeIndex(), submission, {});
    BOOST_TEST(batch.unfinishedInGroup(0) == 2U);
    batch.acceptScore(0, "early");
    batch.progress(0).phase = ItemPhase::Running;
    batch.addEvent(0, 1, "e1", 5, rules);
    batch.complete(0);
    BOOST_TEST((batch.progress(0).phase == ItemPhase::Scoring));
    BOOST_TEST(!batch.hasPending());
    BOOST_TEST(batch.unfinishedInGroup(1) == 1U);
    batch.acceptScore(0, "signature");
    batch.acceptScore(0, "second copy");
    BOOST_TEST(batch.nextResults(1000).size() == 1U);
    BOOST_TEST(batch.nextResults(1000).at(0).score == "signature");
    BOOST_TEST(batch.nextResults(1000).at(0).text == "e1");
    batch.progress(1).phase = ItemPhase::Running;
    batch.addEvent(1, 1, "e1", 5, rules);
    batch.complete(1);
    BOOST_TEST(batch.isDecided());
    BOOST_TEST(batch.unfinishedInGroup(1) == 0U);
}

// Guards against a text that can never be scored and blocks its group until the batch ends.
BOOST_AUTO_TEST_CASE(an_item_whose_reward_calls_always_fail_is_terminated_after_the_attempts_of_its_route)
{
    auto submission = makeSubmission(1, 1);
    submission.items[0].reward = RewardRequest{"r", "a.example", "/s/", "b"};
    OpenBatch batch(makeIndex(), submission, {});
    batch.progress(0).phase = ItemPhase::Running;
    batch.addEvent(0, 1, "e1", 5, {});
    batch.complete(0);
    batch.recordRewardError(0, 3);
    batch.recordRewardError(0, 3);
    BOOST_TEST((batch.progress(0).phase == ItemPhase::Scoring));
    batch.recordRewardError(0, 3);
    BOOST_TEST(batch.isDecided());
    const auto result = batch.nextResults(1000).at(0);
    BOOST_TEST((result.outcome == ItemOutcome::Terminated));
    BOOST_TEST(result.score.empty());
}

// Guards against a text that a later batch takes over as scored although it has a reward request of its own.
BOOST_AUTO_TEST_CASE(a_carried_text_is_scored_again_for_its_new_batch)
{
    auto submission = makeSubmission(1, 2);
    submission.items[0].reward = RewardRequest{"r", "a.example", "/s/", "b"};
    OpenBatch first(makeIndex(), submission, {});
    first.progress(0).phase = ItemPhase::Running;
    first.addEvent(0, 1, "e1", 5, {});
    first.complete(0);
    first.acceptScore(0, "signature");
    OpenBatch second(makeIndex(), submission, {});
    second.restoreTexts(first.resumableTexts(), {});
    BOOST_TEST((second.progress(0).phase == ItemPhase::Scoring));
    BOOST_TEST(second.progress(0).text.eventCount() == 1U);
}

// Guards against an endpoint that sends events without end.
BOOST_AUTO_TEST_CASE(an_item_accepts_no_more_events_than_its_token_limit)
{
    auto submission = makeSubmission(1, 1);
    submission.items[0].tokens = 104;
    submission.items[0].promptTokens = 100;
    OpenBatch batch(makeIndex(), submission, {});
    batch.progress(0).phase = ItemPhase::Running;
    for (std::uint64_t id = 1; id <= 4; ++id) {
        BOOST_TEST(batch.addEvent(0, id, "e", 5, {}));
    }
    BOOST_TEST(!batch.addEvent(0, 5, "e", 5, {}));
}

// Guards against an item that another endpoint completes after the events of a faulty one: the text must be generated anew.
BOOST_AUTO_TEST_CASE(a_text_beyond_its_token_limit_is_discarded)
{
    auto submission = makeSubmission(1, 1);
    submission.items[0].tokens = 102;
    submission.items[0].promptTokens = 100;
    OpenBatch batch(makeIndex(), submission, {});
    batch.progress(0).phase = ItemPhase::Running;
    BOOST_TEST(batch.addEvent(0, 1, "e", 5, {}));
    BOOST_TEST(batch.addEvent(0, 2, "e", 5, {}));
    BOOST_TEST(!batch.addEvent(0, 3, "e", 5, {}));
    BOOST_TEST(batch.progress(0).text.eventCount() == 0U);
    BOOST_TEST(batch.textBytes() == 0U);
}

// Guards against a leader that runs out of memory under an endpoint whose whole events have no end.
BOOST_AUTO_TEST_CASE(a_text_that_would_not_fit_into_a_result_is_discarded)
{
    OpenBatch batch(makeIndex(), makeSubmission(1, 1), {});
    batch.progress(0).phase = ItemPhase::Running;
    const std::string data(64 * 1024, 'x');
    std::uint64_t id = 0;
    while (id < 100 && batch.addEvent(0, id + 1, data, 5, {})) {
        ++id;
    }
    BOOST_TEST(id * data.size() == TextLimit::MaxTextBytes);
    BOOST_TEST(batch.progress(0).text.eventCount() == 0U);
    BOOST_TEST(batch.textBytes() == 0U);
}

// Guards against texts of a faulty endpoint that are small enough each and use up the memory together.
BOOST_AUTO_TEST_CASE(long_texts_are_discarded_when_all_texts_together_exceed_their_limit)
{
    OpenBatch batch(makeIndex(), makeSubmission(1, 2), {});
    const std::string data(TextLimit::GuaranteedTextBytes, 'x');
    const auto others = TextLimit::MaxOpenTextBytes;
    BOOST_TEST(batch.addEvent(0, 1, data, 5, {}, others));
    BOOST_TEST(batch.addEvent(1, 1, data, 5, {}, others));
    BOOST_TEST(!batch.addEvent(0, 2, "e", 5, {}, others));
    BOOST_TEST(batch.textBytes() == data.size());
    BOOST_TEST(batch.progress(1).text.eventCount() == 1U);
}

// Guards against a batch that counts as ready for its trainer while a group that it waits for lacks an item.
BOOST_AUTO_TEST_CASE(wanted_groups_are_complete_only_with_all_their_items_and_all_carried_groups)
{
    BatchSubmission submission;
    submission.desiredGroups = 2;
    for (int i = 0; i < 6; ++i) {
        BatchItem item;
        item.id = "i" + std::to_string(i);
        item.group = "g" + std::to_string(i / 2);
        submission.items.push_back(item);
    }
    OpenBatch batch({}, submission, {"i0", "i1"});
    ResumableText carried;
    carried.itemId = "i4";
    batch.restoreTexts({carried}, {});
    const auto complete = [&batch](std::size_t i) {
        batch.progress(i).phase = ItemPhase::Running;
        batch.addEvent(i, 1, "text", 1, {});
        batch.complete(i);
    };
    complete(2);
    complete(3);
    BOOST_TEST(!batch.areWantedGroupsDecided());
    complete(4);
    complete(5);
    BOOST_TEST(batch.areWantedGroupsDecided());
    BOOST_TEST(!batch.areWantedGroupsListed());
    batch.markListed(4);
    BOOST_TEST(batch.areWantedGroupsListed());
    BOOST_TEST((batch.indexOf("i3") == std::optional<std::size_t>(3)));
    BOOST_TEST(!batch.indexOf("other"));
}

// Guards against a workspace that is given a text made for the prompt of another one, which has numbered its items alike.
BOOST_AUTO_TEST_CASE(a_text_goes_on_only_in_an_item_with_the_same_workspace_and_prompt)
{
    auto index = makeIndex();
    index.workspace = "w";
    index.host = "a.example";
    auto submission = makeSubmission(1, 2);
    submission.model = "m";
    submission.items[0].path = "/p";
    submission.items[0].body = "prompt";
    OpenBatch first(index, submission, {});
    first.progress(0).phase = ItemPhase::Running;
    first.addEvent(0, 1, "e1", 5, {});
    const auto carriesOver = [&first](const BatchIndex &nextIndex, const BatchSubmission &next) {
        OpenBatch batch(nextIndex, next, {});
        batch.restoreTexts(first.resumableTexts(), {});
        return batch.progress(0).text.eventCount() > 0;
    };
    auto resubmitted = submission;
    resubmitted.minimumVersion = 4;
    resubmitted.items[0].lengthHint = 9;
    BOOST_TEST(carriesOver(index, resubmitted));
    auto otherWorkspace = index;
    otherWorkspace.workspace = "v";
    BOOST_TEST(!carriesOver(otherWorkspace, submission));
    auto otherHost = index;
    otherHost.host = "b.example";
    BOOST_TEST(!carriesOver(otherHost, submission));
    for (const auto &change :
         {std::function<void(BatchSubmission &)>([](BatchSubmission &next) { next.model = "n"; }),
          std::function<void(BatchSubmission &)>([](BatchSubmission &next) { next.items[0].path = "/q"; }),
          std::function<void(BatchSubmission &)>([](BatchSubmission &next) { next.items[0].body = "other prompt"; }),
          std::function<void(BatchSubmission &)>([](BatchSubmission &next) { next.items[0].fields.add("Basilbend-Prompt-Prefix", "a1:40"); })}) {
        auto changed = submission;
        change(changed);
        BOOST_TEST(!carriesOver(index, changed));
    }
}

// Guards against a text of another workspace that hides the item's own text, because both bear the same id.
BOOST_AUTO_TEST_CASE(a_foreign_text_does_not_displace_the_own_text_of_an_item)
{
    const auto textOf = [](const std::string &workspace, const std::string &data) {
        auto index = makeIndex();
        index.workspace = workspace;
        OpenBatch batch(index, makeSubmission(1, 1), {});
        batch.progress(0).phase = ItemPhase::Running;
        batch.addEvent(0, 1, data, 5, {});
        return batch.resumableTexts().at(0);
    };
    auto index = makeIndex();
    index.workspace = "w";
    OpenBatch batch(index, makeSubmission(1, 1), {});
    batch.restoreTexts({textOf("v", "foreign"), textOf("w", "own")}, {});
    BOOST_TEST(batch.progress(0).text.joined() == "own");
}

// Guards against a leader that sends an item which a gateway of an earlier release has accepted and which holds another request.
BOOST_AUTO_TEST_CASE(an_item_that_cannot_be_sent_is_terminated_and_the_others_run)
{
    auto submission = makeSubmission(1, 3);
    for (auto &item : submission.items) {
        item.path = "/p";
    }
    submission.items[1].path = "/p HTTP/1.1\r\n\r\nPOST /q";
    OpenBatch batch(makeIndex(), submission, {});
    const auto invalid = batch.terminateInvalidItems();
    BOOST_REQUIRE(invalid.size() == 1U);
    BOOST_TEST(invalid[0].index == 1U);
    BOOST_TEST(invalid[0].reason.find("its path") == 0U);
    BOOST_TEST((batch.nextResults(1000).at(0).outcome == ItemOutcome::Terminated));
    BOOST_TEST(batch.waitingCount(Timestamp()) == 2U);
    BOOST_TEST(batch.terminateInvalidItems().empty());
}

// Guards against results that are refused for good, because together they do not fit into one value of the store.
BOOST_AUTO_TEST_CASE(results_listed_together_are_bounded_by_their_encoded_size)
{
    constexpr std::size_t MaxBytes = 100'000;
    BatchSubmission submission;
    for (int i = 0; i < 2000; ++i) {
        BatchItem item;
        item.id = std::string(200, i % 2 == 0 ? 'x' : '"') + std::to_string(i);
        item.group = item.id;
        submission.items.push_back(item);
    }
    OpenBatch batch(makeIndex(), submission, {});
    for (std::size_t i = 0; i < submission.items.size(); ++i) {
        batch.progress(i).phase = ItemPhase::Running;
        batch.addEvent(i, 1, i % 3 == 0 ? "\n\x01\xff" : "e", 5, {});
        batch.complete(i);
    }
    std::size_t listed = 0;
    while (batch.hasPending()) {
        const auto results = batch.nextResults(MaxBytes);
        const auto encoded = BatchRecords::encodeChunk({"w", 2000, results});
        BOOST_REQUIRE(encoded.size() <= MaxBytes);
        BOOST_REQUIRE(results.size() > 50U);
        listed += results.size();
        batch.markListed(results.size());
    }
    BOOST_TEST(listed == 2000U);
}

BOOST_AUTO_TEST_SUITE_END()
