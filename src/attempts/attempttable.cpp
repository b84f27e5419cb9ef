#include "attempts/attempttable.h"

#include <algorithm>

namespace Basilbend
{

namespace Internal
{

bool hasEnded(ExecutionState state)
{
    return state != ExecutionState::Received && state != ExecutionState::Started;
}

}

AttemptTable::AttemptTable(std::uint64_t incarnation, AttemptTableSettings settings)
    : m_incarnation(incarnation)
    , m_settings(settings)
{
}

std::uint64_t AttemptTable::incarnation() const
{
    return m_incarnation;
}

Result<AttemptTable::Arrival> AttemptTable::receive(const AttemptId &id, std::uint64_t addressedIncarnation, Timestamp now)
{
    if (addressedIncarnation != m_incarnation) {
        // A copy of the request may have reached the earlier incarnation, so this refusal is no evidence of "not run".
        return Error{ResultCode::ExecutionUnknown, "the attempt is addressed to another incarnation of this sidecar", Execution::Unknown};
    }
    if (const auto *known = find(id)) {
        switch (*known) {
        case ExecutionState::Revoked:
            return Error{ResultCode::AttemptRevoked, "the attempt was revoked before it arrived or started", Execution::NotRun};
        case ExecutionState::Refused:
            return Error{ResultCode::NotRun, "the attempt was refused before it started", Execution::NotRun};
        default:
            return Arrival::Known;
        }
    }
    auto *sender = senderFor(id, now);
    if (sender == nullptr) {
        return Error{ResultCode::Overloaded, "too many entry incarnations are remembered to accept another", Execution::NotRun};
    }
    if (sender->floor && id.sequence <= *sender->floor) {
        return Error{ResultCode::ExecutionUnknown, "the attempt is older than the records that are kept", Execution::Unknown};
    }
    sender->attempts.emplace(id.sequence, ExecutionState::Received);
    ++m_size;
    return Arrival::New;
}

Result<void> AttemptTable::start(const AttemptId &id)
{
    auto *known = find(id);
    if (known != nullptr && *known == ExecutionState::Received) {
        *known = ExecutionState::Started;
        return boost::outcome_v2::success();
    }
    if (known != nullptr && *known == ExecutionState::Revoked) {
        return Error{ResultCode::AttemptRevoked, "the attempt was revoked before it started", Execution::NotRun};
    }
    const bool ran = known != nullptr && *known != ExecutionState::Refused;
    return Error{ResultCode::NotRun, "the attempt can't be started in its state", ran ? Execution::Ran : Execution::NotRun};
}

void AttemptTable::finish(const AttemptId &id, Timestamp now)
{
    auto *known = find(id);
    if (known != nullptr && *known == ExecutionState::Started) {
        markEnded(id, *known, ExecutionState::Finished, now);
    }
}

bool AttemptTable::refuse(const AttemptId &id, Timestamp now)
{
    auto *known = find(id);
    if (known == nullptr || *known == ExecutionState::Started || *known == ExecutionState::Finished) {
        return false;
    }
    if (*known == ExecutionState::Received) {
        markEnded(id, *known, ExecutionState::Refused, now);
    }
    return true;
}

RevocationAnswer AttemptTable::revoke(const AttemptId &id, std::uint64_t addressedIncarnation, Timestamp now)
{
    if (addressedIncarnation != m_incarnation) {
        return RevocationAnswer::UnknownIncarnation;
    }
    auto *known = find(id);
    if (known == nullptr) {
        auto *sender = senderFor(id, now);
        if (sender == nullptr || (sender->floor && id.sequence <= *sender->floor)) {
            return RevocationAnswer::UnknownIncarnation;
        }
        auto &state = sender->attempts.emplace(id.sequence, ExecutionState::Received).first->second;
        ++m_size;
        markEnded(id, state, ExecutionState::Revoked, now);
        return RevocationAnswer::NeverStarted;
    }
    switch (*known) {
    case ExecutionState::Started:
        return RevocationAnswer::Running;
    case ExecutionState::Finished:
        return RevocationAnswer::Finished;
    case ExecutionState::Received:
        markEnded(id, *known, ExecutionState::Revoked, now);
        break;
    default:
        break;
    }
    return RevocationAnswer::NeverStarted;
}

std::optional<ExecutionState> AttemptTable::state(const AttemptId &id) const
{
    const auto *known = find(id);
    return known == nullptr ? std::nullopt : std::optional<ExecutionState>(*known);
}

void AttemptTable::expire(Timestamp now)
{
    while (!m_ended.empty() && now - m_ended.front().at >= m_settings.recordLifetime) {
        dropOldest();
    }
}

std::size_t AttemptTable::size() const
{
    return m_size;
}

std::size_t AttemptTable::incarnationCount() const
{
    return m_senders.size();
}

AttemptTable::SenderRecord *AttemptTable::senderFor(const AttemptId &id, Timestamp now)
{
    const Sender key{id.entry, id.incarnation};
    auto it = m_senders.find(key);
    if (it == m_senders.end()) {
        if (m_senders.size() >= m_settings.maxIncarnations && !forgetIdleSender(now)) {
            return nullptr;
        }
        it = m_senders.emplace(key, SenderRecord{}).first;
    }
    it->second.lastHeard = now;
    return &it->second;
}

const ExecutionState *AttemptTable::find(const AttemptId &id) const
{
    const auto sender = m_senders.find({id.entry, id.incarnation});
    if (sender == m_senders.end()) {
        return nullptr;
    }
    const auto it = sender->second.attempts.find(id.sequence);
    return it == sender->second.attempts.end() ? nullptr : &it->second;
}

ExecutionState *AttemptTable::find(const AttemptId &id)
{
    return const_cast<ExecutionState *>(static_cast<const AttemptTable *>(this)->find(id));
}

void AttemptTable::markEnded(const AttemptId &id, ExecutionState &state, ExecutionState ended, Timestamp now)
{
    state = ended;
    m_ended.push_back({now, id});
    while (m_ended.size() > m_settings.maxEnded) {
        dropOldest();
    }
}

void AttemptTable::dropOldest()
{
    const auto id = std::move(m_ended.front().id);
    m_ended.pop_front();
    const auto sender = m_senders.find({id.entry, id.incarnation});
    if (sender == m_senders.end()) {
        return;
    }
    auto &record = sender->second;
    m_size -= record.attempts.erase(id.sequence);
    record.floor = std::max(record.floor.value_or(0), id.sequence);
}

bool AttemptTable::forgetIdleSender(Timestamp now)
{
    for (auto it = m_senders.begin(); it != m_senders.end(); ++it) {
        if (it->second.attempts.empty() && now - it->second.lastHeard >= m_settings.incarnationLifetime) {
            m_senders.erase(it);
            return true;
        }
    }
    return false;
}

}
