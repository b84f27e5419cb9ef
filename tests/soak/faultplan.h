#pragma once

#include "base/random.h"
#include "soak/soaksystem.h"

#include <functional>
#include <string>
#include <vector>

namespace Basilbend
{

/// Injects faults at random times, single, overlapping or in quick succession, and ends them when stopped.
class FaultPlan
{
public:
    /// limitRandom: source of the limits that endpoints name, which are drawn apart so that a seed keeps its other faults.
    FaultPlan(EventLoop loop, Random &random, Random &limitRandom, SoakSystem &system);

    void start();

    /// Injects no more faults. Faults of the store, of the links to it and of the links of clients end at once, paused processes
    /// continue and ended ones are started again. Faults of endpoints and of their links end by themselves, within 4 s.
    void stop();

    /// One line per fault, with the time since the start in ms.
    const std::vector<std::string> &faultLog() const
    {
        return m_faultLog;
    }

private:
    struct FaultKind {
        int weight;
        std::function<void()> inject;
    };

    void injectNext();
    void logFault(const std::string &what);
    /// Returns a random duration between the two bounds, in ms.
    Milliseconds randomDuration(std::uint64_t shortest, std::uint64_t longest);
    static Milliseconds durationFrom(Random &random, std::uint64_t shortest, std::uint64_t longest);
    SoakNode &randomNode();

    void killProcess();
    void pauseProcess();
    void terminateProcess();
    void restart(SoakNode &node);
    /// Starts the process unless it runs; one that has been told to stop is started again when it has ended.
    void restartOnceStopped(SoakNode &node);
    void cutStoreLink();
    void cutClientLink();
    void failStore();
    void loseCommits();
    void dropWatchEvents();
    void crashEndpoint();
    void cutEndpointLink();
    /// Makes all plain endpoints, or only the first, name a limit for some seconds, again and again.
    void limitEndpoints();
    void changeConfiguration();
    void changeSettings();
    /// Returns how long the fault lasts.
    Milliseconds setLinkFault(FaultProxy &proxy, const std::string &name);

    EventLoop m_loop;
    Random &m_random;
    Random &m_limitRandom;
    SoakSystem &m_system;
    std::vector<FaultKind> m_faultKinds;
    std::vector<std::string> m_faultLog;
    Timestamp m_startedAt;
    bool m_isStopped = false;
};

}
