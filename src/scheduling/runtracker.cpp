#include "scheduling/runtracker.h"

#include "scheduling/grouporder.h"

#include <algorithm>
#include <limits>

namespace Basilbend
{

namespace
{

/// A run that has exceeded its expected output is expected to generate a further 1/OverrunDivisor of what it has generated:
/// estimates are often far too low, and the longer a run is, the longer is its remainder.
constexpr std::uint64_t OverrunDivisor = 4;

}

RunTokens runTokens(const BatchItem &item, std::size_t events)
{
    const auto maximum = item.tokens - item.promptTokens;
    const auto expected = maximum == 0 ? expectedOutput(item) : std::min(maximum, expectedOutput(item));
    return {item.promptTokens, expected, maximum, events};
}

void RunTracker::addRun(const std::string &endpoint, std::uint64_t run, const RunTokens &tokens)
{
    m_runs[endpoint][run] = tokens;
}

void RunTracker::recordEvent(const std::string &endpoint, std::uint64_t run)
{
    const auto runs = m_runs.find(endpoint);
    if (runs == m_runs.end()) {
        return;
    }
    const auto it = runs->second.find(run);
    if (it != runs->second.end()) {
        ++it->second.events;
    }
}

void RunTracker::removeRun(const std::string &endpoint, std::uint64_t run)
{
    const auto runs = m_runs.find(endpoint);
    if (runs == m_runs.end()) {
        return;
    }
    runs->second.erase(run);
    if (runs->second.empty()) {
        m_runs.erase(runs);
    }
}

void RunTracker::recordCompletion(const RunTokens &tokens)
{
    m_completedTokens += static_cast<double>(tokens.expectedOutput);
    m_completedEvents += static_cast<double>(tokens.events);
}

void RunTracker::clear()
{
    m_runs.clear();
}

int RunTracker::runCount(const std::string &endpoint) const
{
    const auto it = m_runs.find(endpoint);
    return it == m_runs.end() ? 0 : static_cast<int>(it->second.size());
}

double RunTracker::tokensPerEvent() const
{
    return m_completedEvents > 0 ? m_completedTokens / m_completedEvents : 0;
}

double RunTracker::remainingEvents(const RunTokens &tokens) const
{
    const double size = tokensPerEvent();
    return size > 0 ? static_cast<double>(tokenUse(tokens).remaining) / size : 0;
}

TokenUse RunTracker::tokenUse(const RunTokens &tokens) const
{
    const auto maximum = tokens.maximumOutput == 0 ? std::numeric_limits<std::uint64_t>::max() : tokens.maximumOutput;
    const auto generated = std::min(maximum, static_cast<std::uint64_t>(tokensPerEvent() * static_cast<double>(tokens.events)));
    const auto expected = std::max(tokens.expectedOutput, generated + generated / OverrunDivisor);
    return {tokens.prompt + generated, std::min(expected, maximum) - generated};
}

TokenForecast RunTracker::forecast(const std::string &endpoint) const
{
    TokenForecast forecast;
    const auto runs = m_runs.find(endpoint);
    if (runs != m_runs.end()) {
        for (const auto &[run, tokens] : runs->second) {
            forecast.add(tokenUse(tokens));
        }
    }
    return forecast;
}

}
