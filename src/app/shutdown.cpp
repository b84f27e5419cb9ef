#include "app/shutdown.h"

#include <csignal>
#include <ctime>
#include <sys/resource.h>

namespace Basilbend
{

namespace Internal
{

sigset_t shutdownSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

}

void prepareProcess()
{
    const auto signals = Internal::shutdownSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    rlimit files{};
    if (getrlimit(RLIMIT_NOFILE, &files) == 0) {
        files.rlim_cur = files.rlim_max;
        setrlimit(RLIMIT_NOFILE, &files);
    }
}

void waitForShutdownSignal()
{
    const auto signals = Internal::shutdownSignals();
    int signal = 0;
    while (sigwait(&signals, &signal) != 0) {}
}

bool waitUntilDrained(const std::function<bool()> &isDrained, Milliseconds limit)
{
    constexpr Milliseconds Step{50};
    const auto signals = Internal::shutdownSignals();
    const timespec step{0, Step.count() * 1000000};
    for (Milliseconds waited{0}; waited < limit && !isDrained(); waited += Step) {
        if (sigtimedwait(&signals, nullptr, &step) > 0) {
            break;
        }
    }
    return isDrained();
}

}
