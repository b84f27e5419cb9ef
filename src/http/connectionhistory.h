#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

namespace Basilbend
{

/// The connections that have carried a request. A response names the request to which it belongs but not one of its sendings, and a
/// faulty server may send a second copy of a response at any later time on the same connection. So a request that is sent again uses
/// a connection that has not carried it: there, a response to an earlier sending can't arrive.
class ConnectionHistory
{
public:
    void add(std::uint64_t connection)
    {
        m_connections.push_back(connection);
    }

    bool contains(std::uint64_t connection) const
    {
        return std::find(m_connections.begin(), m_connections.end(), connection) != m_connections.end();
    }

private:
    std::vector<std::uint64_t> m_connections;
};

}
