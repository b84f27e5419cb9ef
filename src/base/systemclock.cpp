#include "base/systemclock.h"

#include <ctime>

namespace Basilbend
{

namespace
{

/// The time since the start of the host. Goes on while the process or the host is suspended, so that a lease or a
/// configuration is as old after a pause as it is for everybody else.
Milliseconds sinceBoot()
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
    static const auto unixStart = duration_cast<Milliseconds>(system_clock::now().time_since_epoch());
    static const auto bootStart = sinceBoot();
    return Timestamp((unixStart + sinceBoot() - bootStart).count());
}

}
