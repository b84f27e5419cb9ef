#include "forwarding/endpointpicker.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

/// Assumed latency of an endpoint without a recent measurement.
constexpr double DefaultLatencyMs = 25;
constexpr Milliseconds LatencyMaxAge{5000};
/// Weight of the newest latency in the exponential moving average.
constexpr double NewestLatencyWeight = 0.4;
constexpr Milliseconds QueueLengthMaxAge{300};
/// Round-trip time to another availability zone.
constexpr double CrossZoneRoundTripMs = 4;
constexpr double ColdEndpointFactor = 1.5;

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
    const bool hasRecentLatency = state.latencyMs > 0 && now - state.latencyAt < LatencyMaxAge;
    double latency = hasRecentLatency ? state.latencyMs : DefaultLatencyMs;
    if (endpoint.warmupRemaining.count() > 0) {
        latency *= ColdEndpointFactor;
    }
    const int queueLength = now - state.queueLengthAt < QueueLengthMaxAge ? state.queueLength : 0;
    const double queued = static_cast<double>(state.inFlight + queueLength) / std::max(endpoint.slots, 1);
    return latency * (1 + queued) + (endpoint.zone == m_zone ? 0 : CrossZoneRoundTripMs);
}

const EndpointRecord *EndpointPicker::pick(const std::vector<const EndpointRecord *> &candidates, const std::set<std::string> &excluded, Timestamp now) const
{
    const EndpointRecord *best = nullptr;
    const EndpointRecord *firstToResume = nullptr;
    double bestMs = 0;
    for (const auto *candidate : candidates) {
        const auto &state = stateOf(candidate->id);
        if (excluded.count(candidate->id) > 0 || now < state.fullUntil) {
            continue;
        }
        if (now < state.suspendedUntil) {
            if (firstToResume == nullptr || state.suspendedUntil < stateOf(firstToResume->id).suspendedUntil) {
                firstToResume = candidate;
            }
            continue;
        }
        const double ms = expectedMs(*candidate, state, now);
        if (best == nullptr || ms < bestMs) {
            best = candidate;
            bestMs = ms;
        }
    }
    return best != nullptr ? best : firstToResume;
}

bool EndpointPicker::isAvailable(const std::string &id, Timestamp now) const
{
    const auto &state = stateOf(id);
    return now >= state.fullUntil && now >= state.suspendedUntil;
}

void EndpointPicker::recordSent(const std::string &id)
{
    ++m_states[id].inFlight;
}

void EndpointPicker::recordEnded(const std::string &id)
{
    auto &state = m_states[id];
    state.inFlight = std::max(0, state.inFlight - 1);
}

void EndpointPicker::recordLatency(const std::string &id, Milliseconds latency, Timestamp now)
{
    auto &state = m_states[id];
    const auto newest = static_cast<double>(std::max<std::int64_t>(1, latency.count()));
    const bool hasRecentLatency = state.latencyMs > 0 && now - state.latencyAt < LatencyMaxAge;
    state.latencyMs = hasRecentLatency ? (1 - NewestLatencyWeight) * state.latencyMs + NewestLatencyWeight * newest : newest;
    state.latencyAt = now;
    state.consecutiveFailures = 0;
    state.consecutiveTimeouts = 0;
    state.suspendedUntil = {};
}

void EndpointPicker::recordQueueLength(const std::string &id, int queueLength, Timestamp now)
{
    auto &state = m_states[id];
    state.queueLength = queueLength;
    state.queueLengthAt = now;
}

void EndpointPicker::recordTimeout(const std::string &id, Timestamp now)
{
    auto &state = m_states[id];
    if (++state.consecutiveTimeouts >= TimeoutsBeforeSuspension) {
        state.consecutiveTimeouts = 0;
        recordFailure(id, now);
    }
}

void EndpointPicker::recordFailure(const std::string &id, Timestamp now)
{
    auto &state = m_states[id];
    const auto suspension = std::min(LongestSuspension, FirstSuspension * (1 << std::min(state.consecutiveFailures, 5)));
    ++state.consecutiveFailures;
    state.suspendedUntil = std::max(state.suspendedUntil, now + suspension);
}

void EndpointPicker::recordCrash(const std::string &id, Timestamp now)
{
    auto &state = m_states[id];
    state.suspendedUntil = std::max(state.suspendedUntil, now + CrashSuspension);
}

void EndpointPicker::recordFull(const std::string &id, Timestamp now)
{
    m_states[id].fullUntil = now + FullBackoff;
}

void EndpointPicker::remove(const std::string &id)
{
    m_states.erase(id);
}

int EndpointPicker::inFlight(const std::string &id) const
{
    return stateOf(id).inFlight;
}

}
