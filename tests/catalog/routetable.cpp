#include "catalog/routetable.h"

#include <boost/test/unit_test.hpp>
#include <chrono>

using namespace Basilbend;

namespace
{

RouteRule route(const std::string &name, const std::string &host, const std::string &prefix)
{
    RouteRule rule;
    rule.name = name;
    rule.host = host;
    rule.pathPrefix = prefix;
    return rule;
}

RouteTable makeTable()
{
    ServiceConfiguration configuration;
    configuration.version = 7;
    configuration.routes = {route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"), route("other", "b.example", "/x/")};
    configuration.workspaces = {{"w1", {"key1", "key2"}}, {"w2", {"key3"}}};
    return RouteTable(std::move(configuration));
}

}

BOOST_AUTO_TEST_SUITE(catalog, *boost::unit_test::label("catalog"))

BOOST_AUTO_TEST_CASE(the_longest_prefix_of_the_host_wins)
{
    const auto table = makeTable();
    BOOST_TEST(table.find("a.example", "/x/y/z")->name == "long");
    BOOST_TEST(table.find("A.example:8080", "/x/z")->name == "short");
    BOOST_TEST(table.find("b.example", "/x/y/z")->name == "other");
    BOOST_TEST(table.find("a.example", "/z/") == nullptr);
    BOOST_TEST(table.find("c.example", "/x/") == nullptr);
}

// Guards against a leader without processor time: it looks the route up for each event of each run.
BOOST_AUTO_TEST_CASE(a_route_is_found_by_name_as_fast_among_ten_thousand_as_among_a_few)
{
    ServiceConfiguration configuration;
    for (int i = 0; i < 10'000; ++i) {
        configuration.routes.push_back(route("route-" + std::to_string(i), "a.example", "/" + std::to_string(i) + "/"));
    }
    const RouteTable table(std::move(configuration));
    const auto startedAt = std::chrono::steady_clock::now();
    for (int i = 0; i < 10'000; ++i) {
        BOOST_REQUIRE(table.routeNamed("route-9999") != nullptr);
    }
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - startedAt);
    BOOST_TEST_MESSAGE("10,000 look-ups took " << took.count() << " ms");
    BOOST_TEST(took.count() <= 50);
    BOOST_TEST(table.routeNamed("route-10000") == nullptr);
}

BOOST_AUTO_TEST_CASE(an_api_key_identifies_its_workspace)
{
    const auto table = makeTable();
    BOOST_TEST(*table.workspaceOfKey("key2") == "w1");
    BOOST_TEST(*table.workspaceOfKey("key3") == "w2");
    BOOST_TEST(table.workspaceOfKey("key4") == nullptr);
    BOOST_TEST(table.workspaceOfKey("") == nullptr);
    BOOST_TEST(!RouteTable().requiresApiKeys());
}

BOOST_AUTO_TEST_SUITE_END()
