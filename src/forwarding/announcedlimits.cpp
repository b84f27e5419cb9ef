#include "forwarding/announcedlimits.h"

#include <algorithm>
#include <iterator>

namespace Basilbend
{

void AnnouncedLimits::record(const EndpointStart &endpoint, const RateStatement &statement, Timestamp sentAt, Timestamp now)
{
    switch (statement.kind) {
    case RateStatement::Kind::Limited:
        removeOlderThan(Retention, now);
        m_states[endpoint.id] = {{statement.requestsPerSecond, now, endpoint.startedAtMs}, std::nullopt, now};
        break;
    case RateStatement::Kind::Unlimited:
        recordUnnamed(endpoint.id, sentAt);
        break;
    case RateStatement::Kind::Unreadable:
        break;
    }
}

void AnnouncedLimits::adopt(const std::string &endpoint, const AnnouncedLimit &limit)
{
    const auto it = m_states.find(endpoint);
    if (it == m_states.end()) {
        m_states[endpoint] = {limit, std::nullopt, limit.namedAt};
        return;
    }
    auto &state = it->second;
    if (limit.namedAt <= state.endedAt.value_or(state.limit.namedAt)) {
        return;
    }
    const auto unnamedSince = state.limit.unnamedSince;
    state.endedAt.reset();
    state.limit = limit;
    if (unnamedSince && *unnamedSince > limit.namedAt) {
        state.limit.unnamedSince = unnamedSince;
    }
}

void AnnouncedLimits::recordUnnamed(const std::string &endpoint, Timestamp sentAt)
{
    const auto it = m_states.find(endpoint);
    // A response to an earlier request may have been made before the limit began.
    if (it == m_states.end() || it->second.endedAt || sentAt <= it->second.limit.namedAt) {
        return;
    }
    auto &limit = it->second.limit;
    limit.unnamedSince = limit.unnamedSince.value_or(sentAt);
    if (sentAt - *limit.unnamedSince >= EndDelay) {
        it->second.endedAt = sentAt;
    }
}

void AnnouncedLimits::end(const std::string &endpoint, Timestamp endedAt)
{
    const auto it = m_states.find(endpoint);
    if (it != m_states.end() && !it->second.endedAt && it->second.limit.namedAt < endedAt) {
        it->second.endedAt = endedAt;
    }
}

std::optional<AnnouncedLimit> AnnouncedLimits::limitOf(const EndpointRecord &endpoint) const
{
    const auto it = m_states.find(endpoint.id);
    if (it == m_states.end() || it->second.endedAt || it->second.limit.endpointStartedAtMs != endpoint.startedAtMs) {
        return std::nullopt;
    }
    return it->second.limit;
}

bool AnnouncedLimits::takeRecheck(const EndpointRecord &endpoint, Timestamp now)
{
    const auto limit = limitOf(endpoint);
    if (!limit) {
        return false;
    }
    auto &state = m_states.at(endpoint.id);
    const auto since = limit->unnamedSince;
    const bool mayEnd = since && now - *since >= EndDelay && state.recheckedAt - *since < EndDelay;
    const bool isDue = mayEnd || now - std::max(limit->namedAt, state.recheckedAt) >= RecheckInterval;
    state.recheckedAt = isDue ? now : state.recheckedAt;
    return isDue;
}

void AnnouncedLimits::removeOlderThan(Milliseconds age, Timestamp now)
{
    for (auto it = m_states.begin(); it != m_states.end();) {
        it = now - it->second.limit.namedAt >= age ? m_states.erase(it) : std::next(it);
    }
}

}
