#pragma once

#include <string>

namespace Basilbend
{

/// Another process that heartbeats can go to.
struct Peer {
    std::string node;

    /// IP address and port of its internal endpoints.
    std::string address;
    std::string zone;
};

inline bool operator==(const Peer &a, const Peer &b)
{
    return a.node == b.node && a.address == b.address && a.zone == b.zone;
}

}
