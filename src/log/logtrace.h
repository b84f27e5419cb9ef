#pragma once

#include <cstdint>
#include <istream>
#include <optional>
#include <string>
#include <vector>

namespace Basilbend
{

/// A log line that mentions the traced id.
struct TracedLine {
    std::int64_t timeMs = 0;
    std::string node;
    std::string event;
    bool isWarning = false;
    /// The remaining fields as JSON text.
    std::string fields;
};

/// Collects the log lines of several processes that mention one id: a request, a batch, an item, an endpoint, a usage
/// window or a host.
class LogTrace
{
public:
    explicit LogTrace(std::string id);

    /// Reads log lines. Text before the JSON object of a line is skipped; lines without an object are counted as unreadable.
    void read(std::istream &input);

    /// Returns all lines that mention the id, in order of time.
    std::vector<TracedLine> lines() const;

    /// Returns the first warning in order of time, or nothing when there is none.
    std::optional<TracedLine> firstFailure() const;

    std::size_t unreadableLines() const
    {
        return m_unreadableLines;
    }

private:
    std::string m_id;
    std::vector<TracedLine> m_lines;
    std::size_t m_unreadableLines = 0;
};

}
