#include "catalog/endpointregistry.h"

#include <boost/test/unit_test.hpp>

using namespace Basilbend;

namespace
{

EndpointRecord endpoint(const std::string &id, bool draining = false)
{
    EndpointRecord record;
    record.id = id;
    record.service = "s";
    record.isDraining = draining;
    return record;
}

}

BOOST_AUTO_TEST_SUITE(catalog, *boost::unit_test::label("catalog"))

BOOST_AUTO_TEST_CASE(draining_and_removed_endpoints_get_no_work)
{
    EndpointRegistry registry;
    const Timestamp now(1000);
    registry.put(endpoint("a"));
    registry.put(endpoint("b"));
    registry.put(endpoint("b", true));
    BOOST_TEST(registry.readyEndpoints("s").size() == 1U);
    registry.remove("a", now);
    BOOST_TEST(registry.readyEndpoints("s").empty());
}

// Guards against an outage of the store that empties the list of endpoints, and against dead endpoints that stay listed
// after it.
BOOST_AUTO_TEST_CASE(entries_that_expire_in_an_outage_are_kept_until_the_reregistration_time_is_over)
{
    EndpointRegistry registry;
    registry.put(endpoint("a"));
    registry.put(endpoint("b"));
    registry.setStoreReachable(false, Timestamp(1000));
    registry.setStoreReachable(true, Timestamp(6000));
    registry.replaceAll({}, Timestamp(6010));
    BOOST_TEST(registry.readyEndpoints("s").size() == 2U);
    registry.put(endpoint("b"));
    BOOST_TEST(registry.removeExpired(Timestamp(7900)).empty());
    BOOST_TEST((registry.removeExpired(Timestamp(8001)) == std::vector<std::string>{"a"}));
    BOOST_TEST(registry.readyEndpoints("s").size() == 1U);
}

// Guards against requests to an endpoint that has announced that it leaves while the store does not say so yet, or is
// unreachable.
BOOST_AUTO_TEST_CASE(a_leaving_endpoint_gets_no_work_until_it_restarts)
{
    EndpointRegistry registry;
    auto record = endpoint("a");
    record.startedAtMs = 100;
    registry.put(record);
    BOOST_TEST(registry.markLeaving("a", 100));
    BOOST_TEST(!registry.markLeaving("a", 100));
    BOOST_TEST(registry.readyEndpoints("s").empty());
    // The heartbeats of the endpoint still report that it is ready.
    registry.put(record);
    registry.replaceAll({record}, Timestamp(1000));
    BOOST_TEST(registry.readyEndpoints("s").empty());
    record.startedAtMs = 200;
    registry.put(record);
    BOOST_TEST(registry.readyEndpoints("s").size() == 1U);
    // A late response from the earlier start.
    BOOST_TEST(!registry.markLeaving("a", 100));
    BOOST_TEST(registry.readyEndpoints("s").size() == 1U);
}

// Guards against requests to a zone that the operator empties, and against endpoints that stay unused after overlapping
// evacuations have ended.
BOOST_AUTO_TEST_CASE(endpoints_of_evacuated_zones_get_no_work_until_the_last_evacuation_of_their_zone_has_ended)
{
    EndpointRegistry registry;
    auto record = endpoint("a");
    record.zone = "z1";
    registry.put(record);
    record.id = "b";
    record.zone = "z2";
    registry.put(record);
    registry.setEvacuatedZones({"z1", "no-such-zone"});
    BOOST_REQUIRE(registry.readyEndpoints("s").size() == 1U);
    BOOST_TEST(registry.readyEndpoints("s").front()->id == "b");
    // An endpoint that registers during the evacuation is not used either.
    record.id = "c";
    record.zone = "z1";
    registry.put(record);
    BOOST_TEST(registry.readyEndpoints("s").size() == 1U);
    registry.setEvacuatedZones({"z1", "z2"});
    BOOST_TEST(registry.readyEndpoints("s").empty());
    registry.setEvacuatedZones({"z2"});
    BOOST_TEST(registry.readyEndpoints("s").size() == 2U);
    registry.setEvacuatedZones({});
    BOOST_TEST(registry.readyEndpoints("s").size() == 3U);
}

BOOST_AUTO_TEST_CASE(a_draining_endpoint_that_expires_in_an_outage_is_removed)
{
    EndpointRegistry registry;
    registry.put(endpoint("a", true));
    registry.setStoreReachable(false, Timestamp(1000));
    registry.remove("a", Timestamp(1100));
    BOOST_TEST(registry.find("a") == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
