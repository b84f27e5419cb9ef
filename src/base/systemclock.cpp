#include "base/systemclock.h"

#include <ctime>

namespace Basilbend
{

namespace
{

/// Returns the time since the host started. It advances while the process or the host is suspended, so that after a pause
/// the age of a lease or a configuration agrees with the other processes.
Milliseconds hostUptime()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return Milliseconds(std::int64_t{time.tv_sec} * 1000 + time.tv_nsec / 1000000);
}

}

Timestamp systemNow()
{
    using std::chrono::duration_cast;
    using std::chrono::system_clock;
    static const auto unixTimeAtFirstCall = duration_cast<Milliseconds>(system_clock::now().time_since_epoch());
    static const auto uptimeAtFirstCall = hostUptime();
    return Timestamp((unixTimeAtFirstCall + hostUptime() - uptimeAtFirstCall).count());
}

}
