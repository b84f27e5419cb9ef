#include "forwarding/endpointpicker.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

/// Latency of an endpoint that nothing is known of, or not recently.
constexpr double UnknownLatencyMs = 25;
constexpr Milliseconds LatencyLife{5000};
/// Weight of the newest latency in the average.
constexpr double NewestWeight = 0.4;
constexpr Milliseconds WaitingLife{300};
/// Round trip to another availability zone.
constexpr double OtherZoneMs = 4;
constexpr double ColdFactor = 1.5;

}

EndpointPicker::EndpointPicker(std::string zone)
    : m_zone(std::move(zone))
{
}

const EndpointPicker::State &EndpointPicker::stateOf(const std::string &id) const
{
    static const State unknown;
    const auto it = m_states.find(id);
    return it == m_states.end() ? unknown : it->second;
}

double EndpointPicker::expectedMs(const EndpointRecord &endpoint, const State &state, Timestamp now) const
{
    const bool known = state.latencyMs > 0 && now - state.latencyAt < LatencyLife;
    double latency = known ? state.latencyMs : UnknownLatencyMs;
    if (endpoint.warmupRemaining.count() > 0) {
        latency *= ColdFactor;
    }
    const int waiting = now - state.waitingAt < WaitingLife ? state.waiting : 0;
    const double queued = static_cast<double>(state.inFlight + waiting) / std::max(endpoint.slots, 1);
    return latency * (1 + queued) + (endpoint.zone == m_zone ? 0 : OtherZoneMs);
}

const EndpointRecord *EndpointPicker::pick(const std::vector<const EndpointRecord *> &candidates, const std::set<std::string> &excluded, Timestamp now) const
{
    const EndpointRecord *best = nullptr;
    const EndpointRecord *leastSuspended = nullptr;
    double bestMs = 0;
    for (const auto *candidate : candidates) {
        const auto &state = stateOf(candidate->id);
        if (excluded.count(candidate->id) > 0 || now < state.fullUntil) {
            continue;
        }
        if (now < state.suspendedUntil) {
            if (leastSuspended == nullptr || state.suspendedUntil < stateOf(leastSuspended->id).suspendedUntil) {
                leastSuspended = candidate;
            }
            continue;
        }
        const double ms = expectedMs(*candidate, state, now);
        if (best == nullptr || ms < bestMs) {
            best = candidate;
            bestMs = ms;
        }
    }
    return best != nullptr ? best : leastSuspended;
}

void EndpointPicker::noteSent(const std::string &id)
{
    ++m_states[id].inFlight;
}

void EndpointPicker::noteEnded(const std::string &id)
{
    auto &state = m_states[id];
    state.inFlight = std::max(0, state.inFlight - 1);
}

void EndpointPicker::noteLatency(const std::string &id, Milliseconds latency, Timestamp now)
{
    auto &state = m_states[id];
    const auto newest = static_cast<double>(std::max<std::int64_t>(1, latency.count()));
    const bool known = state.latencyMs > 0 && now - state.latencyAt < LatencyLife;
    state.latencyMs = known ? (1 - NewestWeight) * state.latencyMs + NewestWeight * newest : newest;
    state.latencyAt = now;
    state.failures = 0;
    state.silentTries = 0;
    state.suspendedUntil = {};
}

void EndpointPicker::noteWaiting(const std::string &id, int waiting, Timestamp now)
{
    auto &state = m_states[id];
    state.waiting = waiting;
    state.waitingAt = now;
}

void EndpointPicker::noteSilence(const std::string &id, Timestamp now)
{
    auto &state = m_states[id];
    if (++state.silentTries >= SilentTries) {
        state.silentTries = 0;
        noteFailure(id, now);
    }
}

void EndpointPicker::noteFailure(const std::string &id, Timestamp now)
{
    auto &state = m_states[id];
    const auto span = std::min(LongestSuspension, FirstSuspension * (1 << std::min(state.failures, 5)));
    ++state.failures;
    state.suspendedUntil = now + span;
}

void EndpointPicker::noteFull(const std::string &id, Timestamp now)
{
    m_states[id].fullUntil = now + FullPause;
}

void EndpointPicker::forget(const std::string &id)
{
    m_states.erase(id);
}

int EndpointPicker::inFlight(const std::string &id) const
{
    return stateOf(id).inFlight;
}

}
