#include "config/settingsreader.h"

#include <boost/test/unit_test.hpp>

using namespace Basilbend;

BOOST_AUTO_TEST_SUITE(config, *boost::unit_test::label("config"))

BOOST_AUTO_TEST_CASE(settings_are_parsed_with_units_and_defaults)
{
    SettingsReader reader("listen: 127.0.0.1:80\nlimits:\n  body: 2 MB\n  wait: 250 ms\n", "a.yaml");
    BOOST_TEST(reader.address("listen").port == 80);
    BOOST_TEST(reader.bytesOr("limits.body", 1, 1, 4 * 1024 * 1024) == 2U * 1024 * 1024);
    BOOST_TEST(reader.durationOr("limits.wait", Milliseconds(1), Milliseconds(1), Milliseconds(1000)).count() == 250);
    BOOST_TEST(reader.numberOr("threads", 3, 1, 8) == 3U);
    BOOST_TEST(reader.finish().has_value());
}

// Guards against a process that starts with a misread setting: each fault must name the file, line, key and allowed values.
BOOST_AUTO_TEST_CASE(each_invalid_setting_is_reported_with_file_line_key_and_allowed_values)
{
    const auto messageFor = [](const std::string &text) {
        SettingsReader reader(text, "a.yaml");
        reader.durationOr("wait", Milliseconds(1), Milliseconds(10), Milliseconds(60'000));
        reader.numberOr("threads", 1, 1, 8);
        reader.addressOr("listen", {});
        const auto result = reader.finish();
        return result ? std::string("accepted") : result.error().message;
    };
    BOOST_TEST(messageFor("wait: 250\n") == "a.yaml:1: wait: \"250\" is not allowed, must be a time with unit (ms, s, min, h) from 10 ms to 1 min");
    BOOST_TEST(messageFor("\nthreads: 9\n") == "a.yaml:2: threads: \"9\" is not allowed, must be a whole number from 1 to 8");
    BOOST_TEST(messageFor("wiat: 1 s\n") == "a.yaml:1: wiat: is not a known key; known keys are listen, threads, wait");
    BOOST_TEST(messageFor("listen: localhost:80\n")
               == "a.yaml:1: listen: \"localhost:80\" is not allowed, must be an IP address with a port, for example 10.0.0.5:8080");
    BOOST_TEST(messageFor("wait: [1]\n") == "a.yaml:1: wait: must be a time with unit (ms, s, min, h) from 10 ms to 1 min");
    BOOST_TEST(messageFor("threads: 2\nthreads: 3\n").find("a.yaml:2: threads: appears twice") == 0);
    BOOST_TEST(messageFor("- a\n") == "a.yaml:1: file: must hold a map of settings");
    BOOST_TEST(messageFor("a: [\n").find("is not valid YAML") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
