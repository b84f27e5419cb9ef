#pragma once

#include "batches/batch.h"
#include "scheduling/tokenforecast.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace Basilbend
{

/// Token counts of a run.
struct RunTokens {
    std::uint64_t prompt = 0;
    /// Expected output in total.
    std::uint64_t expectedOutput = 0;
    /// Maximum output; zero if unknown.
    std::uint64_t maximumOutput = 0;
    /// Number of events generated so far; a new run processes those of earlier runs again.
    std::size_t events = 0;
};

/// Token counts of an item according to its submission, after the given number of events. The expected output
/// that a client states may exceed the maximum output of the item and is then capped at it.
RunTokens runTokens(const BatchItem &item, std::size_t events);

/// Tracks the runs of this process at each endpoint and the tokens that they hold. Events are the only sign of what a run
/// has generated; the number of tokens per event is estimated from completed runs.
class RunTracker
{
public:
    void addRun(const std::string &endpoint, std::uint64_t run, const RunTokens &tokens);
    void recordEvent(const std::string &endpoint, std::uint64_t run);
    void removeRun(const std::string &endpoint, std::uint64_t run);

    /// Updates the estimate of tokens per event from a completed item: its events and its expected output.
    void recordCompletion(const RunTokens &tokens);
    void clear();

    int runCount(const std::string &endpoint) const;

    /// Forecast of the tokens of all runs at the endpoint.
    TokenForecast forecast(const std::string &endpoint) const;

    /// Number of events that a run is still expected to generate; zero while the number of tokens per event is unknown.
    double remainingEvents(const RunTokens &tokens) const;

    /// Tokens that a run holds and that it is still expected to generate.
    TokenUse tokenUse(const RunTokens &tokens) const;

private:
    double tokensPerEvent() const;

    std::map<std::string, std::map<std::uint64_t, RunTokens>> m_runs;
    double m_completedTokens = 0;
    double m_completedEvents = 0;
};

}
