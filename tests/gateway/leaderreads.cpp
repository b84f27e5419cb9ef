#include "election/leaderelection.h"
#include "gateway/batchfixture.h"
#include "scheduling/resultserver.h"

#include <boost/test/unit_test.hpp>
#include <optional>

using namespace Basilbend;

namespace
{

/// A leading scheduler that has opened the batch "b1" and serves its results.
struct Leader {
    Leader(asio::io_context &io, VirtualTime &time)
        : results(virtualLoop(time), {[this] { return isLeading; }, [this](const std::string &) { return isCertain; }})
        , server(io, "127.0.0.1:0", defaultServerHooks([this](const std::shared_ptr<ServerExchange> &exchange) {
                     ++reads;
                     if (!doesNotAnswer) {
                         results.serve(exchange);
                     }
                 }))
    {
    }

    std::string record() const
    {
        return encodeLeaderRecord({"node", "life", 1, "127.0.0.1:" + std::to_string(server.port())});
    }

    bool isLeading = true;
    bool isCertain = true;
    bool doesNotAnswer = false;
    int reads = 0;
    ResultServer results;
    WebServer server;
};

ItemResult result(const std::string &id)
{
    return {id, ItemOutcome::Completed, "t " + id, {1}, {}};
}

struct LeaderFixture : BatchFixture {
    Leader leader{io, time};

    LeaderFixture()
    {
        submit(0);
        run(50);
        store.put(LeaderElection::holderKey(), leader.record());
        BatchIndex index;
        index.id = "b1";
        index.workspace = "w";
        index.itemCount = 2;
        leader.results.open(index, 0);
        // Makes the gateway look up the leader.
        read(1, 0);
        run(1200);
    }

    /// Lists a result in the order of the leader: first in the store, then in memory.
    void listAtLeader(std::size_t position, const std::string &id)
    {
        list(position, id);
        leader.results.addListed("b1", {result(id)});
    }
};

}

BOOST_AUTO_TEST_SUITE(gateway, *boost::unit_test::label("gateway"))

// Simulates a trainer that reads the results of its step at a gateway. Guards against store calls that grow with the number of
// reads.
BOOST_FIXTURE_TEST_CASE(results_are_read_from_the_leader_without_store_calls, LeaderFixture)
{
    const auto early = read(1, 0, "1000");
    run(100);
    BOOST_TEST(!early->ended);
    listAtLeader(0, "i2");
    const auto before = store.calls;
    run(50);
    BOOST_TEST(early->status == 200);
    BOOST_TEST(early->json()["results"][0]["id"] == "i2");
    BOOST_TEST(early->json()["total"] == 2);
    for (int i = 0; i < 10; ++i) {
        const auto again = read(1, i % 2, "100");
        run(150);
        BOOST_TEST(again->status == 200);
        BOOST_TEST(again->json()["next"] == 1);
    }
    // The gateway's own watches cause less than one store call per second.
    BOOST_TEST(store.calls - before <= 4);
}

// Guards against a page that lacks results in the store which another gateway has already returned.
BOOST_FIXTURE_TEST_CASE(the_store_is_read_if_the_leader_cannot_prove_its_leadership, LeaderFixture)
{
    leader.isCertain = false;
    list(0, "i2");
    const auto response = read(1, 0, "100");
    run(400);
    BOOST_TEST(response->status == 200);
    BOOST_TEST(response->json()["results"].size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_leader_without_response_delays_one_read_briefly_and_later_reads_not_at_all, LeaderFixture)
{
    listAtLeader(0, "i2");
    leader.doesNotAnswer = true;
    const auto first = read(1, 0, "0");
    run(450);
    BOOST_TEST(first->status == 200);
    BOOST_TEST(first->json()["results"].size() == 1U);
    const auto next = read(1, 0, "0");
    run(50);
    BOOST_TEST(next->status == 200);
}

// Guards against reads that are still sent to a process after it has lost its leadership.
BOOST_FIXTURE_TEST_CASE(the_store_is_read_until_the_successor_of_a_leader_is_found, LeaderFixture)
{
    listAtLeader(0, "i2");
    leader.isLeading = false;
    leader.results.clear();
    Leader successor(io, time);
    store.put(LeaderElection::holderKey(), successor.record());
    const auto meanwhile = read(1, 0, "0");
    run(50);
    BOOST_TEST(meanwhile->status == 200);
    BOOST_TEST(meanwhile->json()["results"].size() == 1U);
    run(1200);
    read(1, 0, "0");
    run(50);
    BatchIndex index;
    index.id = "b1";
    index.workspace = "w";
    index.itemCount = 2;
    // The successor does not hold the texts of results that were listed before it became the leader.
    successor.results.open(index, 1);
    const auto known = read(1, 0, "0");
    const auto later = read(1, 1, "200");
    run(300);
    BOOST_TEST(known->json()["results"].size() == 1U);
    BOOST_TEST(later->json()["results"].empty());
    BOOST_TEST(successor.reads >= 2);
}

BOOST_FIXTURE_TEST_CASE(results_from_the_leader_are_not_returned_to_another_workspace, LeaderFixture)
{
    listAtLeader(0, "i2");
    const auto foreign = read(1, 0, "0", "l");
    run(50);
    BOOST_TEST(foreign->status == 404);
}

BOOST_FIXTURE_TEST_CASE(a_batch_closed_at_the_leader_is_read_from_the_store, LeaderFixture)
{
    listAtLeader(0, "i2");
    const auto waiting = read(1, 1, "1000");
    run(50);
    leader.results.close("b1");
    list(1, "i1");
    run(100);
    BOOST_TEST(waiting->status == 200);
    BOOST_TEST(waiting->json()["results"][0]["id"] == "i1");
}

// Guards against a leader that exceeds its memory with the result texts of many steps.
BOOST_FIXTURE_TEST_CASE(a_leader_keeps_the_newest_result_texts_up_to_its_limit, LeaderFixture)
{
    constexpr std::size_t Results = 40;
    BatchIndex index;
    index.id = "large";
    index.workspace = "w";
    index.itemCount = Results + 1;
    leader.results.open(index, 0);
    const std::string text(1024 * 1024, 'x');
    for (std::size_t i = 0; i < Results; ++i) {
        leader.results.addListed("large", {{"i" + std::to_string(i), ItemOutcome::Completed, text, {1}, {}}});
        BOOST_TEST(leader.results.cachedBytes() <= ResultServer::MaxBytes);
    }
    std::optional<int> oldest;
    std::optional<int> newest;
    const auto ask = [this](std::size_t position, std::optional<int> &status) {
        CallHooks hooks;
        hooks.onHead = [&status](const ResponseHead &head) { status = head.status; };
        hooks.onBody = [](std::string_view) {};
        hooks.onEnd = [](CallOutcome) {};
        const RequestMessage request{
            "GET", ResultServer::Path, {{"Host", "l"}, {ResultServer::BatchField, "large"}, {ResultServer::AfterField, std::to_string(position)}}, {}};
        calls.push_back(client.send({asio::ip::make_address("127.0.0.1"), leader.server.port()}, request, std::move(hooks), Milliseconds(500)));
    };
    ask(0, oldest);
    ask(Results - 1, newest);
    run(200);
    BOOST_TEST((oldest == ResultServer::NotKnownStatus));
    BOOST_TEST((newest == 200));
    leader.results.close("large");
    BOOST_TEST(leader.results.cachedBytes() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
