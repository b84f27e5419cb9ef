#include "base/random.h"
#include "catalog/systemview.h"
#include "metadata/fakemetadatastore.h"
#include "metadata/watchtiming.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <optional>
#include <string>

using namespace Basilbend;

namespace
{

constexpr Milliseconds Bound{2000};
/// Time after a fault from which the bound holds again.
constexpr Milliseconds ContactTime{3000};
constexpr Milliseconds Step{10};

/// Changes configurations and published versions at random while the store has faults, and judges the view at each step: every
/// configuration that was acknowledged longer ago than the bound must be in force, unless a fault lasts or has just ended.
class ConfigurationRun
{
public:
    explicit ConfigurationRun(std::uint64_t seed)
        : m_random(seed)
    {
        change();
        m_view.start();
    }

    /// Returns the time by which the view was latest, or nothing if it always kept the bound.
    std::optional<Milliseconds> run(Milliseconds length)
    {
        std::optional<Milliseconds> worst;
        for (Milliseconds passed{0}; passed < length; passed += Step) {
            act();
            m_time.advance(Step);
            if (const auto late = lateness()) {
                worst = std::max(worst.value_or(Milliseconds(0)), *late);
            }
        }
        return worst;
    }

private:
    struct Version {
        std::uint64_t number;
        Timestamp acknowledgedAt;
    };

    void change()
    {
        m_version += 1 + m_random.below(4);
        m_store.put("op/config", R"({"version":)" + std::to_string(m_version) + R"(,"services":[],"routes":[]})");
        m_versions.push_back({m_version, m_time.now()});
    }

    void act()
    {
        if (m_random.below(80) == 0) {
            change();
        }
        if (m_random.below(60) == 0) {
            m_store.put("op/version/m", R"({"model":"m","version":)" + std::to_string(++m_published) + "}");
        }
        if (m_faultEndsAt) {
            if (m_time.now() >= *m_faultEndsAt) {
                m_store.faults = {};
                m_faultEndsAt.reset();
                m_lastFaultAt = m_time.now();
            }
        } else if (m_random.below(600) == 0) {
            beginFault();
        }
    }

    void beginFault()
    {
        auto duration = Milliseconds(200 + static_cast<int>(m_random.below(4000)));
        switch (m_random.below(5)) {
        case 0:
            m_store.faults.refuses = true;
            break;
        case 1:
            m_store.faults.doesNotAnswer = true;
            break;
        case 2:
            // Watches miss changes for up to one second.
            m_store.faults.watchesMissChanges = true;
            duration = std::min(duration, Milliseconds(1000));
            break;
        case 3:
            m_store.faults.waitingWatchesAreLost = true;
            break;
        case 4:
            m_store.faults.compactedRevision = 1'000'000;
            duration = Milliseconds(100);
            break;
        }
        m_faultEndsAt = m_time.now() + duration;
    }

    std::optional<Milliseconds> lateness() const
    {
        const auto now = m_time.now();
        if (m_faultEndsAt || now - m_lastFaultAt < ContactTime) {
            return std::nullopt;
        }
        const auto inForce = m_view.routes() == nullptr ? 0 : m_view.routes()->version();
        const auto it = std::find_if(m_versions.begin(), m_versions.end(), [&](const Version &version) { return version.number > inForce; });
        if (it == m_versions.end() || now - it->acknowledgedAt <= Bound) {
            return std::nullopt;
        }
        return now - it->acknowledgedAt - Bound;
    }

    VirtualTime m_time{Timestamp(1'000'000)};
    FakeMetadataStore m_store{m_time};
    Random m_random;
    EventLog m_log{EventLogSettings(), [this] { return m_time.now(); }, [](std::string_view bytes) { return bytes.size(); }};
    SystemView m_view{
        m_store, virtualLoop(m_time), m_log, ViewScope::Control, ViewWatchSpans{WatchTiming::spanFor(Bound), WatchTiming::spanFor(Milliseconds(2000))}};
    std::uint64_t m_version = 0;
    std::uint64_t m_published = 1;
    std::deque<Version> m_versions;
    std::optional<Timestamp> m_faultEndsAt;
    Timestamp m_lastFaultAt = m_time.now() - ContactTime;
};

}

BOOST_AUTO_TEST_SUITE(catalog, *boost::unit_test::label("catalog"))

// Guards against a process that handles requests by an older configuration longer than the bound after its acknowledgement, whatever
// fault the store had before.
BOOST_AUTO_TEST_CASE(each_configuration_is_in_force_within_its_bound_after_any_fault_of_the_store)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        const auto late = ConfigurationRun(seed).run(Milliseconds(60'000));
        BOOST_TEST(!late, "seed " << seed << ": late by " << late.value_or(Milliseconds(0)).count() << " ms");
    }
}

BOOST_AUTO_TEST_SUITE_END()
