#include "sidecar/attemptlog.h"

namespace Basilbend
{

AttemptLog::AttemptLog(Milliseconds keepFor, std::size_t keepBytes)
    : m_keepFor(keepFor)
    , m_keepBytes(keepBytes)
{
}

void AttemptLog::append(const AttemptId &id, std::string line)
{
    auto &record = m_records[id];
    record.bytes += line.size();
    record.lines.push_back(std::move(line));
}

void AttemptLog::end(const AttemptId &id, Timestamp now)
{
    const auto it = m_records.find(id);
    if (it != m_records.end() && !it->second.ended) {
        it->second.ended = true;
        m_endedBytes += it->second.bytes;
        m_ended.push_back({now, id});
        expire(now);
    }
}

const std::vector<std::string> *AttemptLog::lines(const AttemptId &id) const
{
    const auto it = m_records.find(id);
    return it == m_records.end() ? nullptr : &it->second.lines;
}

bool AttemptLog::hasEnded(const AttemptId &id) const
{
    const auto it = m_records.find(id);
    return it != m_records.end() && it->second.ended;
}

void AttemptLog::forget(const AttemptId &id)
{
    const auto it = m_records.find(id);
    if (it != m_records.end() && it->second.ended) {
        m_endedBytes -= it->second.bytes;
        m_records.erase(it);
    }
}

void AttemptLog::expire(Timestamp now)
{
    while (!m_ended.empty() && (m_endedBytes > m_keepBytes || now - m_ended.front().at >= m_keepFor)) {
        forget(m_ended.front().id);
        m_ended.pop_front();
    }
}

std::size_t AttemptLog::endedBytes() const
{
    return m_endedBytes;
}

}
