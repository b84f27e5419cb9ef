#include "catalog/configurationcheck.h"

#include "app/checkconfigcommand.h"
#include "platform/configurationcodec.h"
#include "platform/mutation.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <unistd.h>

using namespace Basilbend;
using nlohmann::json;

namespace
{

/// The longest time that an operator should wait for a check of 10,000 routes; as processor time, which load of the machine does not change.
constexpr double MaxCheckSeconds = 1;

json route(const std::string &name, const std::string &prefix)
{
    return {{"name", name},
            {"host", "h.example"},
            {"path_prefix", prefix},
            {"kind", "idempotent"},
            {"service", "desk"},
            {"timeout_ms", 1000},
            {"target_latency_ms", 200}};
}

json sound()
{
    return {{"version", 4},
            {"routes", {route("a", "/a/"), route("b", "/b/")}},
            {"services", {{{"name", "desk"}}}},
            {"tenants", {{{"name", "w"}, {"api_keys", {"k1", "k2"}}}}}};
}

RouteTable tableOf(const json &configuration)
{
    return RouteTable(decodeConfiguration(configuration.dump()).value());
}

std::vector<std::string> codesOf(const std::vector<Finding> &findings)
{
    std::vector<std::string> codes;
    for (const auto &finding : findings) {
        codes.push_back(finding.code);
        BOOST_TEST((finding.severity != FindingSeverity::Error));
    }
    return codes;
}

std::vector<std::string> check(const json &configuration)
{
    return codesOf(checkConfiguration(tableOf(configuration), 0));
}

std::vector<std::string> compare(const json &next)
{
    return codesOf(compareConfigurations(tableOf(sound()), tableOf(next)));
}

using Codes = std::vector<std::string>;

/// A file of one test.
struct TemporaryFile {
    explicit TemporaryFile(const std::string &text)
        : name((std::filesystem::temp_directory_path() / ("basilbend-config-" + std::to_string(::getpid()) + "-" + std::to_string(++count))).string())
    {
        std::ofstream(name) << text;
    }
    ~TemporaryFile()
    {
        std::filesystem::remove(name);
    }

    std::string name;
    static inline int count = 0;
};

ConfigCheckRequest requestFor(const std::string &file)
{
    ConfigCheckRequest request;
    request.file = file;
    return request;
}

}

BOOST_AUTO_TEST_SUITE(catalog)

// Guards against findings in a configuration in which everything has an effect.
BOOST_AUTO_TEST_CASE(a_sound_configuration_has_no_findings)
{
    BOOST_TEST(check(sound()) == Codes());
}

BOOST_AUTO_TEST_CASE(entries_that_can_never_match_are_found)
{
    auto configuration = sound();
    configuration["routes"].push_back(route("c", "/a/"));
    BOOST_TEST(check(configuration) == Codes{"route_hidden"});
    configuration = sound();
    configuration["routes"][1]["name"] = "a";
    BOOST_TEST(check(configuration) == Codes{"route_name_repeated"});
    configuration = sound();
    configuration["routes"][0]["path_prefix"] = "a";
    BOOST_TEST(check(configuration) == Codes{"prefix_without_slash"});
    configuration = sound();
    configuration["services"].push_back({{"name", "spare"}});
    BOOST_TEST(check(configuration) == Codes{"service_unused"});
    configuration = sound();
    configuration["routes"][0]["service"] = "gone";
    BOOST_TEST(check(configuration) == Codes{"service_unknown"});
    configuration = sound();
    configuration["routes"][0]["traffic_split"] = {{{"service", "desk"}, {"weight", 0}}};
    BOOST_TEST((check(configuration) == Codes{"weight_zero", "no_service"}));
    configuration = sound();
    configuration["tenants"].push_back({{"name", "v"}, {"api_keys", {"k1"}}});
    BOOST_TEST(check(configuration) == Codes{"key_repeated"});
    configuration = sound();
    configuration["tenants"].push_back({{"name", "v"}, {"api_keys", json::array()}});
    BOOST_TEST(check(configuration) == Codes{"workspace_without_key"});
    configuration = sound();
    configuration["tenants"].push_back({{"name", "w"}, {"api_keys", {"k3"}}});
    BOOST_TEST(check(configuration) == Codes{"workspace_repeated"});
}

BOOST_AUTO_TEST_CASE(limits_that_contradict_each_other_are_found)
{
    auto configuration = sound();
    configuration["routes"][0]["timeout_ms"] = 100;
    BOOST_TEST(check(configuration) == Codes{"timeout_below_target"});
    configuration = sound();
    configuration["routes"][0]["kind"] = "rollout";
    configuration["routes"][0]["retention_s"] = 5;
    configuration["routes"][0]["result_deadline_ms"] = 7500;
    BOOST_TEST(check(configuration) == Codes{"retention_below_deadline"});
    configuration = sound();
    configuration["services"][0]["cold_per_s"] = 0.4;
    BOOST_TEST(check(configuration) == Codes{"warmup_rate_below_one"});
    configuration = sound();
    configuration["services"][0]["engine"] = {{"slots", 8}};
    BOOST_TEST(check(configuration) == Codes{"engine_without_models"});
    configuration = sound();
    configuration["limits"] = {{"header_timeout_ms", 9000}, {"idle_timeout_ms", 5000}};
    BOOST_TEST(check(configuration) == Codes{"head_timeout_above_idle"});
    configuration["limits"] = {{"max_header_bytes", 0}};
    BOOST_TEST(check(configuration) == Codes{"limit_zero"});
    constexpr std::size_t SmallHost = 16 * 1024 * 1024;
    BOOST_TEST(codesOf(checkConfiguration(tableOf(sound()), SmallHost)) == Codes{"body_above_memory"});
}

BOOST_AUTO_TEST_CASE(differences_are_described_by_meaning)
{
    auto next = sound();
    next["version"] = 5;
    BOOST_TEST(compare(next) == Codes());
    BOOST_TEST(compare(sound()) == Codes{"version_not_newer"});
    // The order of the entries has no meaning.
    std::swap(next["routes"][0], next["routes"][1]);
    BOOST_TEST(compare(next) == Codes());
    next["routes"].erase(0);
    BOOST_TEST((compare(next) == Codes{"route_removed", "requests_refused"}));
    next["routes"].push_back(route("c", "/b/"));
    next["routes"][1]["service"] = "other";
    next["services"].push_back({{"name", "other"}});
    BOOST_TEST((compare(next) == Codes{"route_removed", "service_changed", "route_added", "service_added"}));
    next = sound();
    next["version"] = 5;
    next["tenants"][0]["api_keys"] = {"k2", "k3"};
    BOOST_TEST((compare(next) == Codes{"keys_withdrawn", "keys_added"}));
    next["tenants"][0]["api_keys"] = {"k2"};
    next["tenants"].push_back({{"name", "v"}, {"api_keys", {"k1"}}});
    BOOST_TEST(compare(next) == Codes{"keys_moved"});
    next = sound();
    next["version"] = 5;
    next["routes"][0]["timeout_ms"] = 2000;
    next["routes"][1]["attempts"] = 5;
    BOOST_TEST((compare(next) == Codes{"route_changed", "route_changed"}));
}

// Guards against exit codes that scripts can't tell apart, and errors without file and line.
BOOST_AUTO_TEST_CASE(a_check_tells_its_result_by_exit_code_and_names_file_and_line)
{
    const TemporaryFile clean(sound().dump());
    std::ostringstream out;
    BOOST_TEST(checkConfigurationFile(requestFor(clean.name), out) == 0);
    BOOST_TEST(out.str().empty());
    auto configuration = sound();
    configuration["services"].push_back({{"name", "spare"}});
    const TemporaryFile unused(configuration.dump(1));
    BOOST_TEST(checkConfigurationFile(requestFor(unused.name), out) == 1);
    BOOST_TEST(out.str().find("warning [service_unused] spare: no route uses this service") != std::string::npos);
    BOOST_TEST(out.str().find(unused.name + ":") == 0U);
    std::ostringstream asJson;
    BOOST_TEST(checkConfigurationFile({unused.name, clean.name, true, 0}, asJson) == 1);
    const auto findings = json::parse(asJson.str());
    BOOST_TEST(findings.size() == 3U);
    BOOST_TEST(findings[0].at("line").get<int>() > 1);
    const TemporaryFile broken("{\n\"version\": 1,\n]");
    std::ostringstream error;
    BOOST_TEST(checkConfigurationFile(requestFor(broken.name), error) == 2);
    BOOST_TEST(error.str().find(broken.name + ":3: error [syntax]") == 0U);
    configuration["routes"][0]["kind"] = "odd";
    const TemporaryFile refused(configuration.dump());
    std::ostringstream refusal;
    BOOST_TEST(checkConfigurationFile(requestFor(refused.name), refusal) == 2);
    BOOST_TEST(refusal.str().find("kind is unknown: odd") != std::string::npos);
    BOOST_TEST(checkConfigurationFile(requestFor(clean.name + ".gone"), error) == 2);
}

// Guards against a check that calls something an error that the system accepts, or that fails on an odd configuration.
BOOST_AUTO_TEST_CASE(no_configuration_that_the_system_accepts_has_an_error)
{
    constexpr int Inputs = 20000;
    constexpr std::size_t HostMemory = 128 * 1024 * 1024;
    auto full = sound();
    full["routes"].push_back(route("c", "/c/"));
    full["routes"][2]["kind"] = "rollout";
    full["routes"][2]["traffic_split"] = {{{"service", "engine"}, {"weight", 3}}, {{"service", "desk"}, {"weight", 1}}};
    full["services"].push_back({{"name", "engine"}, {"cold_per_s", 2.5}, {"engine", {{"slots", 8}, {"models", {{{"name", "m"}}}}}}});
    full["limits"] = {{"max_header_bytes", 8192}, {"max_body_bytes", 1000000}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 9000}};
    const auto inForce = tableOf(sound());
    const auto text = full.dump();
    Random random(48);
    int accepted = 0;
    for (int i = 0; i < Inputs; ++i) {
        auto configuration = decodeConfiguration(mutate(text, random));
        if (!configuration) {
            continue;
        }
        ++accepted;
        const RouteTable table(std::move(configuration.value()));
        auto findings = checkConfiguration(table, HostMemory);
        const auto differences = compareConfigurations(inForce, table);
        findings.insert(findings.end(), differences.begin(), differences.end());
        BOOST_REQUIRE(std::none_of(findings.begin(), findings.end(), [](const Finding &finding) { return finding.severity == FindingSeverity::Error; }));
    }
    BOOST_TEST_MESSAGE("accepted: " << accepted << " of " << Inputs);
    BOOST_TEST(accepted > 0);
}

// Guards against a check whose time grows with the square of the routes.
BOOST_AUTO_TEST_CASE(ten_thousand_routes_are_checked_and_compared_within_a_second)
{
    for (const int routes : {100, 1000, 10000}) {
        auto configuration = sound();
        for (int i = 0; i < routes; ++i) {
            configuration["routes"].push_back(route("r" + std::to_string(i), "/r" + std::to_string(i) + "/"));
        }
        const auto inForce = tableOf(configuration);
        configuration["version"] = 5;
        const TemporaryFile file(configuration.dump());
        const TemporaryFile fileInForce(configuration.dump());
        const auto start = std::clock();
        BOOST_TEST(compareConfigurations(inForce, tableOf(configuration)).empty());
        std::ostringstream out;
        auto request = requestFor(file.name);
        request.against = fileInForce.name;
        // Its version is that of the version in force.
        BOOST_TEST(checkConfigurationFile(request, out) == 1);
        const double seconds = static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
        BOOST_TEST_MESSAGE(routes << " routes: " << seconds << " s of processor time");
        BOOST_TEST(seconds < MaxCheckSeconds);
    }
}

BOOST_AUTO_TEST_SUITE_END()
