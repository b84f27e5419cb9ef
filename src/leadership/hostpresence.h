#pragma once

#include "base/timestamp.h"

#include <map>
#include <string>
#include <vector>

namespace Basilbend
{

/// Decides from the platform's host list whether a host has left. The list lags, and two reads may come from copies of
/// different age, so one absence proves nothing: a host has left when every read over a settling time missed it.
class HostPresence
{
public:
    /// A list without the own address is not trusted: it is older than this process.
    HostPresence(std::string ownAddress, Milliseconds settlingTime = Milliseconds(30000));

    /// Takes in one successful read of the list (IP addresses of hosts, with or without ports as the platform gives them).
    void update(const std::vector<std::string> &addresses, Timestamp now);

    bool hasLeft(const std::string &address, Timestamp now) const;

private:
    std::string m_ownAddress;
    Milliseconds m_settlingTime;
    std::map<std::string, Timestamp> m_lastSeen;
    Timestamp m_firstRead;
    Timestamp m_lastRead;
    bool m_read = false;
};

}
