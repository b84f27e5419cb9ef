#include "routing/outlierdetector.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Basilbend
{

namespace Internal
{

constexpr std::size_t KeptSamples = 50;
constexpr int MostDoublings = 3;
constexpr double SlowQuantile = 0.9;
constexpr std::size_t LeastPeers = 3;

}

OutlierDetector::OutlierDetector(OutlierSettings settings)
    : m_settings(settings)
{
}

void OutlierDetector::observe(const std::string &endpoint, double msPerToken)
{
    auto &state = m_states[endpoint];
    if (state.samples.size() < Internal::KeptSamples) {
        state.samples.push_back(msPerToken);
        return;
    }
    state.samples[state.next] = msPerToken;
    state.next = (state.next + 1) % Internal::KeptSamples;
}

void OutlierDetector::remove(const std::string &endpoint)
{
    m_states.erase(endpoint);
    m_out.erase(endpoint);
}

std::vector<std::string> OutlierDetector::evaluate(Timestamp now)
{
    std::vector<std::string> back;
    std::vector<double> medians;
    for (auto &[name, state] : m_states) {
        if (m_out.count(name) > 0 && state.outUntil <= now) {
            m_out.erase(name);
            state.samples.clear();
            state.next = 0;
            back.push_back(name);
        }
        if (m_out.count(name) == 0 && state.samples.size() >= m_settings.leastSamples) {
            medians.push_back(quantile(state.samples, 0.5));
        }
    }
    if (medians.size() < Internal::LeastPeers) {
        return back;
    }
    const auto limit = m_settings.factor * quantile(medians, 0.5);
    std::vector<std::pair<double, std::string>> slow;
    for (const auto &[name, state] : m_states) {
        if (m_out.count(name) == 0 && state.samples.size() >= m_settings.leastSamples) {
            const auto high = quantile(state.samples, Internal::SlowQuantile);
            // one late response is not a slow endpoint, so its median has to stand out as well
            if (high > limit && quantile(state.samples, 0.5) > limit / 2) {
                slow.emplace_back(high, name);
            }
        }
    }
    std::sort(slow.rbegin(), slow.rend());
    const auto mostOut = static_cast<std::size_t>(std::floor(m_settings.largestPartOut * static_cast<double>(m_states.size())));
    for (const auto &[high, name] : slow) {
        if (m_out.size() >= mostOut) {
            break;
        }
        auto &state = m_states[name];
        state.outUntil = now + m_settings.timeOut * (1 << std::min(state.timesOut++, Internal::MostDoublings));
        m_out.insert(name);
    }
    return back;
}

bool OutlierDetector::isOut(const std::string &endpoint) const
{
    return m_out.count(endpoint) > 0;
}

std::size_t OutlierDetector::outCount() const
{
    return m_out.size();
}

double OutlierDetector::quantile(std::vector<double> values, double part)
{
    const auto position = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(position), values.end());
    return values[position];
}

}
