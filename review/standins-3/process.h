#pragma once

#include <cstdint>
#include <string>
#include <sys/types.h>

namespace Basilbend::Review
{

/// A process of the system, started with the command of the deploy file.
class Process
{
public:
    /// memory: the memory of the machine in bytes; zero: that of this one. The process learns it from the limit of the system on it, which is
    /// lifted again once it has started: what counts is memory in use, see isOverMemory().
    Process(std::string role, std::string settingsFile, std::string logFile, std::uint64_t memory);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void start();
    void signal(int number) const;
    bool isRunning();
    /// Private resident memory in KiB.
    long privateKib() const;
    bool isOverMemory() const;
    void liftLimit() const;
    void kill();

    /// Zero when the process has ended.
    pid_t id() const
    {
        return m_pid;
    }

private:
    std::string m_role;
    std::string m_settingsFile;
    std::string m_logFile;
    std::uint64_t m_memory;
    pid_t m_pid = 0;
};

}
