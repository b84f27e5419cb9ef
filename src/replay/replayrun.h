#pragma once

#include "limits/allowanceallocator.h"
#include "replay/replayentry.h"
#include "replay/replayfleet.h"
#include "replay/replayjob.h"
#include "replay/replayresult.h"
#include "replay/replaytrainer.h"
#include "replay/servicemeter.h"
#include "steps/lengthestimator.h"
#include "steps/steptracker.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Basilbend
{

/// One run of a trace: the real policy modules on fake engines, in virtual time, in ticks of 50 ms.
class ReplayRun
{
public:
    ReplayRun(const Trace &trace, const ReplaySwitches &switches);
    ReplayRun(const ReplayRun &) = delete;
    ReplayRun &operator=(const ReplayRun &) = delete;

    ReplayResult run();

private:
    // replayrun.cpp: the clock and what the trace says
    void tick();
    void takeEvents();
    void everySecond();
    void report();
    void exchangeAllowances();
    void publish(const TracePublication &publication);
    void breakEndpoint(const TraceFault &fault);
    std::size_t entryIn(const std::string &zone) const;
    bool isOver() const;
    ReplayResult result() const;

    // replaysteps.cpp: samples
    struct Steps;
    void openSteps();
    void openStep(Steps &steps, std::size_t trainer, const std::vector<TraceSample> &samples);
    void dispatchSamples(Steps &steps);
    bool place(Steps &steps, const SampleOrder &order);
    bool hasSpareCapacity(const Steps &steps) const;
    void deliverSamples(Steps &steps);
    void sampleProgressed(const AttemptId &id, const FakeEngine::Progress &progress);
    void versionPublished(Steps &steps, const TracePublication &publication);
    void takeEffects(Steps &steps);
    std::size_t waitingSamples(const Steps &steps) const;

    // replayattempts.cpp: the life of attempts
    void submit(std::size_t job);
    Result<AttemptId> send(std::size_t job, std::size_t entry, RouteRequest &route, std::uint64_t resumedFrom, std::uint64_t expected);
    void sendAgain(std::size_t job, const std::string &avoid, bool counts);
    void serve(ReplayEndpoint &endpoint);
    void refusedByQueue(const QueueRefusal &refusal);
    void produce(ReplayEndpoint &endpoint);
    void measure(ReplayAttempt &attempt);
    void interrupt(const AttemptId &id);
    ReplayAttempt endAttempt(const AttemptId &id);
    void answer(std::size_t job, bool delivered);
    RouteRequest routeFor(const ReplayJob &job) const;
    double workPerToken(const TraceRequest &request) const;

    struct Steps {
        explicit Steps(const TraceTrainer &trace, std::size_t entryIndex)
            : trainer(trace)
            , entry(entryIndex)
        {
        }

        ReplayTrainer trainer;
        std::size_t entry;
        LengthEstimator lengths;
        std::unique_ptr<StepTracker> tracker;
        SampleCursor cursor;

        /// Job of each sample of the open step.
        std::vector<std::size_t> jobs;

        /// Samples that wait in the queue of an endpoint.
        std::map<std::string, std::size_t> queuedAt;
    };

    const Trace &m_trace;
    ReplaySwitches m_switches;
    Timestamp m_now{0};
    ReplayFleet m_fleet;
    std::vector<ReplayEntry> m_entries;
    std::map<std::string, AllowanceAllocator> m_allocators;
    std::vector<std::unique_ptr<Steps>> m_steps;
    std::vector<ReplayJob> m_jobs;
    std::map<AttemptId, ReplayAttempt> m_attempts;
    ServiceMeter m_meter;
    std::uint64_t m_nextAttempt = 1;
    std::size_t m_nextRequest = 0;
    std::size_t m_nextPublication = 0;
    std::size_t m_nextFault = 0;
    std::map<std::string, std::uint64_t> m_versions;
    std::map<std::string, std::map<std::string, double>> m_demand;

    std::map<std::string, std::uint64_t> m_generated;
    std::map<std::string, std::uint64_t> m_billed;
    std::map<std::string, double> m_meanTokens;
    std::uint64_t m_goodTokens = 0;
    ReplayResult m_result;
};

}
