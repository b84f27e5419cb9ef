#include "scheduling/batchadmission.h"

#include "base/random.h"
#include "batches/batchrecords.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace Basilbend;

namespace
{

constexpr std::size_t Limit = 1'000'000;

BatchIndex makeBatch(const std::string &id, const std::string &workspace, std::size_t bytes)
{
    BatchIndex index;
    index.id = id;
    index.workspace = workspace;
    index.bytes = bytes;
    return index;
}

struct AdmissionFixture {
    BatchAdmission admission{Limit};

    /// Loads what may be loaded and returns the ids, each followed by a space.
    std::string loadAll()
    {
        std::string ids;
        while (const auto index = admission.next()) {
            ids += index->id + " ";
            admission.finishLoad(index->id);
        }
        return ids;
    }
};

}

BOOST_AUTO_TEST_SUITE(scheduling, *boost::unit_test::label("scheduling"))

BOOST_FIXTURE_TEST_CASE(ordinary_batches_are_loaded_in_their_order, AdmissionFixture)
{
    for (const auto *id : {"c", "a", "b"}) {
        admission.add(makeBatch(id, "w", 10'000));
    }
    BOOST_TEST(loadAll() == "c a b ");
    BOOST_TEST(admission.waitingCount() == 0U);
}

// Guards against a workspace whose open batches use up the memory of each leader and so stop the batches of all others.
BOOST_FIXTURE_TEST_CASE(a_workspace_with_many_large_batches_does_not_keep_others_waiting, AdmissionFixture)
{
    for (int i = 0; i < 18; ++i) {
        admission.add(makeBatch("large" + std::to_string(i), "w", 200'000));
    }
    admission.add(makeBatch("small", "v", 100'000));
    admission.add(makeBatch("medium", "u", 300'000));
    BOOST_TEST(loadAll() == "large0 large1 small medium ");
    BOOST_TEST(admission.heldBytes() <= Limit);
    admission.remove("large0");
    BOOST_TEST(loadAll() == "large2 ");
    BOOST_TEST(admission.isWaiting("large3"));
    BOOST_TEST(!admission.contains("large0"));
}

// Guards against a workspace with little work that waits while large batches of others fill the memory.
BOOST_FIXTURE_TEST_CASE(a_workspace_that_holds_little_may_exceed_the_limit, AdmissionFixture)
{
    for (const auto *workspace : {"a", "b"}) {
        admission.add(makeBatch(std::string("large-") + workspace, workspace, 500'000));
    }
    admission.add(makeBatch("third", "c", 200'000));
    admission.add(makeBatch("little", "d", 100'000));
    BOOST_TEST(loadAll() == "large-a large-b little ");
}

// Guards against a batch that is never run because it alone is larger than the limit.
BOOST_FIXTURE_TEST_CASE(a_batch_of_any_size_is_loaded_when_nothing_else_is_held, AdmissionFixture)
{
    admission.add(makeBatch("huge", "w", 30 * Limit));
    admission.add(makeBatch("next", "w", 10));
    BOOST_TEST(loadAll() == "huge ");
    admission.remove("huge");
    BOOST_TEST(loadAll() == "next ");
}

// Guards against a leader that outgrows its memory because it loads all open batches at once when it takes over.
BOOST_FIXTURE_TEST_CASE(large_batches_are_loaded_one_after_the_other, AdmissionFixture)
{
    for (const auto *id : {"a", "b", "c"}) {
        admission.add(makeBatch(id, id, 200'000));
    }
    BOOST_TEST(admission.next()->id == "a");
    BOOST_TEST(!admission.next().has_value());
    admission.finishLoad("a");
    BOOST_TEST(admission.next()->id == "b");
    admission.remove("b");
    BOOST_TEST(admission.next()->id == "c");
}

// Guards against many tiny items, which hold many times the size of their text.
BOOST_AUTO_TEST_CASE(the_memory_of_a_batch_is_estimated_from_its_size_and_its_items)
{
    auto index = makeBatch("b", "w", 5000);
    BOOST_TEST(BatchAdmission::heldBytes(index) == 5000U);
    index.itemCount = 100;
    BOOST_TEST(BatchAdmission::heldBytes(index) > 50'000U);
    index.itemCount = 0;
    index.bytes = 0;
    index.parts = 2;
    BOOST_TEST(BatchAdmission::heldBytes(index) == 2 * BatchRecords::SubmissionPartBytes);
}

// Guards against a batch that waits for ever, and against memory that is counted for a batch that has gone.
BOOST_AUTO_TEST_CASE(whatever_comes_and_goes_the_memory_is_bounded_and_no_batch_waits_in_vain)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        Random random(seed);
        BatchAdmission admission(Limit);
        std::set<std::string> open;
        std::set<std::string> loaded;
        std::size_t largest = 0;
        for (int i = 0; i < 300; ++i) {
            if (random.below(3) > 0) {
                const auto id = "b" + std::to_string(i);
                const auto bytes = 1 + random.below(random.below(4) == 0 ? 2 * Limit : Limit / 20);
                largest = std::max<std::size_t>(largest, bytes);
                admission.add(makeBatch(id, "w" + std::to_string(random.below(5)), bytes));
                open.insert(id);
            } else if (!open.empty()) {
                auto it = open.begin();
                std::advance(it, static_cast<std::ptrdiff_t>(random.below(open.size())));
                admission.remove(*it);
                loaded.erase(*it);
                open.erase(it);
            }
            while (const auto index = admission.next()) {
                loaded.insert(index->id);
                admission.finishLoad(index->id);
            }
            BOOST_REQUIRE(admission.heldBytes() <= std::max(2 * Limit, largest + Limit));
            BOOST_REQUIRE(admission.waitingCount() == open.size() - loaded.size());
            BOOST_REQUIRE(!loaded.empty() || open.empty());
        }
        for (const auto &id : open) {
            admission.remove(id);
        }
        BOOST_REQUIRE(admission.heldBytes() == 0U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
