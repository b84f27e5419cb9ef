#include "net/metrics.h"

#include <boost/test/unit_test.hpp>

using namespace Basilbend;

BOOST_AUTO_TEST_SUITE(net, *boost::unit_test::label("net"))

// Guards against exporting quantiles of zero, which a scraper would take for measured values.
BOOST_AUTO_TEST_CASE(a_summary_exports_no_quantiles_below_five_observations)
{
    Metrics metrics;
    metrics.observe("wait_seconds", 2.0);
    BOOST_TEST(metrics.toText().find("quantile") == std::string::npos);
    for (int i = 0; i < 4; ++i) {
        metrics.observe("wait_seconds", 2.0);
    }
    BOOST_TEST(metrics.toText().find("wait_seconds{quantile=\"0.5\"} 2") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
