#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <sys/types.h>
#include <thread>

namespace Basilbend::Review
{

/// A process of the system, started with the command of the deploy file.
class Process
{
public:
    /// memory: the memory of the machine in bytes; zero: that of this one. The process learns it from the limit of the system on it, which is
    /// lifted again once it has started: what counts is memory in use, see watchMemory().
    Process(std::string role, std::string settingsFile, std::string logFile, std::uint64_t memory);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void start();
    void signal(int number) const;
    bool isRunning();
    void liftLimit() const;

    /// Largest private resident memory since the start, in KiB.
    long peakKib() const
    {
        return m_peakKib;
    }
    void kill();

    /// Zero when the process has ended.
    pid_t id() const
    {
        return m_pid;
    }

private:
    /// Stands for the platform: a process that uses more than the memory of its machine is killed.
    void watchMemory();

    std::string m_role;
    std::string m_settingsFile;
    std::string m_logFile;
    std::uint64_t m_memory;
    pid_t m_pid = 0;
    std::atomic<pid_t> m_watchedPid{0};
    std::atomic<long> m_peakKib{0};
    std::atomic<bool> m_isEnding{false};
    std::thread m_watcher;
};

}
