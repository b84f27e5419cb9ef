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
    FaultPlan(EventLoop loop, Random &random, SoakSystem &system);

    void start();

    /// Injects no more faults. Faults of the store, of the links to it and of the links of clients end at once, paused processes
    /// continue and ended ones are started again. Faults of endpoints and of their links end by themselves, within 4 s.
    void stop();

    /// One line per fault, with the time since the start in ms.
    const std::vector<std::string> &story() const
    {
        return m_story;
    }

private:
    struct Kind {
        int weight;
        std::function<void()> inject;
    };

    void next();
    void tell(const std::string &what);
    /// Returns a random duration between the two bounds, in ms.
    Milliseconds span(std::uint64_t shortest, std::uint64_t longest);
    SoakNode &anyNode();

    void killProcess();
    void pauseProcess();
    void terminateProcess();
    void restart(SoakNode &node);
    void cutStoreLink();
    void cutClientLink();
    void failStore();
    void loseCommits();
    void deafenWatches();
    void crashEndpoint();
    void cutEndpointLink();
    void changeConfiguration();
    void changeSettings();
    void setLinkFault(FaultProxy &proxy, const std::string &name);

    EventLoop m_loop;
    Random &m_random;
    SoakSystem &m_system;
    std::vector<Kind> m_kinds;
    std::vector<std::string> m_story;
    Timestamp m_startedAt;
    bool m_isStopped = false;
};

}
