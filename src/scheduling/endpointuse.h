#pragma once

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
    /// Output that is expected in all, and the most there can be.
    std::uint64_t expectedOutput = 0;
    std::uint64_t maximumOutput = 0;
    /// Events that earlier runs have generated; the run reads them again.
    std::size_t events = 0;
};

/// What the runs of this process take up at each endpoint. Events are the only sign of what a run has generated; the tokens of
/// an event are learned from runs that are complete.
class EndpointUse
{
public:
    void noteStarted(const std::string &endpoint, std::uint64_t run, const RunTokens &tokens);
    void noteEvent(const std::string &endpoint, std::uint64_t run);
    void noteEnded(const std::string &endpoint, std::uint64_t run);

    /// An item that was expected to generate so many tokens is complete with so many events.
    void noteCompleted(std::uint64_t expectedOutput, std::size_t events);
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
