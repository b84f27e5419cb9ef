#pragma once

#include "base/random.h"
#include "soak/soaksystem.h"

#include <functional>
#include <string>
#include <vector>

namespace Basilbend
{

/// Injects faults at random times, several at once and in series, and heals all at the end.
class FaultPlan
{
public:
    FaultPlan(EventLoop loop, Random &random, SoakSystem &system);

    void start();

    /// No new faults. The store and the links to it and of clients heal at once, paused processes go on and ended ones start
    /// again; faults of endpoints and their links end in their own time, within 4 s.
    void stop();

    /// One line for each fault, with its time since the start.
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
    /// A span between the two, in ms.
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
