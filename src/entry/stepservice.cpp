#include "entry/stepservice.h"

#include "entry/stepopening.h"
#include "entry/stepwork.h"
#include "steps/stepcodec.h"

#include <algorithm>
#include <cstdio>

namespace Basilbend
{

namespace Internal
{

Error stepUnknown()
{
    return {ResultCode::StepUnknown, "no such step is open in this workspace"};
}

std::string hexadecimal(std::uint64_t n)
{
    char buf[17];
    std::snprintf(buf, sizeof buf, "%016llx", static_cast<unsigned long long>(n));
    return buf;
}

}

StepService::StepService(std::string node, StepHooks hooks, Random random, StepServiceSettings settings)
    : m_node(std::move(node))
    , m_hooks(std::move(hooks))
    , m_random(random)
    , m_settings(settings)
{
}

StepService::~StepService() = default;

void StepService::open(
    const std::string &workspace, const std::string &body, const std::function<Result<void>(const Step &)> &mayUse, Timestamp now, StepAnswer answer)
{
    m_now = now;
    auto opening = readStepOpening(body, now);
    if (!opening) {
        answer(opening.error());
        return;
    }
    auto &step = opening.value().step;
    step.workspace = workspace;
    const auto allowed = mayUse(step);
    if (!allowed) {
        answer(allowed.error());
        return;
    }
    if (m_draining || m_works.size() >= m_settings.maxSteps) {
        const auto code = m_draining ? ResultCode::Draining : ResultCode::Overloaded;
        answer(Error{code, "this entry takes no further steps", Execution::NotRun, Milliseconds(1000)});
        return;
    }
    const auto unique = "s" + Internal::hexadecimal(m_random.bits());
    std::vector<std::string> holders{m_node};
    for (const auto &holder : m_hooks.chooseHolders(unique, m_settings.copies)) {
        holders.push_back(holder);
    }
    step.id = makeStepId(unique, holders);
    auto work = std::make_unique<Work>();
    const auto id = step.id;
    work->tracker = std::make_unique<StepTracker>(std::move(step), m_lengths, now);
    if (opening.value().reopened) {
        work->tracker->acknowledge(*opening.value().reopened, now).value();
    }
    SampleCursor cursor = opening.value().reopened.value_or(SampleCursor(work->tracker->step().sampleCount()));
    nlohmann::json reply{{"step", id}, {"samples", cursor.size()}, {"cursor", cursor.encode(id)}, {"copies", holders.size() - 1}};
    work->opened = [answer = std::move(answer), reply = std::move(reply)](const Result<nlohmann::json> &) { answer(reply); };
    for (std::size_t i = 1; i < holders.size(); ++i) {
        work->holders[holders[i]] = {};
        work->awaited.insert(holders[i]);
    }
    auto &stored = *(m_works[id] = std::move(work));
    if (stored.awaited.empty()) {
        std::exchange(stored.opened, nullptr)(nlohmann::json());
    }
    replicate(stored, now);
    settle(stored, now);
}

Result<nlohmann::json> StepService::serveHere(Work &work, const StepCall &call, Timestamp now, bool &mustWait)
{
    auto &tracker = *work.tracker;
    const auto &id = tracker.step().id;
    mustWait = false;
    if (call.kind == StepCall::Kind::Progress) {
        return progressToJson(tracker.progress(), id);
    }
    if (call.kind == StepCall::Kind::Cancel) {
        tracker.cancel();
        return progressToJson(tracker.progress(), id);
    }
    SampleCursor cursor(tracker.step().sampleCount());
    if (!call.cursor.empty()) {
        BOOST_OUTCOME_TRY(decoded, SampleCursor::decode(call.cursor, id, cursor.size()));
        cursor = std::move(decoded);
    }
    if (call.kind == StepCall::Kind::Acknowledge) {
        BOOST_OUTCOME_TRYV(tracker.acknowledge(cursor, now));
        return nlohmann::json{{"step", id}, {"delivered", cursor.count()}, {"complete", cursor.count() == cursor.size()}};
    }
    const auto max = std::clamp<std::size_t>(call.max, 1, m_settings.maxSamplesPerFetch);
    BOOST_OUTCOME_TRY(answer, tracker.fetch(cursor, max, call.trainerVersion, now));
    mustWait = answer.samples.empty() && !answer.complete && !answer.ended;
    return fetchAnswerToJson(answer, id);
}

void StepService::serveOrWait(Work &work, const StepCall &call, Timestamp now, const StepAnswer &answer)
{
    bool mustWait = false;
    auto reply = serveHere(work, call, now, mustWait);
    if (mustWait && call.wait.count() > 0 && !m_draining) {
        work.waiters.push_back({call, now + std::min(call.wait, m_settings.maxWait), answer});
    } else {
        answer(std::move(reply));
    }
    settle(work, now);
}

void StepService::serve(const StepCall &call, Timestamp now, const StepAnswer &answer)
{
    m_now = now;
    if (auto *work = find(call.step)) {
        if (work->tracker->step().workspace != call.workspace) {
            answer(Internal::stepUnknown());
            return;
        }
        serveOrWait(*work, call, now, answer);
        return;
    }
    if (m_held.count(call.step) != 0) {
        serveAsHolder(call, now, answer);
        return;
    }
    if (call.hops > 0) {
        answer(Internal::stepUnknown());
        return;
    }
    auto holders = stepHolders(call.step);
    holders.erase(std::remove(holders.begin(), holders.end(), m_node), holders.end());
    if (holders.size() > m_settings.copies + 1) {
        holders.clear();
    }
    serveByHolders(call, std::move(holders), true, answer);
}

void StepService::tick(Timestamp now)
{
    m_now = now;
    std::vector<std::string> ids;
    for (const auto &item : m_works) {
        ids.push_back(item.first);
    }
    for (const auto &id : ids) {
        auto *work = find(id);
        if (work == nullptr) {
            continue;
        }
        work->tracker->versionPublished(m_hooks.newestVersion(work->tracker->step().model), now);
        work->tracker->expire(now);
        pollAdopted(*work, now);
        settle(*work, now);
        replicate(*work, now);
        const auto progress = work->tracker->progress();
        const bool over = progress.ended || progress.delivered == progress.samples;
        work->endedAt = over ? std::optional(work->endedAt.value_or(now)) : std::nullopt;
        if (work->endedAt && now - *work->endedAt >= m_settings.endedLifetime) {
            m_works.erase(id);
        }
    }
    for (auto it = m_held.begin(); it != m_held.end();) {
        it = now - it->second->copy.step().deadline >= m_settings.endedLifetime ? m_held.erase(it) : std::next(it);
    }
}

bool StepService::sampleProgressed(
    const std::string &step, std::uint32_t index, const AttemptId &attempt, std::string_view text, std::uint64_t tokens, std::uint64_t version, bool verified)
{
    auto *work = find(step);
    return work != nullptr && work->tracker->progressed(index, attempt, text, tokens, version, verified);
}

void StepService::sampleFinished(const std::string &step, std::uint32_t index, const AttemptId &attempt, SampleBody body, Timestamp now)
{
    m_now = now;
    auto *work = find(step);
    const auto *output = work == nullptr ? nullptr : work->tracker->output(index, attempt);
    if (output == nullptr) {
        return;
    }
    if (body.text != output->text || body.tokens != output->tokens) {
        // A part was lost or doubled on the way, and neither account can be trusted.
        work->tracker->failed(index, attempt, false, now);
    } else {
        work->tracker->finished(index, attempt, std::move(body), now);
    }
    settle(*work, now);
}

void StepService::sampleFailed(const std::string &step, std::uint32_t index, const AttemptId &attempt, bool keepOutput, Timestamp now)
{
    m_now = now;
    if (auto *work = find(step)) {
        work->tracker->failed(index, attempt, keepOutput, now);
        // Started again by the next tick, so that an endpoint that fails at once does not make a busy loop.
        sendEffects(*work);
        answerWaiters(*work, now);
    }
}

void StepService::endpointLost(const std::string &endpoint, Timestamp now)
{
    m_now = now;
    for (auto &[id, work] : m_works) {
        work->tracker->endpointLost(endpoint, now);
    }
}

std::size_t StepService::stepCount() const
{
    return m_works.size();
}

std::size_t StepService::copyCount() const
{
    return m_held.size();
}

std::uint64_t StepService::takeovers() const
{
    return m_takeovers;
}

StepService::Work *StepService::find(const std::string &step)
{
    const auto it = m_works.find(step);
    return it == m_works.end() ? nullptr : it->second.get();
}

void StepService::start(Work &work, Timestamp now)
{
    auto &tracker = *work.tracker;
    while (const auto order = tracker.next(now, m_hooks.hasSpareCapacity(tracker.step().model))) {
        const auto started = m_hooks.start(tracker.step(), *order);
        if (!started) {
            return;
        }
        tracker.placed(*order, started->attempt, started->endpoint, started->endpointVersion, now);
    }
}

void StepService::settle(Work &work, Timestamp now)
{
    if (!m_draining) {
        start(work, now);
    }
    sendEffects(work);
    answerWaiters(work, now);
}

void StepService::sendEffects(Work &work)
{
    const auto &id = work.tracker->step().id;
    const auto effects = work.tracker->takeEffects();
    for (const auto &ref : effects.revocations) {
        m_hooks.revoke(id, ref);
    }
    std::map<std::string, std::vector<AttemptRef>> released;
    for (const auto &ref : effects.releases) {
        released[ref.endpoint].push_back(ref);
    }
    for (const auto &[endpoint, refs] : released) {
        m_hooks.release(id, endpoint, refs);
    }
}

void StepService::answerWaiters(Work &work, Timestamp now)
{
    auto waiting = std::exchange(work.waiters, {});
    for (auto &waiter : waiting) {
        bool mustWait = false;
        auto reply = serveHere(work, waiter.call, now, mustWait);
        if (mustWait && now < waiter.until && !m_draining) {
            work.waiters.push_back(std::move(waiter));
        } else {
            waiter.answer(std::move(reply));
        }
    }
}

}
