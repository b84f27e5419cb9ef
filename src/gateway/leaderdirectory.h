#pragma once

#include "base/eventloop.h"
#include "log/eventlog.h"
#include "metadata/metadatastore.h"

#include <optional>
#include <string>

namespace Basilbend
{

/// Knows the address of the leading scheduler, from its record in the metadata store.
class LeaderDirectory
{
public:
    LeaderDirectory(MetadataStore &store, EventLoop loop, EventLog &log);

    /// Address of the leader; empty if it is not known. Starts a look-up in that case.
    std::string address();

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
    /// Address of the leader that was dropped last.
    std::string m_suspectAddress;
    Timestamp m_suspectedAt;
};

}
