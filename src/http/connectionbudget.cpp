#include "http/connectionbudget.h"

#include <algorithm>
#include <limits>
#include <sys/resource.h>
#include <sys/sysinfo.h>
#include <vector>

namespace Basilbend
{

namespace
{

constexpr std::size_t MemoryDivisor = 4;
constexpr std::size_t MaxMemoryDivisor = 2;
constexpr std::size_t DescriptorDivisor = 2;

/// Room for other connections beside the largest request.
constexpr double LargestRequestFactor = 1.25;

std::size_t systemLimit(__rlimit_resource resource)
{
    rlimit limit{};
    const bool isLimited = getrlimit(resource, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
    return isLimited ? static_cast<std::size_t>(limit.rlim_cur) : std::numeric_limits<std::size_t>::max();
}

}

ConnectionLimits connectionLimitsFor(std::size_t memoryBytes, std::size_t descriptors)
{
    return {memoryBytes / MemoryDivisor, memoryBytes / MaxMemoryDivisor, std::max<std::size_t>(1, descriptors / DescriptorDivisor)};
}

std::size_t availableMemoryBytes()
{
    struct sysinfo info {
    };
    const auto host = sysinfo(&info) == 0 ? static_cast<std::size_t>(info.totalram) * info.mem_unit : std::numeric_limits<std::size_t>::max();
    return std::min({host, systemLimit(RLIMIT_DATA), systemLimit(RLIMIT_AS)});
}

std::size_t availableDescriptors()
{
    return systemLimit(RLIMIT_NOFILE);
}

const char *connectionEvictionName(ConnectionEviction reason)
{
    switch (reason) {
    case ConnectionEviction::Memory:
        return "memory";
    case ConnectionEviction::Descriptors:
        return "descriptors";
    case ConnectionEviction::Unread:
        return "unread";
    }
    return "unknown";
}

bool ConnectionUse::isServing(Timestamp now) const
{
    return hasRunningRequest || (hasUnsentBytes && now - lastTakenAt < ReadingPause);
}

ConnectionBudget::ConnectionBudget(ConnectionLimits limits)
    : m_limits(limits)
{
}

void ConnectionBudget::add(Key connection, Timestamp now, std::function<void(ConnectionEviction)> close)
{
    m_connections[connection] = {{0, false, false, now, now}, std::move(close)};
}

void ConnectionBudget::remove(Key connection)
{
    const auto it = m_connections.find(connection);
    if (it != m_connections.end()) {
        m_heldBytes -= it->second.use.heldBytes;
        m_connections.erase(it);
    }
}

void ConnectionBudget::update(Key connection, const ConnectionUse &use)
{
    const auto it = m_connections.find(connection);
    if (it != m_connections.end() && !it->second.isClosing) {
        m_heldBytes += use.heldBytes - it->second.use.heldBytes;
        it->second.use = use;
    }
}

template <typename Order>
ConnectionBudget::Connections::iterator ConnectionBudget::firstToEvict(Timestamp now, Order isEarlier)
{
    auto first = m_connections.end();
    for (auto it = m_connections.begin(); it != m_connections.end(); ++it) {
        const bool mayBeEvicted = !it->second.isClosing && !it->second.use.isServing(now);
        if (mayBeEvicted && (first == m_connections.end() || isEarlier(it->second.use, first->second.use))) {
            first = it;
        }
    }
    return first;
}

void ConnectionBudget::close(Connections::iterator it, ConnectionEviction reason)
{
    // The connection removes itself, or remains with less memory until its refusal is sent.
    const auto closeConnection = it->second.close;
    m_heldBytes -= it->second.use.heldBytes;
    it->second.use.heldBytes = 0;
    it->second.isClosing = true;
    closeConnection(reason);
    if (onEvicted) {
        onEvicted(reason);
    }
}

bool ConnectionBudget::relieve(std::size_t requestBytes, Timestamp now)
{
    const auto needed = static_cast<std::size_t>(LargestRequestFactor * static_cast<double>(requestBytes));
    const auto limit = std::clamp(needed, m_limits.heldBytes, m_limits.maxHeldBytes);
    while (m_heldBytes > limit) {
        const auto it = firstToEvict(now, [](const ConnectionUse &a, const ConnectionUse &b) {
            return a.heldBytes != b.heldBytes ? a.heldBytes > b.heldBytes : a.lastProgressAt < b.lastProgressAt;
        });
        if (it == m_connections.end() || it->second.use.heldBytes == 0) {
            return false;
        }
        close(it, ConnectionEviction::Memory);
    }
    return true;
}

bool ConnectionBudget::makeRoom(Timestamp now)
{
    if (m_connections.size() < m_limits.connections) {
        return true;
    }
    const auto it = firstToEvict(now, [](const ConnectionUse &a, const ConnectionUse &b) { return a.lastProgressAt < b.lastProgressAt; });
    if (it != m_connections.end()) {
        close(it, ConnectionEviction::Descriptors);
    }
    return m_connections.size() < m_limits.connections;
}

}
