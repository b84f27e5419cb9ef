#include "leadership/releaseledger.h"

#include <algorithm>

namespace Basilbend
{

ReleaseLedger::ReleaseLedger(ProcessIdentity self)
    : m_self(std::move(self))
{
}

bool ReleaseLedger::beginSend(const std::string &duty, std::uint64_t epoch)
{
    const std::lock_guard lock(m_mutex);
    auto &state = m_duties[duty];
    if (epoch <= state.releasedUpTo) {
        return false;
    }
    ++state.sends[epoch];
    return true;
}

void ReleaseLedger::endSend(const std::string &duty, std::uint64_t epoch)
{
    const std::lock_guard lock(m_mutex);
    auto &sends = m_duties[duty].sends;
    const auto it = sends.find(epoch);
    if (it != sends.end() && --it->second == 0) {
        sends.erase(it);
    }
}

bool ReleaseLedger::release(const std::string &duty, std::uint64_t epoch)
{
    const std::lock_guard lock(m_mutex);
    auto &state = m_duties[duty];
    state.releasedUpTo = std::max(state.releasedUpTo, epoch);
    return state.sends.empty() || state.sends.begin()->first > epoch;
}

bool ReleaseLedger::isReleased(const std::string &duty, std::uint64_t epoch) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_duties.find(duty);
    return it != m_duties.end() && epoch <= it->second.releasedUpTo;
}

ReleaseAnswer ReleaseLedger::answer(const ReleaseRequest &request)
{
    if (!request.process.sameLife(m_self)) {
        return {m_self, false};
    }
    return {m_self, release(request.duty, request.epoch)};
}

}
