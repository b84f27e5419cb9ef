#include "sidecar/sidecarcore.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace Basilbend;

namespace
{

struct CoreFixture {
    static constexpr std::uint64_t Incarnation = 5;

    SidecarSettings settings;
    std::vector<AttemptId> calls;
    std::vector<AttemptId> cancelled;
    std::vector<AttemptLine> lines;
    std::vector<AttemptUsage> usage;
    int queries = 0;
    std::unique_ptr<SidecarCore> core;
    Timestamp now{1000};

    void start(bool confirmed = true)
    {
        settings.serves = "policy-lm";
        SidecarCore::Hooks hooks;
        hooks.startCall = [this](const AttemptRequest &request) { calls.push_back(request.id); };
        hooks.cancelCall = [this](const AttemptId &id) { cancelled.push_back(id); };
        hooks.emit = [this](const AttemptId &, const std::string &line, bool) { lines.push_back(AttemptLine::fromText(line).value()); };
        hooks.queryVersion = [this] { ++queries; };
        hooks.reportUsage = [this](const AttemptUsage &used) { usage.push_back(used); };
        core = std::make_unique<SidecarCore>(settings, Incarnation, hooks);
        if (confirmed) {
            core->versionAnswered(core->beginVersionQuery(), 7, false, now);
        }
    }

    AttemptRequest request(std::uint64_t sequence) const
    {
        AttemptRequest request;
        request.id = {"entry", 1, sequence};
        request.sidecarIncarnation = Incarnation;
        request.workspace = "padana";
        request.timeLeft = Milliseconds(60000);
        request.engine.model = "policy-lm";
        request.engine.prompt = "count to three";
        return request;
    }

    EndpointChunk chunk(const std::string &text, std::uint64_t version, const std::string &finishReason = {}) const
    {
        return {text, 1, version, 0, finishReason};
    }
};

}

BOOST_AUTO_TEST_SUITE(sidecar, *boost::unit_test::label("sidecar"))

BOOST_FIXTURE_TEST_CASE(an_attempt_runs_once_and_its_lines_are_numbered, CoreFixture)
{
    start();
    const auto asked = request(1);
    BOOST_TEST(core->receive(asked, now).has_value());
    BOOST_TEST(core->receive(asked, now).has_value());
    BOOST_TEST(calls.size() == 1U);
    core->chunk(asked.id, chunk("one ", 7), now);
    core->chunk(asked.id, chunk("two ", 7, "stop"), now);
    BOOST_TEST(core->receive(asked, now).has_value());
    BOOST_TEST(calls.size() == 1U);
    for (std::size_t i = 0; i < lines.size(); ++i) {
        BOOST_TEST(lines[i].number == i);
        BOOST_TEST(lines[i].attempt == "entry/1/1");
    }
    BOOST_TEST((lines.back().kind == AttemptLine::Kind::Finished));
    BOOST_TEST((lines.back().versions == VersionList{{7, 0}}));
    BOOST_TEST_REQUIRE(usage.size() == 1U);
    BOOST_TEST(usage[0].tokens.completionTokens == 2U);
    BOOST_TEST(core->isIdle());
}

// Guards against a late copy of an attempt that was reported as not run.
BOOST_FIXTURE_TEST_CASE(a_revoked_attempt_never_starts, CoreFixture)
{
    start();
    BOOST_TEST((core->revoke(request(1).id, Incarnation, false, now) == RevocationAnswer::NeverStarted));
    const auto late = core->receive(request(1), now);
    BOOST_TEST_REQUIRE(!late.has_value());
    BOOST_TEST((late.error().execution == Execution::NotRun));
    BOOST_TEST(!core->attach(request(2).id, Incarnation, now).has_value());
    BOOST_TEST(!core->receive(request(2), now).has_value());
    BOOST_TEST(calls.empty());
}

// Guards against "not run" from a sidecar that can't know it.
BOOST_FIXTURE_TEST_CASE(an_attempt_for_another_incarnation_is_unknown, CoreFixture)
{
    start();
    auto misrouted = request(1);
    misrouted.sidecarIncarnation = 4;
    BOOST_TEST((core->receive(misrouted, now).error().execution == Execution::Unknown));
    BOOST_TEST((core->attach(misrouted.id, 4, now).error().execution == Execution::Unknown));
}

BOOST_FIXTURE_TEST_CASE(misrouted_and_late_work_is_refused_as_not_run, CoreFixture)
{
    start();
    auto misrouted = request(1);
    misrouted.engine.model = "other";
    BOOST_TEST((core->receive(misrouted, now).error().execution == Execution::NotRun));
    auto service = request(2);
    service.isService = true;
    service.service.route = "policy-lm";
    BOOST_TEST((core->receive(service, now).error().execution == Execution::NotRun));
    core->setLeaving();
    const auto late = core->receive(request(3), now);
    BOOST_TEST((late.error().code == ResultCode::Draining));
    BOOST_TEST(calls.empty());
}

// Guards against a reported version that the engine did not confirm.
BOOST_FIXTURE_TEST_CASE(an_end_in_doubt_waits_for_the_next_confirmation, CoreFixture)
{
    start();
    BOOST_TEST(core->receive(request(1), now).has_value());
    BOOST_TEST(core->beginSwap(8).has_value());
    core->chunk(request(1).id, chunk("one ", 7), now);
    core->chunk(request(1).id, chunk("two ", 8, "stop"), now);
    BOOST_TEST((lines.back().kind == AttemptLine::Kind::Delta));
    BOOST_TEST(!lines.back().version.has_value());
    BOOST_TEST(queries == 1);
    core->versionAnswered(core->beginVersionQuery(), 8, false, now);
    BOOST_TEST((lines.back().kind == AttemptLine::Kind::Finished));
    BOOST_TEST((lines.back().versions == VersionList{{7, 0}, {8, 1}}));
}

// Guards against lost or reordered output when deltas are joined for a busy entry.
BOOST_FIXTURE_TEST_CASE(joined_deltas_keep_all_text_in_order, CoreFixture)
{
    start();
    auto joined = request(1);
    joined.deltaJoinInterval = Milliseconds(40);
    BOOST_TEST(core->receive(joined, now).has_value());
    core->chunk(joined.id, chunk("one ", 7), now);
    core->chunk(joined.id, chunk("two ", 7), now + Milliseconds(10));
    core->chunk(joined.id, chunk("three ", 7), now + Milliseconds(20));
    BOOST_TEST(lines.size() == 3U);
    core->tick(now + Milliseconds(40));
    BOOST_TEST(lines.back().text == "two three ");
    BOOST_TEST(lines.back().tokens == 2U);
    core->chunk(joined.id, chunk("four ", 7), now + Milliseconds(50));
    core->chunk(joined.id, chunk("five ", 7, "stop"), now + Milliseconds(51));
    BOOST_TEST(lines.at(lines.size() - 2).text == "four five ");
    BOOST_TEST((lines.back().kind == AttemptLine::Kind::Finished));
}

BOOST_FIXTURE_TEST_CASE(a_contradicting_version_ends_the_attempt_and_the_rotation, CoreFixture)
{
    start();
    BOOST_TEST(core->receive(request(1), now).has_value());
    core->chunk(request(1).id, chunk("one ", 9), now);
    BOOST_TEST((lines.back().error.code == ResultCode::VersionUnverified));
    BOOST_TEST(cancelled.size() == 1U);
    BOOST_TEST(!core->load().inRotation);
    core->usageSettled(request(1).id, std::nullopt);
    BOOST_TEST(usage.at(0).tokens.completionTokens == 1U);
}

// Guards against tokens that an engine produced after its stream was closed and that nobody was billed for.
BOOST_FIXTURE_TEST_CASE(a_cancelled_call_is_billed_for_what_the_engine_produced, CoreFixture)
{
    start();
    for (std::uint64_t n = 1; n <= 3; ++n) {
        BOOST_TEST(core->receive(request(n), now).has_value());
        core->chunk(request(n).id, chunk("one ", 7), now);
    }
    core->revoke(request(1).id, core->incarnation(), true, now);
    core->callFailed(request(2).id, Error{ResultCode::EndpointFailed, "cut", Execution::Ran}, now);
    core->revoke(request(3).id, core->incarnation(), true, now);
    BOOST_TEST(usage.empty());
    BOOST_TEST(!core->isIdle());
    core->usageSettled(request(1).id, 5);
    core->usageSettled(request(2).id, 4);
    core->usageSettled(request(2).id, 4);
    // The engine could not be asked: what arrived is billed.
    core->usageSettled(request(3).id, std::nullopt);
    BOOST_REQUIRE(usage.size() == 3U);
    BOOST_TEST(usage[0].tokens.completionTokens == 5U);
    BOOST_TEST(usage[1].tokens.completionTokens == 4U);
    BOOST_TEST(usage[2].tokens.completionTokens == 1U);
    BOOST_TEST(core->isIdle());
}

// Guards against a flood of one workspace that hides a free engine from the others.
BOOST_FIXTURE_TEST_CASE(the_load_report_leaves_out_what_a_flood_holds_above_its_promise, CoreFixture)
{
    settings.queue.engineBound = 4;
    start();
    core->setShare("flood", 1);
    core->setShare("other", 3);
    for (std::uint64_t n = 1; n <= 20; ++n) {
        auto flood = request(n);
        flood.workspace = "flood";
        BOOST_TEST(core->receive(flood, now).has_value());
    }
    const auto report = core->load();
    BOOST_TEST(report.running + report.waiting == 20U);
    BOOST_TEST(report.competing < 4.0);
    BOOST_TEST(endpointReportFromJson(toJson(report)).value().competing == report.competing);
}

// Guards against engine streams that hang for ever; a swap is the one silence that is expected.
BOOST_FIXTURE_TEST_CASE(a_silent_engine_stream_is_ended_but_not_during_a_swap, CoreFixture)
{
    start();
    BOOST_TEST(core->receive(request(1), now).has_value());
    BOOST_TEST(core->beginSwap(8).has_value());
    core->tick(now + settings.engineSilence);
    BOOST_TEST(cancelled.empty());
    core->versionAnswered(core->beginVersionQuery(), 8, false, now);
    core->tick(now + settings.engineSilence);
    BOOST_TEST(cancelled.size() == 1U);
    BOOST_TEST((lines.back().error.code == ResultCode::EndpointFailed));
}

BOOST_FIXTURE_TEST_CASE(work_past_its_deadline_is_cancelled, CoreFixture)
{
    settings.engineSilence = Milliseconds(1000000);
    start();
    BOOST_TEST(core->receive(request(1), now).has_value());
    core->tick(now + Milliseconds(60001));
    BOOST_TEST((lines.back().error.code == ResultCode::DeadlineExceeded));
    BOOST_TEST((lines.back().error.execution == Execution::Ran));
    BOOST_TEST(cancelled.size() == 1U);
}

// Guards against engines that work for entries that are gone; rollouts are kept for whoever takes the step over.
BOOST_FIXTURE_TEST_CASE(an_abandoned_live_attempt_ends_and_a_rollout_goes_on, CoreFixture)
{
    start();
    BOOST_TEST(core->receive(request(1), now).has_value());
    auto rollout = request(2);
    rollout.requestClass = RequestClass::Rollout;
    BOOST_TEST(core->receive(rollout, now).has_value());
    core->abandon(request(1).id, now);
    core->abandon(rollout.id, now);
    BOOST_TEST_REQUIRE(cancelled.size() == 1U);
    BOOST_TEST((cancelled[0] == request(1).id));
}

// Guards against memory that grows with ended attempts.
BOOST_AUTO_TEST_CASE(kept_lines_are_bounded_by_bytes_and_age)
{
    AttemptLog log(Milliseconds(1000), 100);
    const AttemptId first{"entry", 1, 1};
    const AttemptId second{"entry", 1, 2};
    log.append(first, std::string(80, 'x'));
    log.end(first, Timestamp(0));
    BOOST_TEST(log.hasEnded(first));
    log.append(second, std::string(80, 'x'));
    BOOST_TEST(log.lines(first) != nullptr);
    log.end(second, Timestamp(1));
    BOOST_TEST(log.lines(first) == nullptr);
    BOOST_TEST(log.lines(second)->size() == 1U);
    log.expire(Timestamp(1001));
    BOOST_TEST(log.lines(second) == nullptr);
    BOOST_TEST(log.endedBytes() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
