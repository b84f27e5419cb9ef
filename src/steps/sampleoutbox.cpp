#include "steps/sampleoutbox.h"

#include <algorithm>

namespace Basilbend
{

namespace Internal
{

std::size_t storedBytes(const StoredSample &sample)
{
    return sizeof(StoredSample) + sample.step.size() + sample.body.text.size() + sample.body.versions.size() * sizeof(VersionSegment);
}

}

SampleOutbox::SampleOutbox(std::size_t maxBytes)
    : m_maxBytes(maxBytes)
{
}

bool SampleOutbox::put(StoredSample sample)
{
    const auto size = Internal::storedBytes(sample);
    if (size > m_maxBytes) {
        ++m_dropped;
        return false;
    }
    drop(sample.step, sample.attempt);
    while (m_bytes + size > m_maxBytes) {
        ++m_dropped;
        erase(m_samples.begin());
    }
    m_bytes += size;
    m_samples.push_back(std::move(sample));
    const auto last = std::prev(m_samples.end());
    m_byAttempt[{last->step, last->attempt}] = last;
    return true;
}

std::vector<const StoredSample *> SampleOutbox::find(const std::string &step) const
{
    std::vector<const StoredSample *> found;
    for (const auto &sample : m_samples) {
        if (sample.step == step) {
            found.push_back(&sample);
        }
    }
    return found;
}

const StoredSample *SampleOutbox::find(const std::string &step, const AttemptId &attempt) const
{
    const auto it = m_byAttempt.find({step, attempt});
    return it == m_byAttempt.end() ? nullptr : &*it->second;
}

void SampleOutbox::release(const std::string &step, const std::vector<std::uint32_t> &indexes)
{
    for (auto it = m_samples.begin(); it != m_samples.end();) {
        const auto current = it++;
        if (current->step == step && std::find(indexes.begin(), indexes.end(), current->index) != indexes.end()) {
            erase(current);
        }
    }
}

void SampleOutbox::drop(const std::string &step, const AttemptId &attempt)
{
    const auto it = m_byAttempt.find({step, attempt});
    if (it != m_byAttempt.end()) {
        erase(it->second);
    }
}

void SampleOutbox::expire(Timestamp now)
{
    for (auto it = m_samples.begin(); it != m_samples.end();) {
        const auto current = it++;
        if (now >= current->expires) {
            erase(current);
        }
    }
}

std::size_t SampleOutbox::bytes() const
{
    return m_bytes;
}

std::size_t SampleOutbox::size() const
{
    return m_samples.size();
}

std::uint64_t SampleOutbox::dropped() const
{
    return m_dropped;
}

void SampleOutbox::erase(Samples::iterator it)
{
    m_bytes -= Internal::storedBytes(*it);
    m_byAttempt.erase({it->step, it->attempt});
    m_samples.erase(it);
}

}
