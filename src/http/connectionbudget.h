#pragma once

#include "base/timestamp.h"

#include <cstddef>
#include <functional>
#include <string>
#include <unordered_map>

namespace Basilbend
{

/// Limits on what the connections of clients may use together, over all listening addresses of a process.
struct ConnectionLimits {
    /// Memory that connections may always hold together.
    std::size_t heldBytes = 0;
    /// Memory that they may hold together if a single request within the limits of the clients needs that much.
    std::size_t maxHeldBytes = 0;
    std::size_t connections = 0;
};

inline bool operator==(const ConnectionLimits &a, const ConnectionLimits &b)
{
    return a.heldBytes == b.heldBytes && a.maxHeldBytes == b.maxHeldBytes && a.connections == b.connections;
}

/// Limits for a host with this memory and a process with this limit on open descriptors: a quarter of the memory, half of it at most, and
/// half of the descriptors, so that calls to endpoints, the store and other processes have the rest.
ConnectionLimits connectionLimitsFor(std::size_t memoryBytes, std::size_t descriptors);

/// The memory that this process may use: that of the host, or a lower limit of the system on the process.
std::size_t availableMemoryBytes();

/// The limit on open descriptors of this process.
std::size_t availableDescriptors();

/// Why a connection was closed to protect the process.
enum class ConnectionEviction {
    Memory,
    Descriptors,
    /// Its client has read nothing of its responses for too long.
    Unread,
};

const char *connectionEvictionName(ConnectionEviction reason);

/// What one connection uses.
struct ConnectionUse {
    std::size_t heldBytes = 0;
    bool hasRunningRequest = false;
    bool hasUnsentBytes = false;
    /// When the client last took bytes.
    Timestamp lastTakenAt;
    /// When the client last sent or took bytes.
    Timestamp lastProgressAt;

    /// Whether a request of the connection runs, or its response goes to a client that reads.
    bool isServing(Timestamp now) const;

    /// A client that has taken nothing for this long does not read.
    static constexpr Milliseconds ReadingPause{1000};
};

/// Decides which connections of clients are evicted when the memory or the descriptors of the process run short: those that hold most, and of
/// equal ones those without progress for longest, never one that is being served. Performs no I/O.
class ConnectionBudget
{
public:
    using Key = const void *;

    explicit ConnectionBudget(ConnectionLimits limits);

    /// Adds a connection. close: closes it and frees what it holds; called from relieve() and makeRoom().
    void add(Key connection, Timestamp now, std::function<void(ConnectionEviction)> close);
    void remove(Key connection);

    void update(Key connection, const ConnectionUse &use);

    /// Closes connections until the others hold no more than the limit. requestBytes: the size of the largest request that clients may
    /// send; a single one is never refused for lack of memory if the host can hold it. Returns whether the limit is kept.
    bool relieve(std::size_t requestBytes, Timestamp now);

    /// Closes the connection with the oldest progress if there are as many as the limit allows. Returns whether there is room for one more.
    bool makeRoom(Timestamp now);

    std::size_t heldBytes() const
    {
        return m_heldBytes;
    }
    std::size_t connectionCount() const
    {
        return m_connections.size();
    }

    /// Called for each connection that has been closed, also by the connections themselves. May be null.
    std::function<void(ConnectionEviction)> onEvicted;

private:
    struct Connection {
        ConnectionUse use;
        std::function<void(ConnectionEviction)> close;
        bool isClosing = false;
    };
    using Connections = std::unordered_map<Key, Connection>;

    void close(Connections::iterator it, ConnectionEviction reason);
    /// The connection to close first; the end if all are being served.
    template <typename Order>
    Connections::iterator firstToEvict(Timestamp now, Order isEarlier);

    ConnectionLimits m_limits;
    Connections m_connections;
    std::size_t m_heldBytes = 0;
};

}
