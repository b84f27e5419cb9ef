#include "daemon/hostretirement.h"

#include "base/systemclock.h"
#include "election/leaderelection.h"
#include "http/asioeventloop.h"
#include "soak/soakprocess.h"
#include "soak/storeserver.h"

#include <asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>

using namespace Basilbend;

namespace
{

/// Schedulers as processes on hosts that an operator empties. The metadata store runs in the test.
struct SchedulerHosts {
    asio::io_context io;
    StoreServer server{io, asioEventLoop(io)};
    std::string directory;
    std::map<std::string, std::unique_ptr<SoakProcess>> processes;

    SchedulerHosts()
    {
        char pattern[] = "/tmp/basilbend-hosts-XXXXXX";
        directory = ::mkdtemp(pattern);
        server.store().put("op/config", R"({"version":1,"services":[],"tenants":[],"routes":[]})");
    }

    ~SchedulerHosts()
    {
        processes.clear();
        std::filesystem::remove_all(directory);
    }

    void start(const std::string &node)
    {
        const auto settingsFile = directory + "/" + node + ".yaml";
        const auto address = "\"127.0.0.1:" + std::to_string(server.port()) + "\"\n";
        std::ofstream(settingsFile) << "role: scheduler\nnode: " << node << "\nzone: z0\nstore: " << address << "reports: " << address
                                    << "metrics: \"127.0.0.1:0\"\n";
        processes[node] = std::make_unique<SoakProcess>(BASILBEND_PROGRAM, "scheduler", settingsFile, directory + "/" + node + ".log");
        processes[node]->start();
    }

    void requestEmpty(const std::string &node)
    {
        server.store().put("op/retire/" + node, R"({"duration_s":8})");
    }

    /// Name of the leader; empty if there is none.
    std::string leader()
    {
        const auto *item = server.store().peek(LeaderElection::holderKey());
        const auto record = item == nullptr ? std::nullopt : decodeLeaderRecord(item->value);
        return record ? record->node : std::string();
    }

    /// What the operator is told of the host.
    std::string statusOf(const std::string &node)
    {
        const auto *item = server.store().peek("status/retire/" + node);
        return item == nullptr ? std::string() : item->value;
    }

    /// Runs until the condition holds and returns whether it did within the time.
    bool runUntil(const std::function<bool()> &condition, Milliseconds limit)
    {
        const auto end = systemNow() + limit;
        while (!condition() && systemNow() < end) {
            io.restart();
            io.run_for(std::chrono::milliseconds(10));
        }
        return condition();
    }
};

/// Only ends a test that hangs.
constexpr Milliseconds LongestWait{20000};
/// Longer than the lease of a leader with its election.
constexpr Milliseconds ElectionTime{2500};

}

BOOST_AUTO_TEST_SUITE(hostretirement, *boost::unit_test::label("daemon"))

// Guards against open batches that nobody runs: the last scheduler gave up the leadership for good when its host was to be emptied.
BOOST_FIXTURE_TEST_CASE(the_last_scheduler_leads_on_until_another_one_can_follow, SchedulerHosts)
{
    start("h1");
    BOOST_REQUIRE(runUntil([this] { return leader() == "h1"; }, LongestWait));
    requestEmpty("h1");
    BOOST_REQUIRE(runUntil([this] { return statusOf("h1") == R"({"state":"running"})"; }, LongestWait));
    const auto term = server.store().peek(LeaderElection::holderKey())->revision;
    BOOST_TEST(!runUntil([this] { return leader() != "h1"; }, ElectionTime));
    BOOST_REQUIRE(leader() == "h1");
    BOOST_TEST(server.store().peek(LeaderElection::holderKey())->revision == term);
    start("h2");
    BOOST_TEST(runUntil([this] { return leader() == "h2"; }, LongestWait));
    BOOST_TEST(runUntil([this] { return statusOf("h1") == R"({"state":"completed"})"; }, LongestWait));
}

// Guards against a scheduler that may not lead any more because the operator once wanted its host emptied.
BOOST_FIXTURE_TEST_CASE(a_scheduler_whose_host_stays_after_all_may_lead_again, SchedulerHosts)
{
    start("h1");
    BOOST_REQUIRE(runUntil([this] { return leader() == "h1"; }, LongestWait));
    start("h2");
    requestEmpty("h1");
    BOOST_REQUIRE(runUntil([this] { return leader() == "h2"; }, LongestWait));
    server.store().erase("op/retire/h1");
    processes["h2"]->kill();
    BOOST_TEST(runUntil([this] { return leader() == "h1"; }, LongestWait));
}

BOOST_AUTO_TEST_CASE(a_leader_empties_its_own_host_only_for_one_that_stays)
{
    const HostRetirement retirement("a");
    BOOST_TEST((retirement.plan({{"a", 1}}, {}).successor == std::nullopt));
    BOOST_TEST((retirement.plan({{"a", 1}}, {}).ownHost == HostToEmpty("a", 1)));
    BOOST_TEST((retirement.plan({{"a", 1}, {"b", 2}}, {"b"}).successor == std::nullopt));
    BOOST_TEST((retirement.plan({{"a", 1}, {"b", 2}}, {"b", "c"}).successor == "c"));
    BOOST_TEST((retirement.plan({{"b", 2}}, {"c"}).successor == std::nullopt));
}

// Guards against hosts that are never reported because the leader's own one comes before them.
BOOST_AUTO_TEST_CASE(other_hosts_are_empty_while_the_own_one_waits)
{
    HostRetirement retirement("a");
    const std::map<std::string, std::uint64_t> hosts{{"a", 1}, {"b", 2}};
    auto plan = retirement.plan(hosts, {});
    BOOST_TEST((plan.emptyHosts == std::vector<HostToEmpty>{{"b", 2}}));
    BOOST_TEST(plan.mustReportRunning);
    retirement.markReported({"b", 2});
    retirement.markReportedRunning({"a", 1});
    plan = retirement.plan(hosts, {});
    BOOST_TEST(plan.emptyHosts.empty());
    BOOST_TEST(!plan.mustReportRunning);
    // The operator may ask again, and a report that failed is repeated.
    BOOST_TEST(retirement.plan({{"b", 3}}, {}).emptyHosts.size() == 1U);
    retirement.unmarkReported({"b", 2});
    BOOST_TEST(retirement.plan(hosts, {}).emptyHosts.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
