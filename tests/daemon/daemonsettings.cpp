#include "daemon/daemonsettings.h"

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>

using namespace Basilbend;

namespace
{

constexpr const char *Gateway = R"(role: gateway
node: "g-1"
zone: "z"
clients: "10.0.0.1:80"
readiness: "10.0.0.1:81"
processes: "10.0.0.1:82"
peers: ["10.0.0.1:82", "10.0.0.2:82"]
metrics: "10.0.0.1:83"
store: "10.0.0.9:80"
reports: "10.0.0.9:81"
withdrawal_seconds: 4500e-3
grace_seconds: 8.5
usage_window_seconds: 5
)";

Result<DaemonSettings> read(const std::string &text, const std::string &role)
{
    const auto name = "daemonsettings-test.yaml";
    std::ofstream(name) << text;
    auto settings = readDaemonSettings(name, role);
    std::remove(name);
    return settings;
}

}

BOOST_AUTO_TEST_SUITE(daemon_settings, *boost::unit_test::label("daemon"))

BOOST_AUTO_TEST_CASE(settings_of_a_gateway_are_read)
{
    const auto settings = read(Gateway, "gateway");
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(settings.value().node == "g-1");
    BOOST_TEST(settings.value().withdrawalBound.count() == 4500);
    BOOST_TEST(settings.value().configurationBound.count() == 2000);
    BOOST_TEST(settings.value().gracePeriod.count() == 8500);
    BOOST_TEST(settings.value().peers.size() == 2U);
    BOOST_TEST(settings.value().usageReportDeadline.count() == 10000);
    BOOST_TEST(settings.value().evacuationBound.count() == 5000);
    BOOST_TEST(settings.value().regionOfZone.empty());
}

BOOST_AUTO_TEST_CASE(bounds_of_warm_up_and_evacuation_and_the_regions_are_read)
{
    const auto settings =
        read(std::string(Gateway)
                 + "configuration_seconds: 1500e-3\nevacuation_seconds: 4000e-3\nwarmup_rate_factor: 1.5\nwarmup_extra_requests: 5\ngateways: 25\n"
                   "regions:\n  \"z\": \"north\"\n  \"y\": \"south\"\n",
             "gateway");
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(settings.value().configurationBound.count() == 1500);
    BOOST_TEST(settings.value().evacuationBound.count() == 4000);
    BOOST_TEST((settings.value().warmupTolerance == WarmupTolerance{1.5, 5}));
    BOOST_TEST(settings.value().gatewayCount == 25);
    BOOST_TEST((settings.value().regionOfZone == std::map<std::string, std::string>{{"z", "north"}, {"y", "south"}}));
    // A platform with a single unnamed region fills in no entry.
    BOOST_TEST(read(std::string(Gateway) + "regions:\n", "gateway").has_value());
}

BOOST_AUTO_TEST_CASE(files_of_gateways_and_schedulers_are_recognised_by_their_role)
{
    const auto name = "daemonsettings-role.yaml";
    for (const auto &[text, expected] :
         {std::pair{"role: gateway\n", true}, std::pair{"role: scheduler\n", true}, std::pair{"role: entry\n", false}, std::pair{"node: x\n", false}}) {
        std::ofstream(name) << text;
        BOOST_TEST(isDaemonSettingsFile(name) == expected);
    }
    std::remove(name);
}

BOOST_AUTO_TEST_CASE(each_fault_of_a_settings_file_names_its_line_and_key)
{
    for (const auto &[from, to, expected] : {std::tuple{"grace_seconds: 8.5", "grace_seconds: 0", ":12"},
                                             std::tuple{"metrics: \"10.0.0.1:83\"", "metrics: here", "metrics"},
                                             std::tuple{"\"10.0.0.2:82\"", "\"peer\"", "peers"},
                                             std::tuple{"role: gateway", "role: scheduler", "role"},
                                             std::tuple{"zone:", "zones:", "zones"},
                                             std::tuple{"zone:", "regions: north\nzone:", "regions"},
                                             std::tuple{"zone:", "warmup_rate_factor: -1\nzone:", "warmup_rate_factor"},
                                             std::tuple{"store: \"10.0.0.9:80\"\n", "", "store"}}) {
        std::string text = Gateway;
        text.replace(text.find(from), std::string(from).size(), to);
        const auto settings = read(text, "gateway");
        BOOST_REQUIRE(settings.has_error());
        BOOST_TEST((settings.error().code == ResultCode::SettingsInvalid));
        BOOST_TEST(settings.error().message.find(expected) != std::string::npos, settings.error().message);
    }
    BOOST_TEST(readDaemonSettings("no-such-file.yaml", "gateway").has_error());
}

BOOST_AUTO_TEST_SUITE_END()
