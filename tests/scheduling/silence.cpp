#include "scheduling/silencerule.h"

#include "http/scriptedendpoint.h"
#include "scheduling/itemrun.h"

#include "base/systemclock.h"

#include <boost/test/unit_test.hpp>
#include <optional>

using namespace Basilbend;

namespace
{

struct RunFixture {
    asio::io_context io;
    VirtualTime time{Timestamp(1'000'000)};
    FakeMetadataStore store{time};
    ScriptedEndpoint endpoint{io, store, "i-1"};
    WebClient client{io, systemNow};
    std::vector<std::uint64_t> events;
    std::optional<RunEnd> end;
    std::unique_ptr<ItemRun> itemRun;

    void start()
    {
        EndpointRecord record;
        record.id = "i-1";
        record.address = "127.0.0.1:" + std::to_string(endpoint.server.port());
        ItemRunHooks hooks;
        hooks.onEvent = [this](std::uint64_t id, const std::string &, std::uint64_t) {
            events.push_back(id);
            return true;
        };
        hooks.onEnd = [this](RunEnd how, int) { end = how; };
        itemRun = std::make_unique<ItemRun>(client, virtualLoop(time), record, 1, std::move(hooks));
        BatchItem item;
        item.id = "item";
        item.path = "/p";
        ConnectionHistory connections;
        itemRun->start(item, BatchIndex(), {}, connections);
    }

    void run(int ms)
    {
        for (int i = 0; i < ms; i += 10) {
            io.restart();
            io.run_for(std::chrono::milliseconds(1));
            time.advance(Milliseconds(10));
        }
    }

    /// Sends the parts one after the other with a pause between them.
    void sendParts(std::vector<std::string> parts, Milliseconds pause)
    {
        endpoint.onRequest = [this, parts = std::move(parts), pause](const ExchangePtr &exchange) {
            exchange->beginStream({200, {{"Basilbend-Attempt-Id", "item"}, {"Basilbend-Server-Signature", "s"}}});
            for (std::size_t i = 0; i < parts.size(); ++i) {
                time.schedule(pause * static_cast<int>(i), [exchange, part = parts[i]] { exchange->sendChunk(part); });
            }
        };
        start();
    }
};

}

BOOST_AUTO_TEST_SUITE(scheduling, *boost::unit_test::label("scheduling"))

BOOST_AUTO_TEST_CASE(the_silence_timeout_follows_the_event_interval_of_the_endpoint)
{
    BOOST_TEST((silenceTimeout(0, 0) == MinSilenceTimeout));
    BOOST_TEST((silenceTimeout(50, 0) == MinSilenceTimeout));
    BOOST_TEST(silenceTimeout(400, 0).count() == 4800);
    BOOST_TEST((silenceTimeout(9000, 0) == MaxSilenceTimeout));
}

// Guards against endpoints so slow that every run is cancelled before its first event.
BOOST_AUTO_TEST_CASE(an_item_whose_runs_return_no_event_gets_more_time)
{
    BOOST_TEST((silenceTimeout(0, 1) == 2 * MinSilenceTimeout));
    BOOST_TEST((silenceTimeout(0, 2) == 4 * MinSilenceTimeout));
    BOOST_TEST((silenceTimeout(0, 20) == MaxSilenceTimeout));
}

// Guards against a stalled run that is kept open by occasional bytes: comments, and parts of an event.
BOOST_FIXTURE_TEST_CASE(bytes_that_complete_no_event_are_not_progress, RunFixture)
{
    std::vector<std::string> parts = {"id: 1\ndata: a\n\n"};
    for (int i = 0; i < 20; ++i) {
        parts.emplace_back(": comment\n\n");
        parts.emplace_back("d");
        parts.emplace_back("ata: x\n");
    }
    sendParts(parts, Milliseconds(100));
    run(3000);
    BOOST_TEST(events.size() == 1U);
    BOOST_TEST((time.now() - itemRun->lastProgressAt() >= MinSilenceTimeout));
}

// Guards against a slow but working run that is cancelled.
BOOST_FIXTURE_TEST_CASE(each_complete_event_is_progress, RunFixture)
{
    std::vector<std::string> parts;
    for (int i = 1; i <= 5; ++i) {
        parts.push_back("id: " + std::to_string(i) + "\ndata: a\n\n");
    }
    sendParts(parts, Milliseconds(700));
    for (int i = 0; i < 30; ++i) {
        run(100);
        BOOST_TEST((time.now() - itemRun->lastProgressAt() < silenceTimeout(700, 0)));
    }
    BOOST_TEST(events.size() == 5U);
}

// Guards against a line without end that fills the memory of the process.
BOOST_FIXTURE_TEST_CASE(an_endless_line_ends_a_run_as_oversized, RunFixture)
{
    sendParts(std::vector<std::string>(40, std::string(32 * 1024, 'x')), Milliseconds(10));
    run(1000);
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST((*end == RunEnd::Oversized));
    BOOST_TEST(events.empty());
}

BOOST_AUTO_TEST_SUITE_END()
