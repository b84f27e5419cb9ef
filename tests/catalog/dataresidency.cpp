#include "catalog/dataresidency.h"

#include <boost/test/unit_test.hpp>

using namespace Basilbend;

namespace
{

RouteRule routeIn(std::vector<std::string> regions)
{
    RouteRule route;
    route.allowedRegions = std::move(regions);
    return route;
}

WorkspaceKeys workspaceIn(std::vector<std::string> regions)
{
    return {"w", {}, std::move(regions)};
}

}

BOOST_AUTO_TEST_SUITE(catalog, *boost::unit_test::label("catalog"))

// Guards against data that leaves the regions of its workspace because only the regions of its route are checked, or the reverse.
BOOST_AUTO_TEST_CASE(the_regions_of_the_route_and_of_the_workspace_both_apply)
{
    const DataResidency residency({{"z1", "north"}, {"z2", "south"}});
    const auto north = workspaceIn({"north"});
    BOOST_TEST(residency.allows(routeIn({"north", "south"}), &north, "z1"));
    BOOST_TEST(!residency.allows(routeIn({"north", "south"}), &north, "z2"));
    BOOST_TEST(!residency.allows(routeIn({"south"}), &north, "z1"));
    BOOST_TEST(!residency.allows(routeIn({"south"}), &north, "z2"));
    BOOST_TEST(residency.allows(routeIn({"south"}), nullptr, "z2"));
    BOOST_TEST(residency.allows(routeIn({}), &north, "z1"));
}

// Guards against refusing every endpoint where no region is named, and against using one whose region nobody knows.
BOOST_AUTO_TEST_CASE(a_zone_of_unknown_region_is_allowed_only_without_restriction)
{
    const DataResidency residency(std::map<std::string, std::string>{{"z1", "north"}});
    const auto anywhere = workspaceIn({});
    BOOST_TEST(residency.allows(routeIn({}), &anywhere, "z9"));
    BOOST_TEST(residency.allows(routeIn({}), nullptr, "z9"));
    BOOST_TEST(!residency.allows(routeIn({"north"}), &anywhere, "z9"));
    BOOST_TEST(DataResidency().allows(routeIn({}), nullptr, "z1"));
}

BOOST_AUTO_TEST_SUITE_END()
