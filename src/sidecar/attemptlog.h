#pragma once

#include "base/attemptid.h"
#include "base/timestamp.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace Basilbend
{

/// The lines that a sidecar has emitted per attempt, for readers that attach again. Lines of attempts under way are always
/// kept; those of ended attempts up to an age and a number of bytes.
class AttemptLog
{
public:
    AttemptLog(Milliseconds keepFor, std::size_t keepBytes);

    /// Numbers count from zero.
    void append(const AttemptId &id, std::string line);

    /// Marks the last line as appended.
    void end(const AttemptId &id, Timestamp now);

    /// Null when nothing is kept.
    const std::vector<std::string> *lines(const AttemptId &id) const;
    bool hasEnded(const AttemptId &id) const;

    /// Drops the lines of an ended attempt whose reader has them all.
    void forget(const AttemptId &id);

    void expire(Timestamp now);

    /// Bytes kept for ended attempts.
    std::size_t endedBytes() const;

private:
    struct Record {
        std::vector<std::string> lines;
        std::size_t bytes = 0;
        bool ended = false;
    };
    struct Ended {
        Timestamp at;
        AttemptId id;
    };

    Milliseconds m_keepFor;
    std::size_t m_keepBytes;
    std::map<AttemptId, Record> m_records;
    std::deque<Ended> m_ended;
    std::size_t m_endedBytes = 0;
};

}
