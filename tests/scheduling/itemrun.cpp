#include "scheduling/itemrun.h"

#include "base/systemclock.h"
#include "http/scriptedendpoint.h"

#include <boost/test/unit_test.hpp>
#include <optional>

using namespace Basilbend;

BOOST_AUTO_TEST_SUITE(scheduling, *boost::unit_test::label("scheduling"))

// Guards against items that are sent to an endpoint after it has announced in a response that it leaves.
BOOST_AUTO_TEST_CASE(a_run_reports_that_its_endpoint_leaves_and_continues)
{
    asio::io_context io;
    VirtualTime time{Timestamp(1'000'000)};
    FakeMetadataStore store{time};
    ScriptedEndpoint endpoint{io, store, "i-1"};
    endpoint.onRequest = [](const ExchangePtr &exchange) {
        exchange->beginStream({200, {{"Content-Type", "text/event-stream"}, {"Basilbend-Server-Signature", "s"}, {"Server-Leaving", "1"}}});
        exchange->sendChunk("id: 1\ndata: d\n\n");
        exchange->endStream();
    };
    WebClient client{io, systemNow};
    EndpointRecord record;
    record.id = "i-1";
    record.address = "127.0.0.1:" + std::to_string(endpoint.server.port());
    int leaving = 0;
    int events = 0;
    std::optional<RunEnd> end;
    ItemRunHooks hooks;
    hooks.onEvent = [&events](std::uint64_t, const std::string &, std::uint64_t) { return ++events > 0; };
    hooks.onEnd = [&end](RunEnd how, int) { end = how; };
    hooks.onEndpointLeaving = [&leaving] { ++leaving; };
    ItemRun run(client, virtualLoop(time), record, 1, hooks);
    BatchItem item;
    item.id = "i";
    item.path = "/p";
    BatchIndex batch;
    batch.host = "a.example";
    run.start(item, batch, {});
    for (int i = 0; i < 100 && !end; ++i) {
        io.restart();
        io.run_for(std::chrono::milliseconds(2));
    }
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST((*end == RunEnd::Complete));
    BOOST_TEST(leaving == 1);
    BOOST_TEST(events == 1);
}

BOOST_AUTO_TEST_SUITE_END()
