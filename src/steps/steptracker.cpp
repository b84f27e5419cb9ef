#include "steps/steptracker.h"

#include "steps/lengthestimator.h"
#include "steps/sampleslot.h"

#include <algorithm>

namespace Basilbend
{

using State = Internal::SampleSlot::State;

StepTracker::StepTracker(Step step, LengthEstimator &lengths, Timestamp now)
    : m_step(std::move(step))
    , m_lengths(lengths)
    , m_staleness(m_step.maxStaleness)
    , m_queue(m_step, lengths)
    , m_slots(m_step.sampleCount())
    , m_covered(m_step.sampleCount())
{
    m_staleness.trainerAt(m_step.trainerVersion);
    m_groupOf.reserve(m_slots.size());
    for (std::uint32_t i = 0; i < m_step.groups.size(); ++i) {
        m_groupOf.insert(m_groupOf.end(), m_step.groups[i].samples, i);
        m_promptKeys.push_back(promptKey(m_step.groups[i].prompt));
    }
    m_counts[static_cast<std::size_t>(State::Waiting)] = m_slots.size();
    expire(now);
}

StepTracker::~StepTracker() = default;

const Step &StepTracker::step() const
{
    return m_step;
}

void StepTracker::adopt(const std::vector<SamplePlacement> &placements, Timestamp now)
{
    for (const auto &placement : placements) {
        if (placement.index >= m_slots.size()) {
            continue;
        }
        auto &slot = m_slots[placement.index];
        for (const auto &placed : placement.attempts) {
            if (slot.state == State::Covered || slot.state == State::Finished || findRunning(placement.index, placed.attempt) != nullptr) {
                continue;
            }
            slot.running.push_back({placed.attempt, endpointNumber(placed.endpoint), false, now, 0, 0, PartialSample()});
            setState(placement.index, static_cast<int>(State::Running));
            markPlacement(placement.index);
        }
    }
}

std::vector<AttemptRef> StepTracker::unattached() const
{
    std::vector<AttemptRef> refs;
    for (std::uint32_t i = 0; i < m_slots.size(); ++i) {
        for (const auto &running : m_slots[i].running) {
            if (!running.attached) {
                refs.push_back({i, running.attempt, m_endpoints[running.endpoint]});
            }
        }
    }
    return refs;
}

void StepTracker::attached(std::uint32_t index, const AttemptId &attempt, SampleBody verified, Timestamp now)
{
    if (auto *running = findRunning(index, attempt)) {
        running->attached = true;
        running->startedAt = now;
        running->prefixTokens = verified.tokens;
        running->partial = PartialSample(std::move(verified));
    }
}

void StepTracker::versionPublished(std::uint64_t version, Timestamp now)
{
    if (m_staleness.published(version, now)) {
        stopHopeless(now);
    }
}

std::uint64_t StepTracker::minimumVersion() const
{
    return m_staleness.minimumVersion();
}

std::optional<SampleOrder> StepTracker::next(Timestamp now, bool spareCapacity)
{
    if (m_ended || now >= m_step.deadline) {
        return std::nullopt;
    }
    const auto index = m_queue.front([this](std::uint32_t i) { return m_slots[i].state == State::Waiting; });
    if (index) {
        return orderFor(*index);
    }
    return spareCapacity ? nextCopy(now) : std::nullopt;
}

void StepTracker::placed(const SampleOrder &order, const AttemptId &attempt, const std::string &endpoint, std::uint64_t endpointVersion, Timestamp now)
{
    auto &slot = m_slots[order.index];
    m_copies += order.copy ? 1 : 0;
    m_resumed += order.prefix.tokens > 0 ? 1 : 0;
    slot.running.push_back({attempt, endpointNumber(endpoint), true, now, endpointVersion, order.prefix.tokens, PartialSample(order.prefix)});
    setState(order.index, static_cast<int>(State::Running));
    markPlacement(order.index);
}

bool StepTracker::progressed(std::uint32_t index, const AttemptId &attempt, std::string_view text, std::uint64_t tokens, std::uint64_t version, bool verified)
{
    auto *running = findRunning(index, attempt);
    if (running == nullptr) {
        ++m_unmatched;
        return false;
    }
    running->partial.append(text, tokens, version, verified);
    return true;
}

const SampleBody *StepTracker::output(std::uint32_t index, const AttemptId &attempt) const
{
    const auto *running = findRunning(index, attempt);
    return running == nullptr ? nullptr : &running->partial.body();
}

bool StepTracker::finished(std::uint32_t index, const AttemptId &attempt, SampleBody body, Timestamp now)
{
    const auto *running = findRunning(index, attempt);
    if (running == nullptr) {
        ++m_unmatched;
        return false;
    }
    const auto endpoint = running->endpoint;
    if (running->attached) {
        m_stragglers.finished(now - running->startedAt, body.tokens - std::min(body.tokens, running->prefixTokens));
    }
    m_lengths.learn(m_promptKeys[m_groupOf[index]], body.tokens);
    revokeRunning(index, &attempt);
    auto &slot = m_slots[index];
    slot.prefix.reset();
    slot.finished = std::make_unique<Internal::FinishedSample>(Internal::FinishedSample{std::move(body), attempt, endpoint, ++m_completions, false});
    setState(index, static_cast<int>(State::Finished));
    if (slot.finished->body.versions.empty() || !m_staleness.isValid(oldestVersion(slot.finished->body.versions))) {
        dropStale(index);
        return true;
    }
    m_completed.emplace_back(index, m_completions);
    return true;
}

bool StepTracker::failed(std::uint32_t index, const AttemptId &attempt, bool keepOutput, Timestamp now)
{
    const auto *running = findRunning(index, attempt);
    if (running == nullptr) {
        ++m_unmatched;
        return false;
    }
    if (keepOutput) {
        auto verified = running->partial.verifiedBody();
        if (verified.tokens >= m_step.maxTokens) {
            // Only the end mark of the answer was lost.
            verified.finishReason = "length";
            return finished(index, attempt, std::move(verified), now);
        }
        keepPrefix(m_slots[index], std::move(verified));
    }
    auto &list = m_slots[index].running;
    list.erase(list.begin() + (running - list.data()));
    markPlacement(index);
    if (list.empty()) {
        makeWaiting(index);
    }
    return true;
}

void StepTracker::endpointLost(const std::string &endpoint, Timestamp now)
{
    const auto number = endpointNumber(endpoint);
    for (std::uint32_t i = 0; i < m_slots.size(); ++i) {
        const auto running = m_slots[i].running;
        for (const auto &attempt : running) {
            if (attempt.endpoint == number) {
                failed(i, attempt.attempt, true, now);
            }
        }
    }
}

void StepTracker::cancel()
{
    end(ResultCode::Cancelled);
    for (std::uint32_t i = 0; i < m_slots.size(); ++i) {
        if (m_slots[i].state == State::Finished) {
            dropFinished(i);
            setState(i, static_cast<int>(State::Waiting));
        }
    }
}

void StepTracker::expire(Timestamp now)
{
    if (now >= m_step.deadline) {
        end(ResultCode::StepExpired);
    }
}

StepProgress StepTracker::progress() const
{
    return {m_slots.size(), m_counts[0], m_counts[1], m_counts[2], m_counts[3], m_stale, m_copies, m_resumed, m_unmatched, m_ended};
}

StepEffects StepTracker::takeEffects()
{
    return std::exchange(m_effects, {});
}

std::vector<SamplePlacement> StepTracker::placements() const
{
    std::vector<SamplePlacement> all;
    for (std::uint32_t i = 0; i < m_slots.size(); ++i) {
        auto placement = placementOf(i);
        if (!placement.attempts.empty()) {
            all.push_back(std::move(placement));
        }
    }
    return all;
}

bool StepTracker::hasPlacementChanges() const
{
    return !m_changedPlacements.empty();
}

std::vector<SamplePlacement> StepTracker::takePlacementChanges()
{
    std::vector<SamplePlacement> changes;
    changes.reserve(m_changedPlacements.size());
    for (const auto index : m_changedPlacements) {
        m_slots[index].placementChanged = false;
        changes.push_back(placementOf(index));
    }
    m_changedPlacements.clear();
    return changes;
}

}
