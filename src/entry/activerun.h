#pragma once

#include "entry/requestrun.h"

#include <memory>
#include <mutex>

namespace Basilbend
{

class CallerSink;
class EntryHub;

/// Connects one RequestRun to the network. Any thread.
class ActiveRun : public std::enable_shared_from_this<ActiveRun>, private RunPort
{
public:
    /// Caller is the sink where a caller's connection is to be watched, else null.
    ActiveRun(EntryHub &hub, std::uint64_t number, RunRequest request, std::unique_ptr<RunSink> sink, CallerSink *caller);

    void start();
    void cancel(const Error &error);
    void tick(Timestamp now);
    const std::string &keyDigest() const;

private:
    Result<ChosenEndpoint> choose(const RunRequest &request, const std::set<std::string> &exclude) override;
    AttemptId newAttempt() override;
    void sendAttempt(std::uint64_t generation, const ChosenEndpoint &endpoint, const AttemptRequest &request) override;
    void reattach(std::uint64_t generation, const ChosenEndpoint &endpoint, const AttemptId &attempt, std::uint64_t fromLine) override;
    void dropExchange() override;
    void cancelAttempt(const ChosenEndpoint &endpoint, const AttemptId &attempt) override;
    void wakeUpAfter(std::uint64_t generation, Milliseconds delay) override;
    bool takeRetry(const std::string &target) override;
    void attemptStarted(const ChosenEndpoint &endpoint) override;
    void attemptEnded(const ChosenEndpoint &endpoint) override;
    void endpointUnreachable(const ChosenEndpoint &endpoint) override;
    void observeSpeed(const ChosenEndpoint &endpoint, double msPerToken) override;
    Milliseconds joinDeltas() const override;
    void count(const char *event) override;

    void send(std::uint64_t generation, HttpClientRequest request);
    void removeWhenDone();

    EntryHub &m_hub;
    std::uint64_t m_number;
    std::unique_ptr<RunSink> m_sink;
    CallerSink *m_caller;
    std::string m_keyDigest;
    std::mutex m_mutex;
    RequestRun m_run;
    std::uint64_t m_exchange = 0;
};

}
