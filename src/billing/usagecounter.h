#pragma once

#include "base/timestamp.h"
#include "billing/usagecounts.h"

#include <map>
#include <string>
#include <vector>

namespace Basilbend
{

/// The counts of a usage window that is over.
struct ClosedWindow {
    std::int64_t window = 0;
    UsageCounts counts;
};

/// Counts the requests that began to run, by usage window and workspace. Window k begins k times the window's span after
/// the start of 1970.
class UsageCounter
{
public:
    explicit UsageCounter(Milliseconds span);

    void countRequest(const std::string &workspace, Timestamp at);

    /// Takes out the windows that ended before the time; with SettleDelay for requests whose beginning is learned late.
    std::vector<ClosedWindow> takeClosedWindows(Timestamp now);

    /// Takes out all windows, for the end of the process.
    std::vector<ClosedWindow> takeAllWindows();

    std::int64_t windowIndexAt(Timestamp at) const;
    Timestamp windowEnd(std::int64_t window) const;

    static constexpr Milliseconds SettleDelay{1500};

private:
    Milliseconds m_span;
    std::map<std::int64_t, UsageCounts> m_windows;
};

}
