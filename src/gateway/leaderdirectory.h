#pragma once

#include "base/eventloop.h"
#include "log/eventlog.h"
#include "metadata/metadatastore.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Basilbend
{

/// Knows the address of the leading scheduler, from its record in the metadata store.
class LeaderDirectory
{
public:
    LeaderDirectory(MetadataStore &store, EventLoop loop, EventLog &log);

    /// Address of the leader; empty if it is not known. Starts a look-up in that case.
    std::string address();

    /// Calls step when the leader is known or a look-up has ended without one; at once if the last look-up was too short a time ago.
    void runAfterLookUp(std::function<void()> step);

    /// Drops the leader at this address and starts a new look-up. The reason is logged.
    void drop(const std::string &address, const char *why);

    /// Minimum time between two look-ups of the leader in the metadata store.
    static constexpr Milliseconds LookUpInterval{1000};

    /// Time for which a leader that was dropped is not used again, although the store still names it: about the time in which a lease
    /// expires.
    static constexpr Milliseconds SuspectCooldown{2000};

private:
    void lookUp();

    MetadataStore &m_store;
    EventLoop m_loop;
    EventLog &m_log;
    std::string m_address;
    bool m_isLookingUp = false;
    std::optional<Timestamp> m_lastLookUpAt;
    /// Steps to call when the current look-up ends.
    std::vector<std::function<void()>> m_waiting;
    /// Address of the leader that was dropped last.
    std::string m_suspectAddress;
    Timestamp m_suspectedAt;
};

}
