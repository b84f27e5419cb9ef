#pragma once

#include "base/timestamp.h"
#include "billing/usagecounts.h"

#include <map>
#include <string>
#include <vector>

namespace Basilbend
{

/// The counts of a usage window that has ended.
struct ClosedWindow {
    std::int64_t window = 0;
    UsageCounts counts;
};

/// Counts the requests that began to run, by usage window and workspace. Window k begins k window spans after the Unix
/// epoch (1970).
class UsageCounter
{
public:
    explicit UsageCounter(Milliseconds span);

    void countRequest(const std::string &workspace, Timestamp at);

    /// Removes and returns the windows that ended at least SettleDelay before the given time. The delay allows for requests
    /// whose start is reported late.
    std::vector<ClosedWindow> takeClosedWindows(Timestamp now);

    /// Removes and returns all windows, including those that have not ended. Called when the process ends.
    std::vector<ClosedWindow> closeAllWindows();

    std::int64_t windowIndexAt(Timestamp at) const;
    Timestamp windowEnd(std::int64_t window) const;

    static constexpr Milliseconds SettleDelay{1500};

private:
    Milliseconds m_span;
    std::map<std::int64_t, UsageCounts> m_windows;
};

}
