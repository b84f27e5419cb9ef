#include "scheduling/batchcleaner.h"
#include "scheduling/batchloader.h"
#include "scheduling/batchwatch.h"
#include "scheduling/progresswriter.h"
#include "scheduling/startrule.h"

#include "batches/batchrecords.h"
#include "election/leaderelection.h"
#include "metadata/fakemetadatastore.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace Basilbend;

namespace
{

constexpr const char *SubmissionText = R"({"model":"m","minimum_version":5,"items":[{"id":"i1","path":"/p"},{"id":"i2","path":"/p"},{"id":"i3","path":"/p"}]})";

struct StoredBatchFixture {
    VirtualTime time{Timestamp(1'000'000)};
    FakeMetadataStore store{time};
    EventLog log{EventLogSettings(), [this] { return time.now(); }, [](std::string_view bytes) { return bytes.size(); }};
    std::uint64_t term = 0;
    BatchIndex index = makeIndex();

    StoredBatchFixture()
    {
        store.put(LeaderElection::holderKey(), "me");
        term = store.peek(LeaderElection::holderKey())->revision;
        write();
    }

    static BatchIndex makeIndex()
    {
        BatchIndex result;
        result.id = "b";
        result.submittedAtMs = 1'000'000;
        result.itemCount = 3;
        result.parts = 2;
        return result;
    }

    void write()
    {
        const std::string text = SubmissionText;
        store.put(BatchRecords::indexKey("b"), BatchRecords::encodeIndex(index));
        store.put(BatchRecords::submissionKey("b", 0), text.substr(0, 40));
        store.put(BatchRecords::submissionKey("b", 1), text.substr(40));
    }

    std::optional<LoadedBatch> load(int ms = 200)
    {
        std::optional<LoadedBatch> loaded;
        const auto loader =
            std::make_shared<BatchLoader>(store, virtualLoop(time), log, index, [&loaded](Result<LoadedBatch> batch) { loaded = batch.value(); });
        loader->start();
        time.advance(Milliseconds(ms));
        loader->cancel();
        return loaded;
    }
};

}

BOOST_AUTO_TEST_SUITE(scheduling, *boost::unit_test::label("scheduling"))

BOOST_FIXTURE_TEST_CASE(a_batch_with_listed_results_is_loaded_despite_a_store_outage, StoredBatchFixture)
{
    store.put(BatchRecords::resultKey("b", 0), BatchRecords::encodeChunk({"w", 3, {{"i2", ItemOutcome::Completed, "t", {5}, {}}}}));
    store.faults.refuses = true;
    time.schedule(Milliseconds(1500), [this] { store.faults.refuses = false; });
    const auto loaded = load(3000);
    BOOST_REQUIRE(loaded.has_value());
    BOOST_TEST(loaded->batch->submission().items.size() == 3U);
    BOOST_TEST(loaded->batch->listedCount() == 1U);
    BOOST_TEST((loaded->batch->progress(1).phase == ItemPhase::Decided));
}

// Guards against long samples that a new leader starts again: they would finish after the time of the step.
BOOST_FIXTURE_TEST_CASE(a_new_leader_continues_long_items_after_their_stored_progress, StoredBatchFixture)
{
    auto first = load();
    const auto writer = std::make_shared<ProgressWriter>(store, virtualLoop(time), log, first->batch, [this] { return term; });
    first->batch->progress(0).phase = ItemPhase::Running;
    for (std::uint64_t id = 1; id <= 40; ++id) {
        first->batch->addEvent(0, id, "e" + std::to_string(id), id < 20 ? 5 : 6, {});
    }
    for (int i = 0; i < 40; ++i) {
        writer->poll();
        time.advance(Milliseconds(100));
    }
    BOOST_TEST(store.peek(BatchRecords::progressKey("b")) != nullptr);
    auto second = load();
    second->batch->restoreTexts(second->progress, {});
    BOOST_TEST(second->batch->progress(0).text.lastEventId() == 40U);
    BOOST_TEST((second->batch->progress(0).text.versions() == std::vector<std::uint64_t>{5, 6}));
    BOOST_TEST(second->batch->progress(2).text.eventCount() == 0U);
    second->batch->progress(0).phase = ItemPhase::Running;
    BOOST_TEST(second->batch->addEvent(0, 41, "e41", 6, {}));
    second->batch->complete(0);
    const auto text = second->batch->nextResults(10000).at(0).text;
    BOOST_TEST(text.substr(0, 6) == "e1\ne2\n");
    BOOST_TEST(text.substr(text.size() - 4) == "\ne41");
}

// Guards against a new leader that reads the texts of all results before it starts a run: they are most of the stored data.
BOOST_FIXTURE_TEST_CASE(a_new_leader_does_not_read_results_named_by_the_progress_record, StoredBatchFixture)
{
    auto first = load();
    const auto writer = std::make_shared<ProgressWriter>(store, virtualLoop(time), log, first->batch, [this] { return term; });
    store.put(BatchRecords::resultKey("b", 0), BatchRecords::encodeChunk({"w", 3, {{"i2", ItemOutcome::Completed, "t", {5}, {}}}}));
    first->batch->progress(1).phase = ItemPhase::Running;
    first->batch->complete(1);
    first->batch->markListed(1);
    first->batch->progress(0).phase = ItemPhase::Running;
    first->batch->addEvent(0, 1, "e1", 5, {});
    time.advance(Milliseconds(3000));
    writer->poll();
    time.advance(Milliseconds(100));
    // Listed after the progress record was written.
    store.put(BatchRecords::resultKey("b", 1), BatchRecords::encodeChunk({"w", 3, {{"i3", ItemOutcome::Completed, "t", {5}, {}}}}));
    store.put(BatchRecords::resultKey("b", 0), "unreadable");
    const auto second = load();
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST((second->batch->listed() == std::vector<std::string>{"i2", "i3"}));
    BOOST_TEST((second->batch->progress(1).phase == ItemPhase::Decided));
    BOOST_TEST((second->batch->progress(0).phase == ItemPhase::Waiting));
}

// Guards against a new leader that generates a complete text again although only its score is missing.
BOOST_FIXTURE_TEST_CASE(a_new_leader_scores_a_complete_text_without_generating_it_again, StoredBatchFixture)
{
    const std::string text =
        R"({"model":"m","minimum_version":5,"items":[{"id":"i1","path":"/p","scorer":{"id":"r","host":"h","path":"/s/"}},{"id":"i2","path":"/p"}]})";
    store.put(BatchRecords::submissionKey("b", 0), text.substr(0, 40));
    store.put(BatchRecords::submissionKey("b", 1), text.substr(40));
    auto first = load();
    const auto writer = std::make_shared<ProgressWriter>(store, virtualLoop(time), log, first->batch, [this] { return term; });
    first->batch->progress(0).phase = ItemPhase::Running;
    first->batch->addEvent(0, 1, "e1", 5, {});
    first->batch->complete(0);
    time.advance(Milliseconds(3000));
    writer->poll();
    time.advance(Milliseconds(100));
    auto second = load();
    second->batch->restoreTexts(second->progress, {});
    BOOST_TEST((second->batch->progress(0).phase == ItemPhase::Scoring));
    second->batch->acceptScore(0, "signature");
    BOOST_TEST(second->batch->nextResults(1000).at(0).text == "e1");
}

// A new leader opens batches while the store is slow. Guards against reads that wait for each other without need.
BOOST_FIXTURE_TEST_CASE(a_new_leader_opens_a_batch_within_the_latency_of_two_store_calls, StoredBatchFixture)
{
    auto first = load();
    const auto writer = std::make_shared<ProgressWriter>(store, virtualLoop(time), log, first->batch, [this] { return term; });
    first->batch->progress(0).phase = ItemPhase::Running;
    first->batch->addEvent(0, 1, "e1", 5, {});
    time.advance(Milliseconds(3000));
    writer->poll();
    time.advance(Milliseconds(100));
    store.latency = Milliseconds(280);
    const auto second = load(2 * 280 + 20);
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST(second->batch->submission().items.size() == 3U);
    BOOST_TEST(second->progress.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(an_unreadable_progress_record_does_not_fail_the_batch, StoredBatchFixture)
{
    time.advance(Milliseconds(2000));
    store.put(BatchRecords::progressKey("b"), "not json");
    const auto loaded = load();
    BOOST_REQUIRE(loaded.has_value());
    BOOST_TEST(loaded->progress.empty());
}

BOOST_FIXTURE_TEST_CASE(a_deposed_leader_writes_no_progress, StoredBatchFixture)
{
    auto loaded = load();
    const auto writer = std::make_shared<ProgressWriter>(store, virtualLoop(time), log, loaded->batch, [this] { return term; });
    store.put(LeaderElection::holderKey(), "another");
    loaded->batch->progress(0).phase = ItemPhase::Running;
    loaded->batch->addEvent(0, 1, "e1", 5, {});
    time.advance(Milliseconds(3000));
    writer->poll();
    time.advance(Milliseconds(100));
    BOOST_TEST(store.peek(BatchRecords::progressKey("b")) == nullptr);
}

// Guards against a store that fills with old batches, and against results that are removed while they may still be read.
BOOST_FIXTURE_TEST_CASE(expired_batches_are_removed_completely, StoredBatchFixture)
{
    for (std::size_t position = 0; position < 70; ++position) {
        store.put(BatchRecords::resultKey("b", position), "chunk");
    }
    index.ended = true;
    BatchCleaner cleaner(store, virtualLoop(time), log, [this] { return term; });
    cleaner.track(index);
    time.advance(BatchCleaner::EndedRetention - Milliseconds(1000));
    cleaner.poll();
    time.advance(Milliseconds(500));
    BOOST_TEST(store.keysBelow("batch/").size() == 73U);
    time.advance(Milliseconds(2000));
    cleaner.poll();
    time.advance(Milliseconds(1000));
    BOOST_TEST(store.keysBelow("batch/").empty());
}

BOOST_FIXTURE_TEST_CASE(an_open_batch_outlives_ended_ones_and_a_deposed_leader_removes_nothing, StoredBatchFixture)
{
    BatchCleaner cleaner(store, virtualLoop(time), log, [this] { return term; });
    cleaner.track(index);
    time.advance(BatchCleaner::EndedRetention * 2);
    cleaner.poll();
    time.advance(Milliseconds(500));
    BOOST_TEST(store.keysBelow("batch/").size() == 3U);
    // Results stay readable while their batch is open, so its age does not matter.
    time.advance(Milliseconds(2 * 3600 * 1000));
    cleaner.poll();
    time.advance(Milliseconds(500));
    BOOST_TEST(store.keysBelow("batch/").size() == 3U);
    index.ended = true;
    cleaner.track(index);
    store.put(LeaderElection::holderKey(), "another");
    cleaner.poll();
    time.advance(Milliseconds(500));
    BOOST_TEST(store.keysBelow("batch/").size() == 3U);
}

// Guards against an item that reaches an endpoint after its client has ended the batch: an overloaded leader, for example
// with 300 hosts and 3,000 endpoints, reads the end of a batch seconds late.
BOOST_FIXTURE_TEST_CASE(no_run_is_started_on_an_outdated_batch_state, StoredBatchFixture)
{
    const StartRule rule;
    int opened = 0;
    BatchWatch watch(store,
                     virtualLoop(time),
                     log,
                     BatchAdmission(1'000'000),
                     {[this] { return term; }, [&opened](const std::string &, const LoadedBatch &) { ++opened; }, [](const std::string &) {}});
    BOOST_TEST(!rule.mayStart(watch.lastConfirmedAt(), time.now()));
    watch.start();
    time.advance(Milliseconds(500));
    BOOST_TEST(opened == 1);
    // A store without changes confirms the state repeatedly.
    for (int i = 0; i < 60; ++i) {
        time.advance(Milliseconds(100));
        BOOST_TEST(rule.mayStart(watch.lastConfirmedAt(), time.now()));
    }
    store.faults.doesNotAnswer = true;
    time.advance(Milliseconds(2500));
    BOOST_TEST(!rule.mayStart(watch.lastConfirmedAt(), time.now()));
    store.faults.doesNotAnswer = false;
    time.advance(Milliseconds(3000));
    BOOST_TEST(rule.mayStart(watch.lastConfirmedAt(), time.now()));
}

// Guards against a leader that outgrows its memory under batches that were all accepted, and against one of them that is forgotten.
BOOST_FIXTURE_TEST_CASE(open_batches_beyond_the_memory_wait_until_earlier_ones_have_ended_or_are_listed, StoredBatchFixture)
{
    index.bytes = 400'000;
    write();
    for (const auto *id : {"c", "d"}) {
        auto later = index;
        later.id = id;
        store.put(BatchRecords::submissionKey(id, 0), SubmissionText);
        store.put(BatchRecords::indexKey(id), BatchRecords::encodeIndex(later));
    }
    std::vector<std::string> opened;
    BatchWatch watch(store,
                     virtualLoop(time),
                     log,
                     BatchAdmission(1'000'000),
                     {[this] { return term; }, [&opened](const std::string &id, const LoadedBatch &) { opened.push_back(id); }, [](const std::string &) {}});
    watch.start();
    time.advance(Milliseconds(2000));
    BOOST_TEST((opened == std::vector<std::string>{"b"}));
    index.ended = true;
    store.put(BatchRecords::indexKey("b"), BatchRecords::encodeIndex(index));
    time.advance(Milliseconds(1000));
    BOOST_TEST((opened == std::vector<std::string>{"b", "c"}));
    watch.release("c");
    time.advance(Milliseconds(1000));
    BOOST_TEST((opened == std::vector<std::string>{"b", "c", "d"}));
}

// Guards against results that are listed twice: a new leader took the progress of a batch whose id begins with this one.
BOOST_FIXTURE_TEST_CASE(a_batch_is_loaded_without_the_records_of_batches_whose_ids_begin_with_its_own, StoredBatchFixture)
{
    time.advance(Milliseconds(2000));
    const auto chunk = BatchRecords::encodeChunk({"w", 3, {{"i2", ItemOutcome::Completed, "t", {5}, {}}}});
    for (const auto *id : {"b0", "b/0", "b/00000001"}) {
        store.put(BatchRecords::progressKey(id), encodeProgress({{"i1", "i3"}, {}}));
        store.put(BatchRecords::submissionKey(id, 0), "another submission");
        store.put(BatchRecords::resultKey(id, 0), chunk);
    }
    store.pageItems = 1;
    const auto loaded = load();
    BOOST_REQUIRE(loaded.has_value());
    BOOST_TEST(loaded->batch->submission().items.size() == 3U);
    BOOST_TEST(loaded->batch->listedCount() == 0U);
}

// Guards against the removal of the progress of a running batch, whose items a new leader would then run again from the start.
BOOST_FIXTURE_TEST_CASE(the_removal_of_a_batch_leaves_those_whose_ids_begin_with_its_own, StoredBatchFixture)
{
    std::vector<std::string> kept;
    for (const auto *id : {"b0", "b/0", "b/00000001"}) {
        for (const auto &key : {BatchRecords::progressKey(id), BatchRecords::submissionKey(id, 0), BatchRecords::resultKey(id, 0)}) {
            store.put(key, "of another batch");
            kept.push_back(key);
        }
    }
    std::sort(kept.begin(), kept.end());
    store.put(BatchRecords::progressKey("b"), "progress");
    store.put(BatchRecords::resultKey("b", 0), "chunk");
    store.pageItems = 1;
    index.ended = true;
    BatchCleaner cleaner(store, virtualLoop(time), log, [this] { return term; });
    cleaner.track(index);
    time.advance(BatchCleaner::EndedRetention + Milliseconds(1000));
    cleaner.poll();
    time.advance(Milliseconds(1000));
    BOOST_TEST((store.keysBelow("batch/") == kept));
}

// Guards against positions that are listed twice after an earlier release has stored the progress of another batch for this one.
BOOST_FIXTURE_TEST_CASE(a_progress_record_with_results_of_another_batch_is_replaced_by_the_results_themselves, StoredBatchFixture)
{
    time.advance(Milliseconds(2000));
    store.put(BatchRecords::resultKey("b", 0), BatchRecords::encodeChunk({"w", 3, {{"i2", ItemOutcome::Completed, "t", {5}, {}}}}));
    for (const auto &listed : std::vector<std::vector<std::string>>{{"x1", "x2"}, {"i2", "i2"}, {"i1", "i2", "i3", "x1"}}) {
        store.put(BatchRecords::progressKey("b"), encodeProgress({listed, {}}));
        const auto loaded = load();
        BOOST_REQUIRE(loaded.has_value());
        BOOST_TEST((loaded->batch->listed() == std::vector<std::string>{"i2"}));
    }
    // The results continue at another position than the record says.
    store.put(BatchRecords::resultKey("b", 0),
              BatchRecords::encodeChunk({"w", 3, {{"i2", ItemOutcome::Completed, "t", {5}, {}}, {"i3", ItemOutcome::Completed, "t", {5}, {}}}}));
    store.put(BatchRecords::resultKey("b", 2), BatchRecords::encodeChunk({"w", 3, {{"i1", ItemOutcome::Completed, "t", {5}, {}}}}));
    store.put(BatchRecords::progressKey("b"), encodeProgress({{"i1"}, {}}));
    const auto loaded = load();
    BOOST_REQUIRE(loaded.has_value());
    BOOST_TEST((loaded->batch->listed() == std::vector<std::string>{"i2", "i3", "i1"}));
}

BOOST_AUTO_TEST_SUITE_END()
