// The part of StepService that keeps copies on other entries, takes steps over and hands them over.
#include "entry/stepservice.h"
#include "entry/stepwork.h"
#include "steps/stepcodec.h"

#include <algorithm>

namespace Basilbend
{

namespace Internal
{

/// Polls of a sidecar without an answer after which its attempts are run again elsewhere.
constexpr int MaxFailedPolls = 3;

/// An entry passes a call to a holder, the holder to the owner.
constexpr std::uint32_t MaxHops = 2;

}

void StepService::serveAsHolder(const StepCall &call, Timestamp now, const StepAnswer &answer)
{
    const auto &held = *m_held.at(call.step);
    if (held.copy.step().workspace != call.workspace) {
        answer(Error{ResultCode::StepUnknown, "no such step is open in this workspace"});
        return;
    }
    if (call.hops >= Internal::MaxHops || held.owner == m_node) {
        serveOrWait(takeOver(call.step, now), call, now, answer);
        return;
    }
    auto passed = call;
    ++passed.hops;
    m_hooks.forward(held.owner, passed, [this, call, answer](Result<nlohmann::json> reply) {
        const bool ownerIsGone = !reply
            && (reply.error().code == ResultCode::StepUnknown || reply.error().code == ResultCode::NoEndpoint
                || reply.error().code == ResultCode::DeadlineExceeded);
        if (!ownerIsGone) {
            answer(std::move(reply));
            return;
        }
        if (m_held.count(call.step) != 0 && !m_draining) {
            takeOver(call.step, m_now);
        }
        if (auto *work = find(call.step)) {
            serveOrWait(*work, call, m_now, answer);
        } else {
            answer(std::move(reply));
        }
    });
}

void StepService::serveByHolders(const StepCall &call, std::vector<std::string> holders, bool allGone, const StepAnswer &answer)
{
    if (holders.empty()) {
        if (allGone) {
            answer(Error{ResultCode::StepUnknown, "no such step is open in this workspace"});
        } else {
            answer(Error{ResultCode::NoEndpoint, "no holder of the step can be reached", Execution::NotRun, Milliseconds(1000)});
        }
        return;
    }
    const auto holder = holders.front();
    holders.erase(holders.begin());
    auto passed = call;
    ++passed.hops;
    m_hooks.forward(holder, passed, [this, call, holders, allGone, answer](Result<nlohmann::json> reply) {
        if (reply) {
            answer(std::move(reply));
            return;
        }
        const auto code = reply.error().code;
        if (code != ResultCode::StepUnknown && code != ResultCode::NoEndpoint && code != ResultCode::DeadlineExceeded) {
            answer(std::move(reply));
            return;
        }
        serveByHolders(call, holders, allGone && code != ResultCode::DeadlineExceeded, answer);
    });
}

bool StepService::outranks(std::uint64_t epoch, const std::string &owner, const Work &work) const
{
    return epoch != work.epoch ? epoch > work.epoch : owner > m_node;
}

Result<nlohmann::json> StepService::receiveCopy(const std::string &id, const std::string &body, Timestamp now)
{
    m_now = now;
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("placements")) {
        return Error{ResultCode::MalformedRequest, "the copy of the step is malformed"};
    }
    BOOST_OUTCOME_TRY(placements, placementsFromJson(json["placements"]));
    std::string owner;
    std::uint64_t epoch = 0;
    std::uint64_t number = 0;
    bool takesOver = false;
    try {
        owner = json.at("owner").get<std::string>();
        epoch = json.at("epoch").get<std::uint64_t>();
        number = json.at("number").get<std::uint64_t>();
        takesOver = json.value("take_over", false);
    } catch (const nlohmann::json::exception &) {
        return Error{ResultCode::MalformedRequest, "the copy of the step is malformed"};
    }
    if (auto *work = find(id)) {
        if (!outranks(epoch, owner, *work)) {
            return nlohmann::json{{"accepted", false}, {"owner", m_node}, {"epoch", work->epoch}};
        }
        becomeHolder(id, owner, epoch);
    }
    auto &held = m_held[id];
    if (held && (epoch < held->epoch || (epoch == held->epoch && owner < held->owner))) {
        return nlohmann::json{{"accepted", false}, {"owner", held->owner}, {"epoch", held->epoch}};
    }
    const bool sameLine = held && held->owner == owner && held->epoch == epoch;
    bool whole = false;
    if (json.contains("step")) {
        auto step = stepFromJson(json["step"], now);
        if (!step || step.value().id != id) {
            m_held.erase(id);
            return Error{ResultCode::MalformedRequest, "the copy is of another step"};
        }
        if (!sameLine) {
            held = std::make_unique<Held>(Held{StepCopy(std::move(step.value())), owner, epoch});
        }
        held->copy.replace(number, placements);
        whole = true;
    } else {
        whole = sameLine && held->copy.apply(number, placements);
    }
    if (!held) {
        m_held.erase(id);
    } else if (whole && takesOver) {
        if (m_draining) {
            return nlohmann::json{{"accepted", false}, {"owner", owner}, {"epoch", epoch}};
        }
        takeOver(id, now);
    }
    return nlohmann::json{{"accepted", true}, {"need_all", !whole}};
}

nlohmann::json StepService::copyOf(const Work &work, const std::vector<SamplePlacement> *changes, Timestamp now) const
{
    nlohmann::json copy{{"owner", m_node},
                        {"epoch", work.epoch},
                        {"number", work.number},
                        {"placements", placementsToJson(changes == nullptr ? work.tracker->placements() : *changes)}};
    if (changes == nullptr) {
        copy["step"] = stepToJson(work.tracker->step(), now);
    }
    return copy;
}

void StepService::replicate(Work &work, Timestamp now)
{
    const bool isFirst = work.number == 0;
    if (!isFirst && now - work.lastCopy < m_settings.copyPeriod) {
        return;
    }
    const auto changes = work.tracker->takePlacementChanges();
    const auto isBehind = [](const auto &item) { return item.second.needsAll && !item.second.busy; };
    if (changes.empty() && std::none_of(work.holders.begin(), work.holders.end(), isBehind)) {
        return;
    }
    work.lastCopy = now;
    ++work.number;
    std::vector<std::pair<std::string, bool>> due;
    for (auto &[holder, state] : work.holders) {
        if (!state.busy) {
            due.emplace_back(holder, state.needsAll);
            state.busy = true;
        }
        // What a busy holder misses now is sent whole later.
        state.needsAll = due.empty() || due.back().first != holder;
    }
    for (const auto &[holder, all] : due) {
        sendCopy(work, holder, copyOf(work, all ? nullptr : &changes, now));
    }
}

void StepService::sendCopy(Work &work, const std::string &holder, const nlohmann::json &copy)
{
    const auto id = work.tracker->step().id;
    m_hooks.sendCopy(holder, id, copy, [this, id, holder](const Result<nlohmann::json> &reply) { copyAnswered(id, holder, reply); });
}

void StepService::copyAnswered(const std::string &step, const std::string &holder, const Result<nlohmann::json> &reply)
{
    auto *work = find(step);
    if (work == nullptr) {
        return;
    }
    auto &state = work->holders[holder];
    state.busy = false;
    state.needsAll = state.needsAll || !reply || reply.value().value("need_all", false);
    if (work->awaited.erase(holder) > 0 && work->awaited.empty() && work->opened) {
        std::exchange(work->opened, nullptr)(nlohmann::json());
    }
    if (reply && !reply.value().value("accepted", true)) {
        const auto owner = reply.value().value("owner", std::string());
        const auto epoch = reply.value().value("epoch", std::uint64_t{0});
        if (!owner.empty() && outranks(epoch, owner, *work)) {
            becomeHolder(step, owner, epoch);
        }
    }
}

StepService::Work &StepService::takeOver(const std::string &id, Timestamp now)
{
    const auto held = std::move(m_held.at(id));
    m_held.erase(id);
    ++m_takeovers;
    auto work = std::make_unique<Work>();
    work->epoch = held->epoch + 1;
    work->tracker = std::make_unique<StepTracker>(held->copy.step(), m_lengths, now);
    work->tracker->adopt(held->copy.placements(), now);
    work->adopted = work->tracker->unattached();
    for (const auto &holder : stepHolders(id)) {
        if (holder != m_node) {
            work->holders[holder] = {};
        }
    }
    auto &stored = *(m_works[id] = std::move(work));
    replicate(stored, now);
    pollAdopted(stored, now);
    return stored;
}

void StepService::becomeHolder(const std::string &id, const std::string &owner, std::uint64_t epoch)
{
    const auto work = std::move(m_works.at(id));
    m_works.erase(id);
    m_hooks.abandon(id);
    m_held[id] = std::make_unique<Held>(Held{StepCopy(work->tracker->step()), owner, epoch});
    m_held[id]->copy.replace(0, work->tracker->placements());
    if (work->opened) {
        work->opened(nlohmann::json());
    }
    for (const auto &waiter : work->waiters) {
        serve(waiter.call, m_now, waiter.answer);
    }
}

void StepService::pollAdopted(Work &work, Timestamp now)
{
    if (work.adopted.empty() || (work.lastPoll != Timestamp() && now - work.lastPoll < m_settings.attachPeriod)) {
        return;
    }
    work.lastPoll = now;
    auto &adopted = work.adopted;
    const auto isOver = [&work](const AttemptRef &ref) { return work.tracker->output(ref.index, ref.attempt) == nullptr; };
    adopted.erase(std::remove_if(adopted.begin(), adopted.end(), isOver), adopted.end());
    std::map<std::string, std::vector<AttemptRef>> questions;
    for (const auto &ref : adopted) {
        auto &question = questions[ref.endpoint];
        if (question.size() < m_settings.attachBatch) {
            question.push_back(ref);
        }
    }
    for (const auto &[endpoint, refs] : questions) {
        m_hooks.attach(work.tracker->step().id, endpoint, refs);
    }
}

void StepService::attachAnswered(const std::string &step, const std::string &endpoint, const std::optional<std::vector<AttachedSample>> &samples, Timestamp now)
{
    m_now = now;
    auto *work = find(step);
    if (work == nullptr) {
        return;
    }
    auto &tracker = *work->tracker;
    if (!samples) {
        if (++work->failedPolls[endpoint] >= Internal::MaxFailedPolls) {
            tracker.endpointLost(endpoint, now);
        }
        return;
    }
    work->failedPolls.erase(endpoint);
    for (const auto &sample : *samples) {
        switch (sample.state) {
        case AttachedSample::State::Finished:
            tracker.finished(sample.index, sample.attempt, sample.body, now);
            break;
        case AttachedSample::State::Running:
            tracker.attached(sample.index, sample.attempt, sample.body, now);
            break;
        case AttachedSample::State::Gone:
            tracker.failed(sample.index, sample.attempt, true, now);
            break;
        }
    }
    // Those that were just answered go to the end, so that each gets its turn in the batches.
    auto &adopted = work->adopted;
    const auto wasAnswered = [&samples](const AttemptRef &ref) {
        return std::any_of(samples->begin(), samples->end(), [&ref](const AttachedSample &sample) { return sample.attempt == ref.attempt; });
    };
    std::stable_partition(adopted.begin(), adopted.end(), [&wasAnswered](const AttemptRef &ref) { return !wasAnswered(ref); });
    settle(*work, now);
}

void StepService::handOver(Timestamp now)
{
    m_now = now;
    m_draining = true;
    std::vector<std::string> ids;
    for (auto &[id, work] : m_works) {
        answerWaiters(*work, now);
        ids.push_back(id);
    }
    for (const auto &id : ids) {
        auto holders = stepHolders(id);
        holders.erase(std::remove(holders.begin(), holders.end(), m_node), holders.end());
        handOverTo(id, std::move(holders));
    }
}

void StepService::handOverTo(const std::string &id, std::vector<std::string> holders)
{
    auto *work = find(id);
    if (work == nullptr || holders.empty()) {
        return;
    }
    const auto holder = holders.front();
    holders.erase(holders.begin());
    ++work->number;
    auto copy = copyOf(*work, nullptr, m_now);
    copy["take_over"] = true;
    m_hooks.sendCopy(holder, id, copy, [this, id, holder, holders](const Result<nlohmann::json> &reply) {
        auto *mine = find(id);
        if (mine == nullptr) {
            return;
        }
        if (reply && reply.value().value("accepted", false)) {
            becomeHolder(id, holder, mine->epoch + 1);
        } else {
            handOverTo(id, holders);
        }
    });
}

}
