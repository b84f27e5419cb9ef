#include "config/configurationedit.h"

#include "config/configurationstate.h"
#include "config/keydigest.h"

#include <boost/test/unit_test.hpp>

using namespace Basilbend;

namespace
{

ConfigurationEdit makeEdit(decltype(ConfigurationEdit::change) change, std::uint64_t baseRevision)
{
    return {std::move(change), baseRevision, WriteMark{"entry-1", 1, 1}};
}

}

BOOST_AUTO_TEST_SUITE(config, *boost::unit_test::label("config"))

BOOST_AUTO_TEST_CASE(every_kind_of_edit_round_trips_through_its_text_form)
{
    const std::vector<ConfigurationEdit> edits{
        makeEdit(Plan{"gold", 100, 5, 3}, 0),
        makeEdit(Access{"gold", {"policy-lm"}, {"field-desk"}, {{"policy-lm", 4}}}, 1),
        makeEdit(Workspace{"padana", "gold"}, 2),
        makeEdit(Route{"field-desk", true, {"GET"}}, 3),
        makeEdit(KeyRecord{"k1", "d", "padana", false}, 4),
        makeEdit(KeyWithdrawal{"k1"}, 5),
        makeEdit(Removal{ConfigurationList::Routes, "field-desk"}, 6),
    };
    for (const auto &edit : edits) {
        const auto read = editFromText(toText(edit));
        BOOST_REQUIRE(read.has_value());
        BOOST_TEST(toText(read.value()) == toText(edit));
    }
}

BOOST_AUTO_TEST_CASE(malformed_edits_are_rejected_with_a_result_code)
{
    const std::string mark = R"("mark":{"node":"a","incarnation":1,"number":1})";
    const auto codeOf = [](const std::string &text) { return editFromText(text).error().code; };
    BOOST_CHECK(codeOf("") == ResultCode::MalformedRequest);
    BOOST_CHECK(codeOf("[]") == ResultCode::MalformedRequest);
    BOOST_CHECK(codeOf(R"({"change":{}})") == ResultCode::MalformedRequest);
    BOOST_CHECK(codeOf("{\"change\":{\"plan\":{}}," + mark + "}") == ResultCode::UnknownField);
    BOOST_CHECK(codeOf("{\"change\":{\"plans\":{\"name\":\"a\",\"shares\":2}}," + mark + "}") == ResultCode::UnknownField);
    BOOST_CHECK(codeOf("{\"change\":{\"plans\":{\"name\":\"a\",\"share\":0}}," + mark + "}") == ResultCode::ValueOutOfRange);
    BOOST_CHECK(codeOf("{\"change\":{\"plans\":{\"name\":\"A b\"}}," + mark + "}") == ResultCode::ValueOutOfRange);
    BOOST_CHECK(codeOf(std::string(100'000, '[')) == ResultCode::MalformedRequest);
}

// Guards against silently overwriting another operator's edit.
BOOST_AUTO_TEST_CASE(an_edit_of_an_outdated_list_is_rejected_with_both_revisions)
{
    auto configuration = applyEdit(Configuration{}, makeEdit(Plan{"gold", 100, 0, 1}, 0));
    configuration = applyEdit(configuration, makeEdit(Plan{"gold", 200, 0, 1}, 1));
    const auto result = checkEdit(configuration, makeEdit(Plan{"gold", 150, 0, 1}, 1));
    BOOST_REQUIRE(!result.has_value());
    BOOST_CHECK(result.error().code == ResultCode::RevisionConflict);
    BOOST_TEST(result.error().message == "the list \"plans\" was changed at revision 2, the edit was made on revision 1");
    BOOST_TEST(checkEdit(configuration, makeEdit(Workspace{"padana", "gold"}, 1)).has_value());
}

BOOST_AUTO_TEST_CASE(an_edit_with_an_invalid_reference_is_rejected)
{
    auto configuration = applyEdit(Configuration{}, makeEdit(Plan{"gold", 100, 0, 1}, 0));
    configuration = applyEdit(configuration, makeEdit(Workspace{"padana", "gold"}, 1));
    const auto codeOf = [&](const ConfigurationEdit &edit) { return checkEdit(configuration, edit).error().code; };
    BOOST_CHECK(codeOf(makeEdit(Workspace{"malda", "silver"}, 9)) == ResultCode::EditInvalid);
    BOOST_CHECK(codeOf(makeEdit(Access{"silver", {}, {}, {}}, 9)) == ResultCode::EditInvalid);
    BOOST_CHECK(codeOf(makeEdit(KeyRecord{"k1", "d", "malda", false}, 9)) == ResultCode::EditInvalid);
    BOOST_CHECK(codeOf(makeEdit(KeyWithdrawal{"k1"}, 9)) == ResultCode::EditInvalid);
    BOOST_CHECK(codeOf(makeEdit(Removal{ConfigurationList::Plans, "gold"}, 9)) == ResultCode::EditInvalid);
    BOOST_CHECK(codeOf(makeEdit(Removal{ConfigurationList::Routes, "none"}, 9)) == ResultCode::EditInvalid);
}

// Guards against a delayed message that reverts the configuration to an older revision.
BOOST_AUTO_TEST_CASE(a_state_never_reverts_to_an_older_revision_and_never_skips_an_edit)
{
    ConfigurationState state;
    const auto first = toText(makeEdit(Plan{"gold", 100, 0, 1}, 0));
    const auto second = toText(makeEdit(Plan{"gold", 200, 0, 1}, 1));
    BOOST_TEST(!state.apply(2, second).value());
    BOOST_TEST(state.apply(1, first).value());
    const auto oldConfiguration = *state.current();
    BOOST_TEST(state.apply(2, second).value());
    BOOST_TEST(!state.apply(1, first).value());
    BOOST_TEST(!state.replace(oldConfiguration));
    BOOST_TEST(state.current()->plans.at("gold").tokensPerSecond == 200U);
    BOOST_TEST(state.editsAfter(1) == std::vector<std::string>{second});
    BOOST_TEST(!state.apply(3, "{}").has_value());
    BOOST_TEST(state.revision() == 2U);
}

BOOST_AUTO_TEST_CASE(a_key_is_stored_only_as_its_digest)
{
    const auto key = generateKey("padana", [](std::size_t n) { return std::string(n, 'x'); });
    BOOST_TEST(key.record.digest == keyDigest(key.clearText));
    BOOST_TEST(toText(makeEdit(key.record, 0)).find(key.clearText) == std::string::npos);
    BOOST_TEST(keyDigest("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

BOOST_AUTO_TEST_SUITE_END()
