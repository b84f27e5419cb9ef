#include "forwarding/answeredrequests.h"

namespace Basilbend
{

void AnsweredRequests::record(const RequestFingerprint &request, Timestamp now)
{
    const auto [it, isNew] = m_answers.insert_or_assign(request, Answer{now, std::nullopt});
    if (!isNew) {
        return;
    }
    m_order.push_back(request);
    if (m_order.size() > MaxRequests) {
        m_answers.erase(m_order.front());
        m_order.pop_front();
    }
}

bool AnsweredRequests::excuses(const RequestFingerprint &request, const EndpointStart &crashed, Timestamp now)
{
    const auto it = m_answers.find(request);
    if (it == m_answers.end() || now - it->second.at >= Retention) {
        return false;
    }
    const auto crash = crashed.id + "/" + std::to_string(crashed.startedAtMs);
    auto &excused = it->second.excused;
    excused = excused.value_or(crash);
    return *excused == crash;
}

}
