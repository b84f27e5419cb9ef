#pragma once

#include <cstdint>
#include <istream>
#include <optional>
#include <string>
#include <vector>

namespace Basilbend
{

/// One log line that belongs to an id.
struct TracedLine {
    std::int64_t timeMs = 0;
    std::string node;
    std::string event;
    bool isWarning = false;
    /// The other fields as JSON text.
    std::string fields;
};

/// Gathers from the logs of several processes what was decided about one id: a request, a batch, an item, an endpoint, a
/// usage window or a host.
class LogTrace
{
public:
    explicit LogTrace(std::string id);

    /// Reads lines; what stands before the JSON object of a line is skipped, and lines without one are counted.
    void read(std::istream &input);

    /// All lines about the id, in order of time.
    std::vector<TracedLine> lines() const;

    /// The first line that tells of a failure; nothing when there is none.
    std::optional<TracedLine> firstFailure() const;

    std::size_t unreadableLines() const
    {
        return m_unreadable;
    }

private:
    std::string m_id;
    std::vector<TracedLine> m_lines;
    std::size_t m_unreadable = 0;
};

}
