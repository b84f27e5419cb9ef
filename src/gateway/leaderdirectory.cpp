#include "gateway/leaderdirectory.h"

#include "election/leaderelection.h"

#include <utility>

namespace Basilbend
{

LeaderDirectory::LeaderDirectory(MetadataStore &store, EventLoop loop, EventLog &log)
    : m_store(store)
    , m_loop(std::move(loop))
    , m_log(log)
{
}

std::string LeaderDirectory::address()
{
    if (m_address.empty()) {
        lookUp();
    }
    return m_address;
}

void LeaderDirectory::runAfterLookUp(std::function<void()> step)
{
    if (address().empty() && m_isLookingUp) {
        m_waiting.push_back(std::move(step));
    } else {
        step();
    }
}

void LeaderDirectory::drop(const std::string &address, const char *why)
{
    if (m_address == address) {
        m_log.info("leader_forgotten", {{"leader", address}, {"why", why}});
        m_address.clear();
        m_suspectAddress = address;
        m_suspectedAt = m_loop.now();
        lookUp();
    }
}

void LeaderDirectory::lookUp()
{
    const auto now = m_loop.now();
    if (m_isLookingUp || (m_lastLookUpAt && now - *m_lastLookUpAt < LookUpInterval)) {
        return;
    }
    m_isLookingUp = true;
    m_lastLookUpAt = now;
    m_store.get(LeaderElection::holderKey(), [this](const MetadataReply &reply) {
        m_isLookingUp = false;
        const bool hasItem = reply.status == MetadataStatus::Done && !reply.items.empty();
        const auto record = hasItem ? decodeLeaderRecord(reply.items.front().value) : std::nullopt;
        const bool isSuspect = record && record->address == m_suspectAddress && m_loop.now() - m_suspectedAt < SuspectCooldown;
        if (record && !isSuspect) {
            m_address = record->address;
        }
        for (const auto &step : std::exchange(m_waiting, {})) {
            step();
        }
    });
}

}
