#pragma once

#include "base/timestamp.h"

#include <cstdint>
#include <optional>
#include <string>
#include <sys/types.h>

namespace Basilbend
{

/// One process of the system under test.
class SoakProcess
{
public:
    /// Describes a process that is run as "PROGRAM ROLE --settings FILE". Its output is appended to the log file.
    SoakProcess(std::string program, std::string role, std::string settingsFile, std::string logFile);
    ~SoakProcess();
    SoakProcess(const SoakProcess &) = delete;
    SoakProcess &operator=(const SoakProcess &) = delete;

    /// From the next start on, the output goes to a pipe that is never read.
    void leaveOutputUnread()
    {
        m_isOutputRead = false;
    }

    /// Limits the private memory of the process in bytes, from the next start on.
    void limitMemory(std::uint64_t bytes)
    {
        m_memoryLimit = bytes;
    }

    /// Limits the open descriptors of the process, from the next start on.
    void limitDescriptors(std::uint64_t descriptors)
    {
        m_descriptorLimit = descriptors;
    }

    /// Throws std::system_error when the process can't be created or its log can't be opened.
    void start();

    /// Process id; zero when the process has ended.
    pid_t id() const
    {
        return m_pid;
    }

    /// Sends a signal; does nothing when the process has ended.
    void signal(int number);

    /// Whether SIGTERM has been sent since the last start.
    bool isStopRequested() const
    {
        return m_isStopRequested;
    }

    /// Whether the process runs. Records its exit code and processor time when it has ended.
    bool isRunning();

    /// Kills the process and waits for its end.
    void kill();

    /// Total processor time of all ended runs of the process.
    Milliseconds processorTime() const
    {
        return m_processorTime;
    }

    /// Largest resident memory of an ended run of the process, in KiB.
    long peakMemoryKib() const
    {
        return m_peakMemoryKib;
    }

    /// Exit code of the last run; nothing when a signal ended it, or while the process runs.
    std::optional<int> exitCode() const
    {
        return m_exitCode;
    }

private:
    /// Waits for the process with the options of wait4(). Records exit code and processor time and returns true when it has ended.
    bool wait(int options);
    int openOutput();

    std::string m_program;
    std::string m_role;
    std::string m_settingsFile;
    std::string m_logFile;
    bool m_isOutputRead = true;
    bool m_isStopRequested = false;
    /// Read end of the pipe that is never read; -1 when there is none.
    int m_unreadPipe = -1;
    /// Zero: the limit of this process applies.
    std::uint64_t m_memoryLimit = 0;
    std::uint64_t m_descriptorLimit = 0;
    pid_t m_pid = 0;
    std::optional<int> m_exitCode;
    Milliseconds m_processorTime{0};
    long m_peakMemoryKib = 0;
};

}
