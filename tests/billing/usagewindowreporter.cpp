#include "billing/usagewindowreporter.h"

#include "base/systemclock.h"
#include "billing/usagerecords.h"
#include "election/leaderelection.h"
#include "http/webserver.h"
#include "metadata/fakemetadatastore.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace Basilbend;

namespace
{

/// A server on the loopback address in place of the platform's API, and a reporter in virtual time that sends it real HTTP
/// requests.
struct ReporterFixture {
    asio::io_context io;
    VirtualTime time{Timestamp(1'000'000)};
    FakeMetadataStore store{time};
    EventLog log{EventLogSettings(), [this] { return time.now(); }, [](std::string_view bytes) { return bytes.size(); }};
    Metrics metrics;
    WebClient client{io, systemNow};
    std::vector<nlohmann::json> reports;
    int status = 200;
    std::unique_ptr<WebServer> server = makeServer();
    bool mayAct = true;
    std::unique_ptr<UsageWindowReporter> reporter = makeReporter();

    ReporterFixture()
    {
        store.put(LeaderElection::holderKey(), "me");
    }

    std::unique_ptr<WebServer> makeServer()
    {
        auto hooks = defaultServerHooks([this](const std::shared_ptr<ServerExchange> &exchange) {
            reports.push_back(nlohmann::json::parse(exchange->request().body));
            exchange->respond({status, {}, {}});
        });
        return std::make_unique<WebServer>(io, "127.0.0.1:0", std::move(hooks));
    }

    std::unique_ptr<UsageWindowReporter> makeReporter()
    {
        UsageWindowReporterSettings settings;
        settings.holder = "node-1";
        settings.address = "127.0.0.1:" + std::to_string(server->port());
        return std::make_unique<UsageWindowReporter>(
            store,
            virtualLoop(time),
            log,
            metrics,
            client,
            settings,
            UsageWindowReporterHooks{[this] { return mayAct; }, [this] { return store.peek(LeaderElection::holderKey())->revision; }});
    }

    void run(int ms)
    {
        for (int i = 0; i < ms; i += 100) {
            time.advance(Milliseconds(100));
            io.restart();
            for (int turns = 0; turns < 8; ++turns) {
                io.poll();
            }
        }
    }
};

/// Index of the window in which the fixture starts.
constexpr std::int64_t FirstWindow = 200;

}

BOOST_AUTO_TEST_SUITE(billing, *boost::unit_test::label("billing"))

BOOST_FIXTURE_TEST_CASE(a_window_is_summed_sealed_and_reported_once, ReporterFixture)
{
    store.put(UsageRecords::countKey(FirstWindow, "a"), UsageRecords::encodeCounts({{"w", 3}, {"v", 1}}));
    store.put(UsageRecords::countKey(FirstWindow, "b"), UsageRecords::encodeCounts({{"w", 4}}));
    reporter->activate();
    run(11000);
    BOOST_REQUIRE(reports.size() == 1U);
    BOOST_TEST(reports.at(0).at("window_index") == FirstWindow);
    BOOST_TEST(reports.at(0).at("counts").at("w") == 7);
    BOOST_TEST(store.peek(UsageRecords::ReportedKey)->value == std::to_string(FirstWindow));
    BOOST_TEST(store.keysBelow(UsageRecords::countPrefix(FirstWindow)).empty());
}

// Guards against two different totals for one window: counts that arrive after the window was sealed are not reported by any
// leader.
BOOST_FIXTURE_TEST_CASE(a_new_leader_reports_the_sealed_figures, ReporterFixture)
{
    store.put(UsageRecords::countKey(FirstWindow, "a"), UsageRecords::encodeCounts({{"w", 3}}));
    status = 503;
    reporter->activate();
    run(10500);
    BOOST_REQUIRE(!reports.empty());
    reporter->deactivate();
    store.put(UsageRecords::countKey(FirstWindow, "b"), UsageRecords::encodeCounts({{"w", 9}}));
    store.put(LeaderElection::holderKey(), "successor");
    status = 200;
    const auto successor = makeReporter();
    successor->activate();
    run(2000);
    for (const auto &report : reports) {
        if (report.at("window_index") == FirstWindow) {
            BOOST_TEST(report.at("counts").at("w") == 3);
        }
    }
    BOOST_TEST(store.peek(UsageRecords::ReportedKey)->value == std::to_string(FirstWindow));
    run(100);
}

BOOST_FIXTURE_TEST_CASE(no_report_is_sent_without_a_valid_lease, ReporterFixture)
{
    mayAct = false;
    reporter->activate();
    run(20000);
    BOOST_TEST(reports.empty());
    mayAct = true;
    run(2000);
    BOOST_TEST(reports.size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
