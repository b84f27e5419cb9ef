#include "forwarding/streamorigin.h"

#include <boost/test/unit_test.hpp>

using namespace Basilbend;

namespace
{

constexpr Timestamp Start(1'000'000);
/// Longer than any delay of the rules.
constexpr Milliseconds LongTime{600000};

ServiceVersions versionsOf(const std::set<std::string> &registered, std::optional<StreamBase> base)
{
    ServiceVersions versions;
    versions.setVersions({registered, registered}, Start);
    versions.setBase(std::move(base));
    return versions;
}

}

BOOST_AUTO_TEST_SUITE(forwarding, *boost::unit_test::label("forwarding"))

// Guards against streams that another process would take for those of another version because no record tells them apart.
BOOST_AUTO_TEST_CASE(a_stream_begins_without_a_record_only_where_a_missing_record_names_no_other_version)
{
    const auto open = versionsOf({"1", "2"}, StreamBase{"1", false});
    BOOST_TEST(open.mayBeginUnrecorded("1", true));
    BOOST_TEST(!open.mayBeginUnrecorded("2", true));
    const auto closed = versionsOf({"1", "2"}, StreamBase{"1", true});
    BOOST_TEST(closed.mayBeginUnrecorded("1", true));
    BOOST_TEST(closed.mayBeginUnrecorded("2", true));
    BOOST_TEST(!versionsOf({"1"}, std::nullopt).mayBeginUnrecorded("1", true));
    BOOST_TEST(!versionsOf({"2"}, StreamBase{"1", false}).mayBeginUnrecorded("1", true));
}

// Guards against a process that was cut off for so long that the others may have moved the base version.
BOOST_AUTO_TEST_CASE(a_process_with_an_old_list_begins_no_stream_without_a_record)
{
    const auto open = versionsOf({"1"}, StreamBase{"1", false});
    BOOST_TEST(!open.mustRecord("1", true));
    BOOST_TEST(open.mustRecord("1", false));
    BOOST_TEST(!open.mayBeginUnrecorded("1", false));
    BOOST_TEST(!versionsOf({"1"}, StreamBase{"2", true}).mayBeginUnrecorded("1", false));
}

// Guards against a closed base version that was opened again for another one before a version was added, and against streams that are
// refused in an outage because a version has left.
BOOST_AUTO_TEST_CASE(a_closed_base_must_have_been_read_for_the_registered_versions)
{
    auto versions = versionsOf({"1", "2"}, StreamBase{"1", true});
    versions.setVersions({{"2"}, {"2"}}, Start);
    BOOST_TEST(versions.mayBeginUnrecorded("2", true));
    versions.setVersions({{"2", "3"}, {"2", "3"}}, Start);
    BOOST_TEST(!versions.mayBeginUnrecorded("3", true));
}

// Guards against streams without a record that a process begins at the base version, which has stopped and begun to serve again, after
// another process has closed it: their take-ups are refused.
BOOST_AUTO_TEST_CASE(the_base_is_read_again_when_a_version_begins_to_serve_again)
{
    ServiceVersions versions;
    versions.setVersions({{"1", "2"}, {"1", "2"}}, Start);
    versions.setBase(StreamBase{"1", false});
    versions.setVersions({{"1", "2"}, {"2"}}, Start);
    BOOST_TEST(!versions.mustReadBase());
    versions.setVersions({{"1", "2"}, {"1", "2"}}, Start);
    BOOST_TEST(versions.mustReadBase());
    BOOST_TEST(versions.mustRecord("1", true));
}

BOOST_AUTO_TEST_CASE(a_closed_base_gives_way_to_the_only_version_when_no_earlier_stream_can_last)
{
    const auto versions = versionsOf({"1"}, StreamBase{"1", true});
    BOOST_TEST(versions.mustRecord("1", true));
    BOOST_TEST(versions.needsLateRecord("1"));
    BOOST_TEST(!versions.nextBase(Start + ServiceVersions::SettleTime - Milliseconds(1)).has_value());
    BOOST_TEST((versions.nextBase(Start + ServiceVersions::SettleTime) == "1"));
    BOOST_TEST((versionsOf({"2"}, std::nullopt).nextBase(Start) == "2"));
}

BOOST_AUTO_TEST_CASE(a_base_is_closed_once_other_versions_alone_have_served_for_a_time)
{
    BOOST_TEST(!versionsOf({"1", "2"}, StreamBase{"1", false}).mustCloseBase(Start + LongTime));
    const auto left = versionsOf({"2"}, StreamBase{"1", false});
    BOOST_TEST(!left.mustCloseBase(Start + ServiceVersions::CloseDelay - Milliseconds(1)));
    BOOST_TEST(left.mustCloseBase(Start + ServiceVersions::CloseDelay));
    // Endpoints that drain begin no streams.
    ServiceVersions draining;
    draining.setVersions({{"1", "2"}, {"2"}}, Start);
    draining.setBase(StreamBase{"1", false});
    BOOST_TEST(draining.mustCloseBase(Start + ServiceVersions::CloseDelay));
    BOOST_TEST(!draining.servingBase(true).has_value());
    // An empty list says more about the store than about the endpoints.
    BOOST_TEST(!versionsOf({}, StreamBase{"1", false}).mustCloseBase(Start + LongTime));
    BOOST_TEST(!versionsOf({"2"}, StreamBase{"1", true}).mustCloseBase(Start + LongTime));
}

// Guards against records that builds side by side read differently.
BOOST_AUTO_TEST_CASE(an_open_base_is_stored_as_its_version_alone)
{
    BOOST_TEST(encodeStreamBase({"v1", false}) == "v1");
    for (const auto &base : {StreamBase{"v1", false}, StreamBase{"v1", true}, StreamBase{"", false}, StreamBase{"{", false}, StreamBase{"7", true}}) {
        BOOST_TEST((decodeStreamBase(encodeStreamBase(base)) == base));
    }
    BOOST_TEST((decodeStreamBase("{\"closed\":7}") == StreamBase{"{\"closed\":7}", false}));
}

BOOST_AUTO_TEST_SUITE_END()
