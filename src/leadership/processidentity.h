#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace Basilbend
{

/// One life of one process: the node's name, the address (IP and port) of its internal endpoints, and its incarnation.
struct ProcessIdentity {
    std::string node;
    std::string address;
    std::uint64_t incarnation = 0;

    bool isEmpty() const
    {
        return node.empty();
    }
    /// True when both name the same life of the same process.
    bool sameLife(const ProcessIdentity &other) const
    {
        return node == other.node && incarnation == other.incarnation;
    }
};

inline bool operator==(const ProcessIdentity &a, const ProcessIdentity &b)
{
    return std::tie(a.node, a.address, a.incarnation) == std::tie(b.node, b.address, b.incarnation);
}

}
