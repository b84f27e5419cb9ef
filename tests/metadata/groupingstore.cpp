#include "metadata/groupingstore.h"

#include "metadata/fakemetadatastore.h"

#include <boost/test/unit_test.hpp>

using namespace Basilbend;

namespace
{

struct GroupingFixture {
    VirtualTime time{Timestamp(1'000'000)};
    FakeMetadataStore store{time};
    GroupingStore grouping{store, virtualLoop(time)};
    std::uint64_t term = 0;
    std::vector<MetadataStatus> replies;

    GroupingFixture()
    {
        store.put("leader", "me");
        term = store.peek("leader")->revision;
    }

    void write(const std::string &key, const std::string &value = "v")
    {
        grouping.commit({{{"leader", term}, {key, 0}}, {{key, value, 0}}, {}}, [this](const MetadataReply &reply) { replies.push_back(reply.status); });
    }

    std::size_t doneCount() const
    {
        return static_cast<std::size_t>(std::count(replies.begin(), replies.end(), MetadataStatus::Done));
    }
};

}

BOOST_AUTO_TEST_SUITE(metadata, *boost::unit_test::label("metadata"))

// Simulates eight batches whose results are due at the same time. Guards against store calls that grow with the number of
// batches.
BOOST_FIXTURE_TEST_CASE(changes_of_one_loop_iteration_go_to_the_store_in_one_call, GroupingFixture)
{
    for (int i = 0; i < 8; ++i) {
        write("k" + std::to_string(i));
    }
    time.advance(Milliseconds(20));
    BOOST_TEST(store.calls == 1);
    BOOST_TEST(doneCount() == 8U);
    BOOST_TEST(store.keysBelow("k").size() == 8U);
}

// Guards against a conflict of one batch that keeps the others from being listed.
BOOST_FIXTURE_TEST_CASE(a_conflict_of_one_change_does_not_fail_the_others, GroupingFixture)
{
    store.put("k1", "another");
    for (int i = 0; i < 3; ++i) {
        write("k" + std::to_string(i));
    }
    time.advance(Milliseconds(50));
    BOOST_TEST(doneCount() == 2U);
    BOOST_TEST(store.peek("k0")->value == "v");
    BOOST_TEST(store.peek("k1")->value == "another");
    BOOST_TEST(store.peek("k2")->value == "v");
}

BOOST_FIXTURE_TEST_CASE(a_former_leader_writes_nothing, GroupingFixture)
{
    store.put("leader", "another");
    write("k0");
    write("k1");
    time.advance(Milliseconds(50));
    BOOST_TEST(doneCount() == 0U);
    BOOST_TEST(replies.size() == 2U);
    BOOST_TEST(store.keysBelow("k").empty());
}

// Guards against a call that the store refuses because it exceeds a limit of the store.
BOOST_FIXTURE_TEST_CASE(a_call_stays_within_the_limits_of_the_store, GroupingFixture)
{
    for (int i = 0; i < 20; ++i) {
        write("k" + std::to_string(i));
    }
    time.advance(Milliseconds(20));
    // Each call holds the precondition on the leader key once, plus two entries per change.
    BOOST_TEST(store.calls == 2);
    BOOST_TEST(doneCount() == 20U);
    write("large-1", std::string(GroupingStore::MaxBytes, 'x'));
    write("large-2", std::string(GroupingStore::MaxBytes, 'x'));
    time.advance(Milliseconds(20));
    BOOST_TEST(store.calls == 4);
    BOOST_TEST(doneCount() == 22U);
}

BOOST_FIXTURE_TEST_CASE(a_lost_answer_is_reported_to_each_caller, GroupingFixture)
{
    store.faults.lostCommits = 1;
    write("k0");
    write("k1");
    time.advance(Milliseconds(2000));
    BOOST_TEST(replies.size() == 2U);
    BOOST_TEST((replies.front() == MetadataStatus::Unknown));
    BOOST_TEST(store.keysBelow("k").size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
