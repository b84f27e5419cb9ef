#include "weights/weightupdater.h"

#include "http/scriptedendpoint.h"

#include <asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>

using namespace Basilbend;

namespace
{

constexpr const char *ConfigurationText = R"({"version":1,"services":[{"name":"s"}],"routes":[]})";
constexpr const char *Endpoint = "i-1";
constexpr const char *Model = "m";

/// An engine whose reports lag behind its state, as those of real engines do, and a published version 2 that it has to load.
struct LoadFixture {
    asio::io_context io;
    VirtualTime time{Timestamp(1'000'000)};
    FakeMetadataStore store{time};
    EventLog log{EventLogSettings(), [this] { return time.now(); }, [](std::string_view bytes) { return bytes.size(); }};
    Metrics metrics;
    ScriptedEndpoint engine{io, store, Endpoint};
    WebClient client{io, [this] { return time.now(); }};
    SystemView view{store, virtualLoop(time), log, ViewScope::Control, ViewWatchSpans{Milliseconds(2500), Milliseconds(5000)}};
    std::optional<WeightUpdater> updater;
    bool answersOrders = true;
    int orderStatus = 202;
    int plans = 0;
    std::string reported = report(1, 0, false);
    Timestamp orderedAt;

    LoadFixture()
    {
        const auto *known = store.peek("servers/i-1");
        auto entry = nlohmann::json::parse(known->value);
        entry["models"] = {{{"name", Model}, {"version", 1}, {"adapters", nlohmann::json::array()}}};
        store.put("servers/i-1", entry.dump());
        store.put("op/config", ConfigurationText);
        store.put("op/version/m", R"({"model":"m","version":2})");
        engine.onRequest = [this](const ExchangePtr &exchange) { answer(exchange); };
        WeightUpdaterHooks hooks;
        hooks.maySendOrders = [] { return true; };
        hooks.fencingToken = [] { return 7U; };
        hooks.workloads = [this] {
            ++plans;
            return std::map<std::string, ModelWorkload>{{Model, {2, 1, true, false}}};
        };
        hooks.runningItemCount = [](const std::string &) { return 0; };
        hooks.needsSingleVersion = [](const std::string &) { return false; };
        hooks.onEndpointChanged = [] {};
        updater.emplace(virtualLoop(time), log, metrics, client, view, "me", std::move(hooks));
        view.start();
        run(50);
        updater->startDueOrders();
    }

    static std::string report(std::uint64_t version, std::uint64_t orders, bool isBusy)
    {
        return nlohmann::json{
            {"models", {{{"name", Model}, {"version", version}, {"adapters", nlohmann::json::array()}}}}, {"sequence", orders}, {"busy", isBusy}}
            .dump();
    }

    void answer(const ExchangePtr &exchange)
    {
        if (exchange->request().method != "POST") {
            exchange->respond({200, {}, reported});
            return;
        }
        orderedAt = time.now();
        reported = report(1, 1, true);
        if (answersOrders) {
            exchange->respond({orderStatus, {}, {}});
        }
    }

    void run(int ms)
    {
        for (int i = 0; i < ms; i += 10) {
            io.restart();
            io.run_for(std::chrono::milliseconds(2));
            time.advance(Milliseconds(10));
        }
    }

    EndpointRecord record() const
    {
        return *view.endpoints().find(Endpoint);
    }
};

}

BOOST_AUTO_TEST_SUITE(weights, *boost::unit_test::label("weights"))

// Guards against an engine that stays idle for a quarter of each load, because it has loaded the version while its last report
// still says that it is loading.
BOOST_FIXTURE_TEST_CASE(an_engine_gets_work_once_its_usual_load_time_has_passed, LoadFixture)
{
    run(600);
    BOOST_TEST(updater->isLoading(Endpoint, Model));
    BOOST_TEST(updater->servedVersion(record(), Model) == 1U);
    run(400);
    BOOST_TEST(!updater->isLoading(Endpoint, Model));
    BOOST_TEST(updater->servedVersion(record(), Model) == 2U);
    // Requests must name the version, because no report has confirmed it.
    BOOST_TEST(updater->unreportedVersion(Endpoint, Model) == 2U);
    reported = report(2, 1, false);
    run(400);
    BOOST_TEST(updater->servedVersion(record(), Model) == 2U);
    BOOST_TEST(updater->unreportedVersion(Endpoint, Model) == 0U);
}

// Guards against offering every queued item over and over to an engine that loads more slowly than usual.
BOOST_FIXTURE_TEST_CASE(an_engine_that_refuses_work_after_its_usual_load_time_counts_as_loading_until_it_reports, LoadFixture)
{
    run(1000);
    BOOST_REQUIRE(!updater->isLoading(Endpoint, Model));
    updater->recordWorkRefusal(Endpoint);
    BOOST_TEST(updater->isLoading(Endpoint, Model));
    run(1000);
    BOOST_TEST(updater->isLoading(Endpoint, Model));
    BOOST_TEST(updater->servedVersion(record(), Model) == 1U);
    reported = report(2, 1, false);
    run(400);
    BOOST_TEST(!updater->isLoading(Endpoint, Model));
    BOOST_TEST(updater->servedVersion(record(), Model) == 2U);
}

// Guards against work for a version that the engine does not serve: a late copy of another answer says that the order holds already.
BOOST_FIXTURE_TEST_CASE(a_version_that_an_answer_to_an_order_claims_is_confirmed_by_a_report, LoadFixture)
{
    orderStatus = 200;
    run(300);
    BOOST_TEST(updater->isLoading(Endpoint, Model));
    BOOST_TEST(updater->servedVersion(record(), Model) == 1U);
    reported = report(2, 1, false);
    run(400);
    BOOST_TEST(!updater->isLoading(Endpoint, Model));
    BOOST_TEST(updater->servedVersion(record(), Model) == 2U);
    BOOST_TEST(updater->unreportedVersion(Endpoint, Model) == 0U);
}

// Guards against sending work to an engine whose order was lost or is carried out seconds later.
BOOST_AUTO_TEST_CASE(an_unanswered_load_is_not_presumed_complete)
{
    const AcceptedLoad unanswered{Timestamp(1000), true, false};
    BOOST_TEST(!LoadCompletionRule().isPresumedComplete(unanswered, Timestamp(9000)));
    const AcceptedLoad accepted{Timestamp(1000), false, false};
    BOOST_TEST(!LoadCompletionRule().isPresumedComplete(accepted, Timestamp(1899)));
    BOOST_TEST(LoadCompletionRule().isPresumedComplete(accepted, Timestamp(1900)));
}

BOOST_AUTO_TEST_CASE(a_request_for_an_unreported_version_names_the_version)
{
    BatchItem item;
    item.id = "i";
    item.path = "/p";
    BOOST_TEST(makeItemRequest(item, {}, "e", {3, 9}).fields.value("Basilbend-Expect-Version") == "9");
    BOOST_TEST(makeItemRequest(item, {}, "e", {3, 0}).fields.find("Basilbend-Expect-Version") == nullptr);
}

// Guards against orders and reports that still go to a zone which the operator evacuates, also for a load that is under way.
BOOST_FIXTURE_TEST_CASE(an_engine_in_an_evacuated_zone_gets_no_orders_until_the_evacuation_has_ended, LoadFixture)
{
    run(200);
    store.put("op/evacuate/z", "{}");
    run(300);
    const auto requestsBefore = engine.requests.size();
    reported = report(1, 1, false);
    run(2000);
    updater->startDueOrders();
    run(500);
    BOOST_TEST(engine.requests.size() == requestsBefore);
    store.erase("op/evacuate/z");
    run(1000);
    updater->startDueOrders();
    run(200);
    BOOST_TEST(engine.requests.size() > requestsBefore);
}

// Guards against a leader that plans the loads of the whole fleet anew for each of many endpoints that change at the same time.
BOOST_FIXTURE_TEST_CASE(changes_that_come_close_together_are_planned_once, LoadFixture)
{
    run(500);
    plans = 0;
    for (int i = 0; i < 100; ++i) {
        updater->startDueOrders();
    }
    run(200);
    BOOST_TEST(plans == 2);
}

BOOST_AUTO_TEST_SUITE_END()
