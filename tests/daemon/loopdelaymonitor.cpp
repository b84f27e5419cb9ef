#include "daemon/loopdelaymonitor.h"

#include <boost/test/unit_test.hpp>

using namespace Basilbend;

BOOST_AUTO_TEST_SUITE(loopdelay)

BOOST_AUTO_TEST_CASE(a_report_shows_the_longest_and_the_mean_delay_of_its_interval)
{
    LoopDelayMonitor monitor;
    BOOST_TEST(!monitor.record(Timestamp(100), Timestamp(100)).has_value());
    BOOST_TEST(!monitor.record(Timestamp(200), Timestamp(290)).has_value());
    BOOST_TEST(!monitor.record(Timestamp(300), Timestamp(310)).has_value());
    const auto report = monitor.record(Timestamp(400), Timestamp(420));
    BOOST_REQUIRE(report.has_value());
    BOOST_TEST(report->longest.count() == 90);
    BOOST_TEST(report->mean.count() == 30);
}

BOOST_AUTO_TEST_CASE(a_delay_counts_in_one_report_only)
{
    LoopDelayMonitor monitor;
    for (int i = 0; i < LoopDelayMonitor::SamplesPerReport; ++i) {
        monitor.record(Timestamp(0), Timestamp(500));
    }
    std::optional<LoopDelay> report;
    for (int i = 0; i < LoopDelayMonitor::SamplesPerReport; ++i) {
        report = monitor.record(Timestamp(1000), Timestamp(1000));
    }
    BOOST_REQUIRE(report.has_value());
    BOOST_TEST((*report == LoopDelay{}));
}

BOOST_AUTO_TEST_SUITE_END()
