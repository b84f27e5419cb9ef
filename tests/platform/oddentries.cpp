#include "base/systemclock.h"
#include "catalog/systemview.h"
#include "metadata/fakemetadatastore.h"
#include "platform/configurationcodec.h"
#include "platform/endpointcalls.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

using namespace Basilbend;
using nlohmann::json;

namespace
{

json soundEntry()
{
    return {{"service", "s"}, {"address", "127.0.0.1:8080"}, {"zone", "z"}, {"version", "v1"}, {"slots", 8}, {"state", "ready"}, {"born", 1000}};
}

std::string entryWith(const char *field, const std::string &value)
{
    auto text = soundEntry();
    text.erase(field);
    auto dump = text.dump();
    dump.pop_back();
    return dump + ",\"" + field + "\":" + value + "}";
}

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/// Entries of another writer that name no usable endpoint.
std::vector<std::string> oddEntries()
{
    std::vector<std::string> entries{"", "null", "[]", "\xff\xfe", "{", nested(200000), nested(400000).substr(0, 200000), "{\"service\":1e999}"};
    for (const auto *field : {"service", "address", "zone", "slots", "state", "models", "born", "cold_remaining_ms", "version"}) {
        for (const auto &value : {nested(100000), std::string("1e999"), std::string("{}"), std::string("true"), std::string("-1")}) {
            entries.push_back(entryWith(field, value));
        }
    }
    for (const auto *port : {"0", "65536", "70000", "99999999999999999999", "-1", "80x", ""}) {
        entries.push_back(entryWith("address", "\"127.0.0.1:" + std::string(port) + "\""));
    }
    for (const auto *slots : {"0", "4294967296", "18446744073709551615", "1e30", "2.5"}) {
        entries.push_back(entryWith("slots", slots));
    }
    for (const auto *span : {"1e30", "1e300", "18446744073709551615"}) {
        entries.push_back(entryWith("cold_remaining_ms", span));
    }
    entries.push_back(entryWith("born", "18446744073709551615"));
    entries.push_back(entryWith("models", R"([{"name":"m","version":1e30}])"));
    return entries;
}

}

BOOST_AUTO_TEST_SUITE(platform, *boost::unit_test::label("platform"))

// Guards against an entry of another writer whose values are out of range and that is used all the same.
BOOST_AUTO_TEST_CASE(entries_of_endpoints_with_odd_values_are_refused)
{
    BOOST_TEST(decodeEndpointRecord("servers/a", soundEntry().dump()).has_value());
    for (const auto &entry : oddEntries()) {
        BOOST_TEST(!decodeEndpointRecord("servers/a", entry).has_value(), entry.substr(0, 200));
    }
}

// Guards against a process that ends, or no longer follows the endpoints, because of one odd entry among theirs.
BOOST_AUTO_TEST_CASE(odd_entries_leave_the_sound_ones_in_use)
{
    VirtualTime time{Timestamp(1'000'000)};
    FakeMetadataStore store(time);
    EventLog log(
        EventLogSettings(), [&time] { return time.now(); }, [](std::string_view bytes) { return bytes.size(); });
    int n = 0;
    for (const auto &entry : oddEntries()) {
        store.put("servers/odd-" + std::to_string(++n), entry);
    }
    store.put("servers/sound-1", soundEntry().dump());
    SystemView view(store, virtualLoop(time), log, ViewScope::Serving, ViewWatchSpans{Milliseconds(2500), Milliseconds(5000)});
    view.start();
    time.advance(Milliseconds(100));
    BOOST_TEST(view.endpoints().size() == 1);
    for (const auto &entry : oddEntries()) {
        store.put("servers/sound-1", entry);
        time.advance(Milliseconds(20));
        store.put("servers/sound-1", soundEntry().dump());
        store.put("servers/sound-2", soundEntry().dump());
        time.advance(Milliseconds(20));
        BOOST_TEST(view.endpoints().readyEndpoints("s").size() == 2);
    }
}

// Guards against a process that ends because of an odd report of an endpoint.
BOOST_AUTO_TEST_CASE(odd_reports_of_endpoints_are_refused_or_decoded)
{
    for (const auto &report : oddEntries()) {
        static_cast<void>(decodeEndpointState(report));
    }
    for (const auto &value : {nested(100000), std::string("1e999"), std::string("18446744073709551616"), std::string("-1")}) {
        BOOST_TEST(!decodeEndpointState("{\"sequence\":" + value + "}").has_value());
    }
}

BOOST_AUTO_TEST_SUITE_END()
