// The part of StepTracker that delivers samples and that chooses and stops attempts.
#include "steps/lengthestimator.h"
#include "steps/sampleslot.h"
#include "steps/steptracker.h"

#include <algorithm>

namespace Basilbend
{

using State = Internal::SampleSlot::State;

namespace Internal
{

/// A look for stragglers visits every sample, so it is made at most this often.
constexpr Milliseconds CopyScanInterval{250};

}

Result<FetchAnswer> StepTracker::fetch(const SampleCursor &cursor, std::size_t max, std::uint64_t trainerVersion, Timestamp now)
{
    if (cursor.size() != m_slots.size()) {
        return cursorMismatch();
    }
    expire(now);
    applyCursor(cursor);
    const auto newestBefore = m_staleness.newest();
    m_staleness.trainerAt(trainerVersion);
    if (m_staleness.newest() != newestBefore) {
        stopHopeless(now);
    }
    FetchAnswer answer;
    answer.cursor = cursor;
    std::vector<std::pair<std::uint32_t, std::uint64_t>> validSamples;
    validSamples.reserve(m_completed.size());
    for (const auto &[index, number] : m_completed) {
        auto &slot = m_slots[index];
        if (slot.state != State::Finished || slot.finished->number != number) {
            continue;
        }
        if (!m_staleness.isValid(oldestVersion(slot.finished->body.versions))) {
            dropStale(index);
            continue;
        }
        validSamples.emplace_back(index, number);
        if (answer.samples.size() >= max) {
            ++answer.more;
            continue;
        }
        slot.finished->sent = true;
        answer.samples.push_back({index, m_groupOf[index], slot.finished->body});
        answer.cursor.insert(index);
    }
    m_completed = std::move(validSamples);
    answer.complete = answer.cursor.count() == m_slots.size();
    answer.ended = m_ended;
    return answer;
}

Result<void> StepTracker::acknowledge(const SampleCursor &cursor, Timestamp now)
{
    if (cursor.size() != m_slots.size()) {
        return cursorMismatch();
    }
    expire(now);
    applyCursor(cursor);
    return boost::outcome_v2::success();
}

bool StepTracker::canAnswer(const SampleCursor &cursor, Timestamp now) const
{
    if (m_ended || now >= m_step.deadline || cursor.size() != m_slots.size() || cursor.count() == m_slots.size()) {
        return true;
    }
    return std::any_of(m_completed.begin(), m_completed.end(), [this, &cursor](const auto &item) {
        return m_slots[item.first].state == State::Finished && !cursor.contains(item.first);
    });
}

const StepTracker::Running *StepTracker::findRunning(std::uint32_t index, const AttemptId &attempt) const
{
    if (index >= m_slots.size()) {
        return nullptr;
    }
    const auto &list = m_slots[index].running;
    const auto it = std::find_if(list.begin(), list.end(), [&attempt](const Running &running) { return running.attempt == attempt; });
    return it == list.end() ? nullptr : &*it;
}

StepTracker::Running *StepTracker::findRunning(std::uint32_t index, const AttemptId &attempt)
{
    return const_cast<Running *>(static_cast<const StepTracker *>(this)->findRunning(index, attempt));
}

std::uint32_t StepTracker::endpointNumber(const std::string &endpoint)
{
    const auto it = std::find(m_endpoints.begin(), m_endpoints.end(), endpoint);
    if (it != m_endpoints.end()) {
        return static_cast<std::uint32_t>(it - m_endpoints.begin());
    }
    m_endpoints.push_back(endpoint);
    return static_cast<std::uint32_t>(m_endpoints.size() - 1);
}

SamplePlacement StepTracker::placementOf(std::uint32_t index) const
{
    const auto &slot = m_slots[index];
    SamplePlacement placement{index, {}};
    for (const auto &running : slot.running) {
        placement.attempts.push_back({running.attempt, m_endpoints[running.endpoint]});
    }
    if (slot.finished) {
        placement.attempts.push_back({slot.finished->attempt, m_endpoints[slot.finished->endpoint]});
    }
    return placement;
}

void StepTracker::setState(std::uint32_t index, int state)
{
    auto &slot = m_slots[index];
    --m_counts[static_cast<std::size_t>(slot.state)];
    slot.state = static_cast<State>(state);
    ++m_counts[static_cast<std::size_t>(slot.state)];
}

void StepTracker::markPlacement(std::uint32_t index)
{
    if (!m_slots[index].placementChanged) {
        m_slots[index].placementChanged = true;
        m_changedPlacements.push_back(index);
    }
}

void StepTracker::makeWaiting(std::uint32_t index)
{
    setState(index, static_cast<int>(State::Waiting));
    m_queue.requeue(index);
}

void StepTracker::revokeRunning(std::uint32_t index, const AttemptId *except)
{
    auto &slot = m_slots[index];
    for (const auto &running : slot.running) {
        if (except == nullptr || running.attempt != *except) {
            m_effects.revocations.push_back({index, running.attempt, m_endpoints[running.endpoint]});
        }
    }
    if (slot.running.size() > (except == nullptr ? 0U : 1U)) {
        markPlacement(index);
    }
    // Frees the memory too: most samples of a large step are past this point.
    std::vector<Running>().swap(slot.running);
}

void StepTracker::dropFinished(std::uint32_t index)
{
    auto &slot = m_slots[index];
    if (slot.finished) {
        m_effects.releases.push_back({index, slot.finished->attempt, m_endpoints[slot.finished->endpoint]});
        slot.finished.reset();
    }
}

void StepTracker::dropStale(std::uint32_t index)
{
    ++m_stale;
    dropFinished(index);
    markPlacement(index);
    makeWaiting(index);
}

void StepTracker::keepPrefix(Slot &slot, SampleBody verified)
{
    if (verified.tokens > (slot.prefix ? slot.prefix->tokens : 0)) {
        slot.prefix = std::make_unique<SampleBody>(std::move(verified));
    }
}

void StepTracker::cover(std::uint32_t index)
{
    revokeRunning(index, nullptr);
    // The placement of a covered sample stays in the copies: whoever takes over is told by the cursor not to run it.
    dropFinished(index);
    m_slots[index].prefix.reset();
    setState(index, static_cast<int>(State::Covered));
    m_covered.insert(index);
}

void StepTracker::uncover(std::uint32_t index)
{
    m_covered.erase(index);
    makeWaiting(index);
}

Error StepTracker::cursorMismatch() const
{
    return {ResultCode::CursorInvalid, "the cursor is for a step of another size"};
}

void StepTracker::applyCursor(const SampleCursor &cursor)
{
    cursor.forEachMissingIn(m_covered, [this](std::uint32_t index) { cover(index); });
    if (m_covered.count() != cursor.count()) {
        const auto covered = m_covered;
        covered.forEachMissingIn(cursor, [this](std::uint32_t index) { uncover(index); });
    }
}

void StepTracker::stopHopeless(Timestamp now)
{
    for (std::uint32_t i = 0; i < m_slots.size(); ++i) {
        auto &slot = m_slots[i];
        if (slot.state == State::Finished && !slot.finished->sent && !m_staleness.isValid(oldestVersion(slot.finished->body.versions))) {
            dropStale(i);
            continue;
        }
        const auto isHopeless = [this, i, now](const Running &running) {
            return running.attached && !m_staleness.canFinish(running.oldest(), remainingTime(i, running, now), now);
        };
        const auto hopeless = std::stable_partition(slot.running.begin(), slot.running.end(), [&](const Running &r) { return !isHopeless(r); });
        if (hopeless == slot.running.end()) {
            continue;
        }
        for (auto it = hopeless; it != slot.running.end(); ++it) {
            m_effects.revocations.push_back({i, it->attempt, m_endpoints[it->endpoint]});
        }
        slot.running.erase(hopeless, slot.running.end());
        ++m_stale;
        markPlacement(i);
        if (slot.running.empty()) {
            makeWaiting(i);
        }
    }
}

void StepTracker::end(ResultCode code)
{
    if (m_ended) {
        return;
    }
    m_ended = code;
    for (std::uint32_t i = 0; i < m_slots.size(); ++i) {
        if (m_slots[i].state == State::Running) {
            revokeRunning(i, nullptr);
            setState(i, static_cast<int>(State::Waiting));
        }
        m_slots[i].prefix.reset();
    }
}

Milliseconds StepTracker::remainingTime(std::uint32_t index, const Running &running, Timestamp now) const
{
    const auto expected = m_lengths.expected(m_promptKeys[m_groupOf[index]], m_step.maxTokens);
    const auto received = static_cast<double>(running.partial.body().tokens);
    // A sample past its expected length is taken to need another tenth of it.
    const auto left = std::max(expected - received, expected / 10);
    return m_stragglers.remaining(left, running.partial.body().tokens - running.prefixTokens, now - running.startedAt);
}

SampleOrder StepTracker::orderFor(std::uint32_t index)
{
    auto &slot = m_slots[index];
    if (slot.prefix && !m_staleness.isValid(oldestVersion(slot.prefix->versions))) {
        slot.prefix.reset();
    }
    return {index, m_groupOf[index], false, {}, slot.prefix ? *slot.prefix : SampleBody{}, m_staleness.minimumVersion()};
}

std::optional<SampleOrder> StepTracker::nextCopy(Timestamp now)
{
    if (!m_lastCopyScan || now - *m_lastCopyScan >= Internal::CopyScanInterval) {
        m_lastCopyScan = now;
        findStragglers(now);
    }
    while (!m_copyCandidates.empty()) {
        const auto index = m_copyCandidates.back();
        m_copyCandidates.pop_back();
        auto &slot = m_slots[index];
        if (slot.state == State::Running && slot.running.size() == 1) {
            keepPrefix(slot, slot.running.front().partial.verifiedBody());
            auto order = orderFor(index);
            order.copy = true;
            order.avoidEndpoint = m_endpoints[slot.running.front().endpoint];
            return order;
        }
    }
    return std::nullopt;
}

void StepTracker::findStragglers(Timestamp now)
{
    std::vector<std::pair<Milliseconds, std::uint32_t>> found;
    for (std::uint32_t i = 0; i < m_slots.size(); ++i) {
        const auto &slot = m_slots[i];
        if (slot.running.size() != 1 || !slot.running.front().attached) {
            continue;
        }
        const auto remaining = remainingTime(i, slot.running.front(), now);
        if (m_stragglers.needsCopy(remaining)) {
            found.emplace_back(remaining, i);
        }
    }
    std::sort(found.begin(), found.end());
    m_copyCandidates.clear();
    for (const auto &[remaining, index] : found) {
        m_copyCandidates.push_back(index);
    }
}

}
