#include "store/virtualtime.h"

namespace Basilbend
{

VirtualTime::VirtualTime(Timestamp start)
    : m_now(start)
{
}

void VirtualTime::schedule(Milliseconds span, std::function<void()> function)
{
    m_queue.emplace(std::make_pair(m_now + span, m_sequence++), std::move(function));
}

void VirtualTime::advanceTo(Timestamp time)
{
    while (!m_queue.empty() && m_queue.begin()->first.first <= time) {
        auto node = m_queue.extract(m_queue.begin());
        m_now = node.key().first;
        node.mapped()();
    }
    m_now = time;
}

}
