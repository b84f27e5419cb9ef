#pragma once

#include "base/attemptid.h"
#include "base/result.h"
#include "entry/runrequest.h"

#include <cstdint>
#include <set>
#include <string>

namespace Basilbend
{

/// An endpoint that a request was routed to.
struct ChosenEndpoint {
    std::string node;
    std::string address;
    std::uint64_t incarnation = 0;
    std::uint64_t version = 0;
};

/// What a request needs from its surroundings. Answers come back as events with the generation that they were asked in.
class RunPort
{
public:
    virtual ~RunPort() = default;

    virtual Result<ChosenEndpoint> choose(const RunRequest &request, const std::set<std::string> &exclude) = 0;
    virtual AttemptId newAttempt() = 0;
    virtual void sendAttempt(std::uint64_t generation, const ChosenEndpoint &endpoint, const AttemptRequest &request) = 0;
    virtual void reattach(std::uint64_t generation, const ChosenEndpoint &endpoint, const AttemptId &attempt, std::uint64_t fromLine) = 0;

    /// Ends the exchange under way.
    virtual void dropExchange() = 0;

    /// Revokes the attempt, and cancels it when it runs.
    virtual void cancelAttempt(const ChosenEndpoint &endpoint, const AttemptId &attempt) = 0;

    virtual void wakeUpAfter(std::uint64_t generation, Milliseconds delay) = 0;
    virtual bool takeRetry(const std::string &target) = 0;

    virtual void attemptStarted(const ChosenEndpoint &endpoint) = 0;
    virtual void attemptEnded(const ChosenEndpoint &endpoint) = 0;
    virtual void endpointUnreachable(const ChosenEndpoint &endpoint) = 0;
    virtual void observeSpeed(const ChosenEndpoint &endpoint, double msPerToken) = 0;

    /// The least time between two deltas of one stream that this entry can keep up with.
    virtual Milliseconds joinDeltas() const = 0;

    /// Counts an event of the data path by name, for example "crossed_lines".
    virtual void count(const char *event) = 0;
};

}
