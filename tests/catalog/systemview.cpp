#include "catalog/systemview.h"

#include "metadata/fakemetadatastore.h"

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>
#include <vector>

using namespace Basilbend;

namespace
{

using HostNames = std::set<std::string>;

/// The view of a scheduler, with the hosts to be emptied at each notification.
struct HostsToEmptyFixture {
    VirtualTime time{Timestamp(1'000'000)};
    FakeMetadataStore store{time};
    EventLog log{EventLogSettings(), [this] { return time.now(); }, [](std::string_view bytes) { return bytes.size(); }};
    SystemView view{store, virtualLoop(time), log, ViewScope::Control, ViewWatchSpans{Milliseconds(2500), Milliseconds(5000)}};
    std::vector<HostNames> notified;

    HostsToEmptyFixture()
    {
        view.onHostsToEmptyChanged = [this] { notified.push_back(names()); };
    }

    HostNames names() const
    {
        HostNames hosts;
        for (const auto &[host, revision] : view.hostsToEmpty()) {
            hosts.insert(host);
        }
        return hosts;
    }
};

}

BOOST_AUTO_TEST_SUITE(catalog, *boost::unit_test::label("catalog"))

// Guards against a hand-over to a process whose own host is to be emptied but was not among the first entries of a listing.
BOOST_FIXTURE_TEST_CASE(the_hosts_to_be_emptied_are_listed_at_once, HostsToEmptyFixture)
{
    store.put("op/retire/a", "{}");
    store.put("op/retire/b", "{}");
    view.start();
    time.advance(Milliseconds(500));
    BOOST_TEST((notified == std::vector<HostNames>{{"a", "b"}}));
}

// Guards against a host that stays on the list because the withdrawal of its request was lost with the history of the store.
BOOST_FIXTURE_TEST_CASE(a_request_that_was_withdrawn_while_the_history_was_lost_is_forgotten, HostsToEmptyFixture)
{
    store.put("op/retire/a", "{}");
    store.put("op/retire/b", "{}");
    store.put("op/retire/c", "{}");
    view.start();
    time.advance(Milliseconds(500));
    store.faults.watchesMissChanges = true;
    store.erase("op/retire/a");
    store.faults.compactedRevision = 1000;
    time.advance(Milliseconds(6000));
    BOOST_TEST((names() == HostNames{"b", "c"}));
    BOOST_TEST((notified == std::vector<HostNames>{{"a", "b", "c"}, {"b", "c"}}));
}

BOOST_AUTO_TEST_SUITE_END()
