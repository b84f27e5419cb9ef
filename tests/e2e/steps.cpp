#include "base/systemclock.h"
#include "standins/localsystem.h"
#include "standins/trainer.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <log4cplus/logger.h>

using namespace Basilbend;

namespace
{

constexpr Milliseconds StepTimeout{120000};

/// A system with three entries in two zones and three engines, and the step of one trainer.
struct StepFixture {
    LocalSystem system;
    Step step;

    StepFixture()
    {
        log4cplus::Logger::getRoot().setLogLevel(log4cplus::OFF_LOG_LEVEL);
        system.configure({{"arm-crew", 1}}, {"policy-lm"}, {});
        system.addEntry("entry-1", "malda-a");
        system.addEntry("entry-2", "murshidabad-b");
        system.addEntry("entry-3", "malda-a");
        system.addEngine("policy-lm-1", "malda-a", "policy-lm", nlohmann::json::object());
        system.addEngine("policy-lm-2", "murshidabad-b", "policy-lm", nlohmann::json::object());
        system.addEngine("policy-lm-3", "malda-a", "policy-lm", nlohmann::json::object());
        BOOST_REQUIRE(system.start(StepTimeout));
        step.model = "policy-lm";
        step.maxTokens = 120;
        for (int n = 0; n < 10; ++n) {
            step.groups.push_back({"arm-crew| grip object " + std::to_string(n), 4});
        }
    }

    /// Runs the step. The fault is applied once, as soon as the trainer has received samples.
    TrainerReport run(const std::function<void()> &fault)
    {
        TrainerSettings settings;
        settings.entries = system.entryUrls();
        settings.key = system.keys().at("arm-crew");
        settings.fetchMax = 6;
        settings.fetchWait = Milliseconds(200);
        Trainer trainer(system.client(), settings, systemNow);
        bool applied = false;
        const auto report = trainer.runStep(step, StepTimeout, [&](std::uint64_t delivered) {
            if (!applied && delivered > 0) {
                applied = true;
                fault();
            }
        });
        BOOST_REQUIRE_MESSAGE(report.has_value(), (report.has_value() ? std::string() : report.error().message));
        return report.value();
    }

    static void requireEachSampleOnce(const TrainerReport &report)
    {
        BOOST_TEST(report.samples == 40U);
        BOOST_TEST(report.lost == 0U);
        BOOST_TEST(report.duplicates == 0U);
        BOOST_TEST(report.unknown == 0U);
        BOOST_TEST(report.stale == 0U);
        BOOST_TEST(report.wrongTexts == 0U);
        BOOST_TEST(report.wrongVersions == 0U);
    }
};

}

BOOST_AUTO_TEST_SUITE(e2e, *boost::unit_test::label("e2e"))

// Guards against samples that are lost or delivered twice when an entry is killed, including the one that opened the step.
BOOST_DATA_TEST_CASE_F(StepFixture, any_entry_may_die_in_mid_step_and_each_sample_arrives_once, boost::unit_test::data::xrange(3), number)
{
    requireEachSampleOnce(run([this, number = number] { system.killEntry(static_cast<std::size_t>(number)); }));
}

BOOST_FIXTURE_TEST_CASE(an_engine_may_die_in_mid_step_and_each_sample_arrives_once, StepFixture)
{
    requireEachSampleOnce(run([this] { system.killEngine(0); }));
}

BOOST_FIXTURE_TEST_CASE(a_sidecar_may_die_in_mid_step_and_each_sample_arrives_once, StepFixture)
{
    requireEachSampleOnce(run([this] { system.killSidecar(1); }));
}

BOOST_AUTO_TEST_SUITE_END()
