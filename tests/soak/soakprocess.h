#pragma once

#include "base/timestamp.h"

#include <optional>
#include <string>
#include <sys/types.h>

namespace Basilbend
{

/// One process of the system under test.
class SoakProcess
{
public:
    /// Program and role: what is run as "PROGRAM ROLE --settings FILE". Its output is appended to the log file.
    SoakProcess(std::string program, std::string role, std::string settingsFile, std::string logFile);
    ~SoakProcess();
    SoakProcess(const SoakProcess &) = delete;
    SoakProcess &operator=(const SoakProcess &) = delete;

    /// From the next start on, the output goes to a pipe that nobody reads.
    void stopReader()
    {
        m_hasReader = false;
    }

    /// Throws std::system_error when no process can be made or its log can't be opened.
    void start();

    /// Does nothing when the process has ended.
    void signal(int number) const;

    /// Also takes note of its end.
    bool isRunning();

    /// Kills and waits for the end.
    void kill();

    /// Processor time of the ended processes.
    Milliseconds processorTime() const
    {
        return m_processorTime;
    }

    /// Exit code of the last end; nothing after a signal, or while it runs.
    std::optional<int> exitCode() const
    {
        return m_exitCode;
    }

private:
    /// Takes note of an end; options as of wait4().
    bool wait(int options);
    int openOutput();

    std::string m_program;
    std::string m_role;
    std::string m_settingsFile;
    std::string m_logFile;
    bool m_hasReader = true;
    /// The unread end of the pipe; -1: none.
    int m_unreadPipe = -1;
    pid_t m_pid = 0;
    std::optional<int> m_exitCode;
    Milliseconds m_processorTime{0};
};

}
