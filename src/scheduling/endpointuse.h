#pragma once

#include "batches/batch.h"
#include "scheduling/tokenforecast.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace Basilbend
{

/// What is known of the tokens of a run when it starts.
struct RunTokens {
    std::uint64_t prompt = 0;
    /// Output that is expected in all.
    std::uint64_t expectedOutput = 0;
    /// The most output there can be; zero: not known.
    std::uint64_t maximumOutput = 0;
    /// Events that earlier runs have generated; the run reads them again.
    std::size_t events = 0;
};

/// What an item's submission says of its tokens, after so many events. Estimates of clients may lie above their own limit, and
/// are then cut to it.
RunTokens runTokens(const BatchItem &item, std::size_t events);

/// What the runs of this process take up at each endpoint. Events are the only sign of what a run has generated; the tokens of
/// an event are learned from runs that are complete.
class EndpointUse
{
public:
    void noteStarted(const std::string &endpoint, std::uint64_t run, const RunTokens &tokens);
    void noteEvent(const std::string &endpoint, std::uint64_t run);
    void noteEnded(const std::string &endpoint, std::uint64_t run);

    /// An item is complete; its events and its expected output tell how large an event is.
    void noteCompleted(const RunTokens &tokens);
    void clear();

    int running(const std::string &endpoint) const;

    /// Tokens of all runs at the endpoint.
    TokenForecast forecast(const std::string &endpoint) const;

    /// Events that a run is still expected to generate; zero while nothing is known of the size of events.
    double remainingEvents(const RunTokens &tokens) const;

    /// Tokens that a run holds and is still to generate.
    TokenUse tokenUse(const RunTokens &tokens) const;

private:
    double tokensPerEvent() const;

    std::map<std::string, std::map<std::uint64_t, RunTokens>> m_runs;
    double m_completedTokens = 0;
    double m_completedEvents = 0;
};

}
