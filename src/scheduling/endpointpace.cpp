#include "scheduling/endpointpace.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

constexpr double NewestWeight = 0.1;
/// Averages of fewer intervals are not used.
constexpr int LeastSamples = 8;
constexpr Milliseconds FirstSuspension{300};
constexpr Milliseconds LongestSuspension{5000};
constexpr Milliseconds FullPause{120};

}

void EndpointPace::noteGap(const std::string &endpoint, Milliseconds gap, Timestamp now)
{
    auto &state = m_states[endpoint];
    const auto newest = static_cast<double>(gap.count());
    const double weight = state.samples < LeastSamples ? 1.0 / (state.samples + 1) : NewestWeight;
    state.gapMs = (1 - weight) * state.gapMs + weight * newest;
    ++state.samples;
    state.lastSample = now;
}

void EndpointPace::noteFailure(const std::string &endpoint, Timestamp now)
{
    auto &state = m_states[endpoint];
    if (now < state.suspendedUntil) {
        return;
    }
    state.suspendedUntil = now + std::min(LongestSuspension, FirstSuspension * (1 << std::min(state.failures, 5)));
    ++state.failures;
}

void EndpointPace::noteFull(const std::string &endpoint, Timestamp now)
{
    auto &state = m_states[endpoint];
    state.suspendedUntil = std::max(state.suspendedUntil, now + FullPause);
}

void EndpointPace::noteCompleted(const std::string &endpoint)
{
    m_states[endpoint].failures = 0;
}

void EndpointPace::noteRunEnd(const std::string &endpoint, RunEnd end, bool hadEvents, Timestamp now)
{
    switch (end) {
    case RunEnd::Complete:
        noteCompleted(endpoint);
        break;
    case RunEnd::Refused:
        noteFull(endpoint, now);
        break;
    case RunEnd::NotConnected:
    case RunEnd::Oversized:
        noteFailure(endpoint, now);
        break;
    case RunEnd::Broken:
        if (!hadEvents) {
            noteFull(endpoint, now);
        }
        break;
    case RunEnd::ServerError:
    case RunEnd::Unprocessable:
        break;
    }
}

void EndpointPace::forget(const std::string &endpoint)
{
    m_states.erase(endpoint);
}

bool EndpointPace::isSuspended(const std::string &endpoint, Timestamp now) const
{
    const auto it = m_states.find(endpoint);
    return it != m_states.end() && now < it->second.suspendedUntil;
}

bool EndpointPace::isKnown(const State &state, Timestamp now) const
{
    return state.samples >= LeastSamples && now - state.lastSample < SampleLife;
}

double EndpointPace::gapMs(const std::string &endpoint, Timestamp now) const
{
    const auto it = m_states.find(endpoint);
    return it != m_states.end() && isKnown(it->second, now) ? it->second.gapMs : 0;
}

double EndpointPace::lastGapMs(const std::string &endpoint) const
{
    const auto it = m_states.find(endpoint);
    return it != m_states.end() && it->second.samples >= LeastSamples ? it->second.gapMs : 0;
}

double EndpointPace::medianGapMs(Timestamp now) const
{
    std::vector<double> gaps;
    for (const auto &[endpoint, state] : m_states) {
        if (isKnown(state, now)) {
            gaps.push_back(state.gapMs);
        }
    }
    if (gaps.empty()) {
        return 0;
    }
    const auto middle = gaps.begin() + static_cast<std::ptrdiff_t>((gaps.size() - 1) / 2);
    std::nth_element(gaps.begin(), middle, gaps.end());
    return *middle;
}

bool EndpointPace::isSlow(const std::string &endpoint, double medianGapMs, Timestamp now) const
{
    const double gap = gapMs(endpoint, now);
    return gap > 0 && gap > SlowFactor * medianGapMs;
}

}
