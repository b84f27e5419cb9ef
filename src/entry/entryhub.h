#pragma once

#include "control/controlloop.h"
#include "entry/endpointdirectory.h"
#include "entry/entrysettings.h"
#include "entry/runrequest.h"
#include "net/httpclient.h"
#include "net/metrics.h"

#include <memory>
#include <mutex>
#include <unordered_map>

namespace Basilbend
{

class ActiveRun;
class CallerSink;

/// The requests that an entry runs, and what they share. Any thread.
class EntryHub
{
public:
    EntryHub(const EntrySettings &settings, NowFunction now, std::uint64_t incarnation, ControlLoop &loop);
    ~EntryHub();
    EntryHub(const EntryHub &) = delete;
    EntryHub &operator=(const EntryHub &) = delete;

    /// Starts a request. Returns a number for cancel().
    std::uint64_t run(RunRequest request, std::unique_ptr<RunSink> sink);
    /// As run(), for a caller whose connection is watched.
    std::uint64_t runForCaller(RunRequest request, std::unique_ptr<CallerSink> sink);
    void cancel(std::uint64_t run, const Error &error);

    /// Ends requests whose key no longer works.
    void endWithdrawn(const Configuration &configuration);

    /// Ends requests past their deadline or whose caller is gone, and keeps silent streams alive.
    void tick(Timestamp now);
    std::size_t activeRuns() const;

    /// Zero while few requests are open; with more, sidecars join the deltas of a stream, so that a busy entry handles
    /// fewer and larger lines.
    Milliseconds joinDeltas() const;

    /// Ends all exchanges with sidecars.
    void stop();

    // For ActiveRun.
    const EntrySettings &settings() const;
    Timestamp now() const;
    EndpointDirectory &directory();
    HttpClient &client();
    ControlLoop &loop();
    Metrics &metrics();
    AttemptId newAttempt();
    void remove(std::uint64_t run);

private:
    std::uint64_t add(RunRequest request, std::unique_ptr<RunSink> sink, CallerSink *caller);
    std::vector<std::shared_ptr<ActiveRun>> all() const;

    const EntrySettings &m_settings;
    NowFunction m_now;
    std::uint64_t m_incarnation;
    ControlLoop &m_loop;
    EndpointDirectory m_directory;
    Metrics m_metrics;
    std::atomic<std::uint64_t> m_lastSequence{0};
    mutable std::mutex m_mutex;
    std::uint64_t m_lastRun = 0;
    std::unordered_map<std::uint64_t, std::shared_ptr<ActiveRun>> m_runs;
    std::unique_ptr<HttpClient> m_client;
};

}
