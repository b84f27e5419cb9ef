#include "catalog/routetable.h"

#include <boost/test/unit_test.hpp>

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
