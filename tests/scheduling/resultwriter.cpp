#include "scheduling/resultwriter.h"

#include "batches/batchrecords.h"
#include "election/leaderelection.h"
#include "metadata/fakemetadatastore.h"

#include <boost/test/unit_test.hpp>

using namespace Basilbend;

namespace
{

struct WriterFixture {
    VirtualTime time{Timestamp(1'000'000)};
    FakeMetadataStore store{time};
    EventLog log{EventLogSettings(), [this] { return time.now(); }, [](std::string_view bytes) { return bytes.size(); }};
    std::uint64_t term = 0;
    int listedElsewhere = 0;
    std::shared_ptr<OpenBatch> batch = makeBatch();
    std::shared_ptr<ResultWriter> writer =
        std::make_shared<ResultWriter>(store, virtualLoop(time), log, batch, ResultWriter::Hooks{[this] { return term; }, [this] { ++listedElsewhere; }});

    WriterFixture()
    {
        store.put(LeaderElection::holderKey(), "me");
        term = store.peek(LeaderElection::holderKey())->revision;
    }

    static std::shared_ptr<OpenBatch> makeBatch()
    {
        BatchSubmission submission;
        for (int i = 0; i < 6; ++i) {
            BatchItem item;
            item.id = "i" + std::to_string(i);
            item.group = item.id;
            submission.items.push_back(item);
        }
        BatchIndex index;
        index.id = "b";
        return std::make_shared<OpenBatch>(index, submission, std::vector<std::string>());
    }

    void complete(std::size_t i)
    {
        batch->progress(i).phase = ItemPhase::Running;
        batch->addEvent(i, 1, "text " + std::to_string(i), 1, {});
        batch->complete(i);
    }
    void run(int ms)
    {
        for (int i = 0; i < ms; i += 50) {
            writer->poll();
            time.advance(Milliseconds(50));
        }
    }
    std::vector<std::string> listed() const
    {
        std::vector<std::string> ids;
        for (const auto &key : store.keysBelow(BatchRecords::resultChunks("b").prefix())) {
            const auto chunk = BatchRecords::decodeChunk(store.peek(key)->value);
            for (const auto &result : chunk.value().results) {
                ids.push_back(result.id);
            }
        }
        return ids;
    }
};

}

BOOST_AUTO_TEST_SUITE(scheduling, *boost::unit_test::label("scheduling"))

BOOST_FIXTURE_TEST_CASE(results_are_collected_and_listed_at_ascending_positions, WriterFixture)
{
    complete(3);
    complete(1);
    run(600);
    complete(0);
    run(600);
    BOOST_TEST((listed() == std::vector<std::string>{"i3", "i1", "i0"}));
    BOOST_TEST(store.keysBelow(BatchRecords::resultChunks("b").prefix()).size() == 2U);
}

// Guards against a result at two positions when the store executed a write and its response was lost.
BOOST_FIXTURE_TEST_CASE(a_lost_response_lists_no_result_twice, WriterFixture)
{
    store.faults.lostCommits = 2;
    complete(0);
    run(400);
    complete(1);
    run(2000);
    BOOST_TEST((listed() == std::vector<std::string>{"i0", "i1"}));
    BOOST_TEST(listedElsewhere == 0);
}

// Guards against a lease that is lost between a write and its response: the chunk may have been stored and must be repeated
// unchanged.
BOOST_FIXTURE_TEST_CASE(a_chunk_that_may_have_been_written_is_repeated_unchanged_under_a_new_term, WriterFixture)
{
    store.faults.lostCommits = 1;
    complete(0);
    run(350);
    term = 0;
    complete(1);
    complete(2);
    run(1000);
    store.put(LeaderElection::holderKey(), "me again");
    term = store.peek(LeaderElection::holderKey())->revision;
    run(2000);
    BOOST_TEST((listed() == std::vector<std::string>{"i0", "i1", "i2"}));
    BOOST_TEST(listedElsewhere == 0);
}

// Guards against a deposed leader that continues to list results.
BOOST_FIXTURE_TEST_CASE(no_result_is_listed_under_an_old_term, WriterFixture)
{
    store.put(LeaderElection::holderKey(), "another");
    complete(0);
    run(2000);
    BOOST_TEST(listed().empty());
}

BOOST_FIXTURE_TEST_CASE(results_of_another_leader_at_the_position_are_detected, WriterFixture)
{
    store.put(BatchRecords::resultKey("b", 0), BatchRecords::encodeChunk({"w", 6, {{"i5", ItemOutcome::Completed, "x", {1}, {}}}}));
    complete(0);
    run(1000);
    BOOST_TEST(listedElsewhere == 1);
    BOOST_TEST((listed() == std::vector<std::string>{"i5"}));
}

BOOST_FIXTURE_TEST_CASE(results_are_listed_after_a_store_outage, WriterFixture)
{
    store.faults.refuses = true;
    complete(0);
    run(3000);
    BOOST_TEST(listed().empty());
    store.faults.refuses = false;
    run(1000);
    BOOST_TEST((listed() == std::vector<std::string>{"i0"}));
}

// Guards against a leader that reports the absence of results to a reader while its own write may have been stored.
BOOST_FIXTURE_TEST_CASE(a_write_without_a_response_is_unconfirmed_until_its_outcome_is_known, WriterFixture)
{
    complete(0);
    run(1000);
    BOOST_TEST(!writer->hasUnconfirmedWrite());
    store.faults.doesNotAnswer = true;
    complete(1);
    run(800);
    BOOST_TEST(writer->hasUnconfirmedWrite());
    store.faults.doesNotAnswer = false;
    run(2500);
    BOOST_TEST(!writer->hasUnconfirmedWrite());
    BOOST_TEST(listed().size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
