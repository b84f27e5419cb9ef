#include "scheduling/endpointhealth.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

constexpr double SmoothingFactor = 0.1;
/// Averages of fewer intervals are not used.
constexpr int MinSamples = 8;
constexpr Milliseconds InitialSuspension{300};
constexpr Milliseconds MaxSuspension{5000};
constexpr Milliseconds RefusalSuspension{120};

}

void EndpointHealth::recordInterval(const std::string &endpoint, Milliseconds interval, Timestamp now)
{
    auto &state = m_states[endpoint];
    const auto newest = static_cast<double>(interval.count());
    const double weight = state.samples < MinSamples ? 1.0 / (state.samples + 1) : SmoothingFactor;
    state.eventIntervalMs = (1 - weight) * state.eventIntervalMs + weight * newest;
    ++state.samples;
    state.lastSample = now;
}

void EndpointHealth::recordFailure(const std::string &endpoint, Timestamp now)
{
    auto &state = m_states[endpoint];
    if (now < state.suspendedUntil) {
        return;
    }
    state.suspendedUntil = now + std::min(MaxSuspension, InitialSuspension * (1 << std::min(state.failures, 5)));
    ++state.failures;
}

void EndpointHealth::recordRefusal(const std::string &endpoint, Timestamp now)
{
    auto &state = m_states[endpoint];
    state.suspendedUntil = std::max(state.suspendedUntil, now + RefusalSuspension);
}

void EndpointHealth::recordCompletion(const std::string &endpoint)
{
    m_states[endpoint].failures = 0;
}

void EndpointHealth::recordRunEnd(const std::string &endpoint, RunEnd end, bool hadEvents, Timestamp now)
{
    switch (end) {
    case RunEnd::Complete:
        recordCompletion(endpoint);
        break;
    case RunEnd::Refused:
        recordRefusal(endpoint, now);
        break;
    case RunEnd::NotConnected:
    case RunEnd::Oversized:
        recordFailure(endpoint, now);
        break;
    case RunEnd::Broken:
        if (!hadEvents) {
            recordRefusal(endpoint, now);
        }
        break;
    case RunEnd::ServerError:
    case RunEnd::TimedOut:
    case RunEnd::Unprocessable:
        break;
    }
}

void EndpointHealth::forget(const std::string &endpoint)
{
    m_states.erase(endpoint);
}

bool EndpointHealth::isSuspended(const std::string &endpoint, Timestamp now) const
{
    const auto it = m_states.find(endpoint);
    return it != m_states.end() && now < it->second.suspendedUntil;
}

bool EndpointHealth::hasRecentSamples(const State &state, Timestamp now) const
{
    return state.samples >= MinSamples && now - state.lastSample < SampleLifetime;
}

double EndpointHealth::eventIntervalMs(const std::string &endpoint, Timestamp now) const
{
    const auto it = m_states.find(endpoint);
    return it != m_states.end() && hasRecentSamples(it->second, now) ? it->second.eventIntervalMs : 0;
}

double EndpointHealth::lastIntervalMs(const std::string &endpoint) const
{
    const auto it = m_states.find(endpoint);
    return it != m_states.end() && it->second.samples >= MinSamples ? it->second.eventIntervalMs : 0;
}

double EndpointHealth::medianIntervalMs(Timestamp now) const
{
    std::vector<double> intervals;
    for (const auto &[endpoint, state] : m_states) {
        if (hasRecentSamples(state, now)) {
            intervals.push_back(state.eventIntervalMs);
        }
    }
    if (intervals.empty()) {
        return 0;
    }
    const auto middle = intervals.begin() + static_cast<std::ptrdiff_t>((intervals.size() - 1) / 2);
    std::nth_element(intervals.begin(), middle, intervals.end());
    return *middle;
}

bool EndpointHealth::isSlow(const std::string &endpoint, double medianIntervalMs, Timestamp now) const
{
    const double interval = eventIntervalMs(endpoint, now);
    return interval > 0 && interval > SlowFactor * medianIntervalMs;
}

}
