#include "forwarding/endpointtrials.h"

#include <algorithm>
#include <iterator>

namespace Basilbend
{

void EndpointTrials::reserve(const std::string &endpoint, const RequestFingerprint &request, std::uint64_t attempt, Timestamp until, bool isRunning)
{
    m_reservations[attempt] = {endpoint, request, until, isRunning};
}

void EndpointTrials::release(std::uint64_t attempt)
{
    m_reservations.erase(attempt);
}

bool EndpointTrials::isReserved(const std::string &endpoint, Timestamp now) const
{
    return std::any_of(
        m_reservations.begin(), m_reservations.end(), [&](const auto &entry) { return entry.second.endpoint == endpoint && now < entry.second.until; });
}

bool EndpointTrials::hasTrial(const std::string &endpoint, Timestamp now) const
{
    return std::any_of(m_reservations.begin(), m_reservations.end(), [&](const auto &entry) {
        return entry.second.isRunning && entry.second.endpoint == endpoint && now < entry.second.until;
    });
}

bool EndpointTrials::isOnTrial(const RequestFingerprint &request, Timestamp now) const
{
    return std::any_of(m_reservations.begin(), m_reservations.end(), [&](const auto &entry) {
        return entry.second.isRunning && entry.second.request == request && now < entry.second.until;
    });
}

std::vector<const EndpointRecord *> EndpointTrials::avoidReserved(const std::vector<const EndpointRecord *> &endpoints, Timestamp now) const
{
    if (m_reservations.empty()) {
        return endpoints;
    }
    std::vector<const EndpointRecord *> others;
    std::copy_if(
        endpoints.begin(), endpoints.end(), std::back_inserter(others), [&](const EndpointRecord *endpoint) { return !isReserved(endpoint->id, now); });
    return others.empty() ? endpoints : others;
}

}
