#include "replay/replaytrainer.h"

#include <algorithm>

namespace Basilbend
{

namespace Internal
{

static double seconds(Milliseconds span)
{
    return static_cast<double>(span.count()) / 1000;
}

}

ReplayTrainer::ReplayTrainer(const TraceTrainer &trace)
    : m_trace(trace)
{
}

const TraceTrainer &ReplayTrainer::trace() const
{
    return m_trace;
}

const std::vector<TraceSample> &ReplayTrainer::openStep(Timestamp now)
{
    static const std::vector<TraceSample> none;
    const auto ahead = m_completed > 0 && now < m_trainedUntil - m_trace.trainTime;
    if (m_missing > 0 || now < m_trace.at || ahead || m_next >= m_trace.steps.size()) {
        return none;
    }
    const auto &samples = m_trace.steps[m_next++];
    m_missing = samples.size();
    m_openedAt = now;
    return samples;
}

bool ReplayTrainer::isOpen() const
{
    return m_missing > 0;
}

bool ReplayTrainer::isDone() const
{
    return m_missing == 0 && m_next >= m_trace.steps.size();
}

bool ReplayTrainer::sampleDelivered(Timestamp now)
{
    if (--m_missing > 0) {
        return false;
    }
    if (m_completed > 0) {
        m_idle += std::max(Milliseconds(0), now - m_trainedUntil);
    }
    m_stepTime += now - m_openedAt;
    m_trainedUntil = std::max(now, m_completed > 0 ? m_trainedUntil : now) + m_trace.trainTime;
    ++m_completed;
    return true;
}

/// A step that is still open counts with the time that it has taken so far.
double ReplayTrainer::idleSeconds(Timestamp end) const
{
    const auto open = m_missing > 0 && m_completed > 0 ? std::max(Milliseconds(0), end - m_trainedUntil) : Milliseconds(0);
    return Internal::seconds(m_idle + open);
}

double ReplayTrainer::stepSeconds(Timestamp end) const
{
    return Internal::seconds(m_stepTime + (m_missing > 0 ? end - m_openedAt : Milliseconds(0)));
}

std::uint64_t ReplayTrainer::steps() const
{
    return m_completed;
}

}
