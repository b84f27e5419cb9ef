#pragma once

#include "base/attemptid.h"
#include "base/timestamp.h"
#include "steps/samplebody.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Basilbend
{

/// A finished sample that a sidecar keeps.
struct StoredSample {
    std::string step;
    std::uint32_t index = 0;
    AttemptId attempt;
    SampleBody body;
    Timestamp expires;
};

/// Finished samples on the sidecar that produced them, kept until the trainer has them or their step is over, so that they
/// outlive the entry that asked for them. When the bound on bytes is reached the oldest are dropped: they are run again
/// only if their entry is lost too.
class SampleOutbox
{
public:
    explicit SampleOutbox(std::size_t maxBytes);

    /// Returns false when the sample alone exceeds the bound.
    bool put(StoredSample sample);

    /// The samples of a step, oldest first; valid until the next change.
    std::vector<const StoredSample *> find(const std::string &step) const;

    /// One sample by its attempt, or null.
    const StoredSample *find(const std::string &step, const AttemptId &attempt) const;

    /// The trainer has these samples.
    void release(const std::string &step, const std::vector<std::uint32_t> &indexes);

    /// The attempt was revoked: its entry has another result.
    void drop(const std::string &step, const AttemptId &attempt);

    void expire(Timestamp now);

    std::size_t bytes() const;
    std::size_t size() const;

    /// Samples dropped because of the bound since the start.
    std::uint64_t dropped() const;

private:
    using Samples = std::list<StoredSample>;

    void erase(Samples::iterator it);

    std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
    std::uint64_t m_dropped = 0;
    Samples m_samples;
    std::map<std::pair<std::string, AttemptId>, Samples::iterator> m_byAttempt;
};

}
