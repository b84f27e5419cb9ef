#include "log/eventlog.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <sstream>

using namespace Basilbend;

namespace
{

struct LogFixture {
    Timestamp now{5000};
    std::string written;
    std::size_t sinkCapacity = 1 << 20;
    EventLog log{makeSettings(),
                 [this] { return now; },
                 [this](std::string_view bytes) {
                     const auto n = std::min(sinkCapacity, bytes.size());
                     written.append(bytes.substr(0, n));
                     sinkCapacity -= n;
                     return n;
                 }};

    static EventLogSettings makeSettings()
    {
        EventLogSettings settings;
        settings.node = "n";
        settings.incarnation = "i";
        settings.infoLinesPerSecond = 10;
        settings.warningLinesPerSecond = 20;
        settings.maxPendingBytes = 4000;
        return settings;
    }

    std::vector<nlohmann::json> lines() const
    {
        std::vector<nlohmann::json> result;
        std::istringstream input(written);
        for (std::string line; std::getline(input, line);) {
            result.push_back(nlohmann::json::parse(line));
        }
        return result;
    }
};

}

BOOST_AUTO_TEST_SUITE(logging, *boost::unit_test::label("log"))

BOOST_FIXTURE_TEST_CASE(a_line_is_a_json_object_with_its_fields, LogFixture)
{
    log.info("event_a", {{"text", "q\"\n"}, {"number", 7}, {"real", 0.5}, {"flag", true}, {"span_ms", Milliseconds(12)}});
    log.flush();
    const auto line = lines().at(0);
    BOOST_TEST(line.at("event") == "event_a");
    BOOST_TEST(line.at("text") == "q\"\n");
    BOOST_TEST(line.at("number") == 7);
    BOOST_TEST(line.at("flag") == true);
    BOOST_TEST(line.at("span_ms") == 12);
    BOOST_TEST(line.at("time_ms") == 5000);
    BOOST_TEST(line.at("node") == "n");
}

BOOST_FIXTURE_TEST_CASE(lines_are_limited_per_event_and_suppressed_lines_are_counted, LogFixture)
{
    for (int i = 0; i < 100; ++i) {
        log.info("frequent", {});
    }
    log.info("rare", {});
    now = now + Milliseconds(1000);
    log.info("frequent", {});
    log.flush();
    const auto all = lines();
    BOOST_TEST(std::count_if(all.begin(), all.end(), [](const auto &line) { return line.at("event") == "frequent"; }) == 11);
    BOOST_TEST(std::count_if(all.begin(), all.end(), [](const auto &line) { return line.at("event") == "rare"; }) == 1);
    const auto it = std::find_if(all.begin(), all.end(), [](const auto &line) { return line.at("event") == "log_lines_suppressed"; });
    BOOST_REQUIRE((it != all.end()));
    BOOST_TEST(it->at("lines") == 90);
}

// Guards against unbounded memory, and against lost warnings, when the reader of the log stops reading.
BOOST_FIXTURE_TEST_CASE(a_stalled_reader_loses_info_lines_before_warnings, LogFixture)
{
    sinkCapacity = 0;
    for (int second = 0; second < 20; ++second) {
        now = now + Milliseconds(1000);
        for (int i = 0; i < 10; ++i) {
            log.info("good", {{"text", std::string(50, 'x')}});
        }
    }
    log.warning("bad", {});
    BOOST_TEST(log.droppedLines() > 0U);
    sinkCapacity = 1 << 20;
    log.flush();
    BOOST_TEST(written.size() <= 4000U);
    BOOST_TEST(lines().back().at("event") == "bad");
}

BOOST_AUTO_TEST_SUITE_END()
