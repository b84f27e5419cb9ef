#include "soak/soakprocess.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>

namespace Basilbend
{

namespace
{

/// Async-signal-safe, because it runs between fork() and execv().
void applyLimit(__rlimit_resource resource, std::uint64_t value)
{
    if (value > 0) {
        const rlimit limit{value, value};
        ::setrlimit(resource, &limit);
    }
}

}

SoakProcess::SoakProcess(std::string program, std::string role, std::string settingsFile, std::string logFile)
    : m_program(std::move(program))
    , m_role(std::move(role))
    , m_settingsFile(std::move(settingsFile))
    , m_logFile(std::move(logFile))
{
}

SoakProcess::~SoakProcess()
{
    kill();
    ::close(m_unreadPipe);
}

int SoakProcess::openOutput()
{
    if (m_isOutputRead) {
        const int log = ::open(m_logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        if (log < 0) {
            throw std::system_error(errno, std::generic_category(), m_logFile);
        }
        return log;
    }
    std::array<int, 2> ends{};
    if (::pipe2(ends.data(), O_CLOEXEC) != 0) {
        throw std::system_error(errno, std::generic_category(), "pipe2");
    }
    ::close(m_unreadPipe);
    m_unreadPipe = ends[0];
    return ends[1];
}

void SoakProcess::start()
{
    m_exitCode.reset();
    m_isStopRequested = false;
    const int log = openOutput();
    std::array<char *, 5> arguments = {m_program.data(), m_role.data(), const_cast<char *>("--settings"), m_settingsFile.data(), nullptr};
    m_pid = ::fork();
    if (m_pid < 0) {
        throw std::system_error(errno, std::generic_category(), "fork");
    }
    if (m_pid == 0) {
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        applyLimit(RLIMIT_DATA, m_memoryLimit);
        applyLimit(RLIMIT_NOFILE, m_descriptorLimit);
        ::execv(m_program.c_str(), arguments.data());
        ::_exit(127);
    }
    ::close(log);
}

void SoakProcess::signal(int number)
{
    if (m_pid > 0) {
        m_isStopRequested = m_isStopRequested || number == SIGTERM;
        ::kill(m_pid, number);
    }
}

bool SoakProcess::isRunning()
{
    return m_pid > 0 && !wait(WNOHANG);
}

void SoakProcess::kill()
{
    if (m_pid > 0) {
        ::kill(m_pid, SIGKILL);
        wait(0);
    }
}

bool SoakProcess::wait(int options)
{
    int status = 0;
    rusage usage{};
    if (::wait4(m_pid, &status, options, &usage) != m_pid) {
        return false;
    }
    m_pid = 0;
    m_exitCode = WIFEXITED(status) ? std::optional(WEXITSTATUS(status)) : std::nullopt;
    const auto span = [](const timeval &time) { return Milliseconds(time.tv_sec * 1000 + time.tv_usec / 1000); };
    m_processorTime += span(usage.ru_utime) + span(usage.ru_stime);
    m_peakMemoryKib = std::max(m_peakMemoryKib, usage.ru_maxrss);
    return true;
}

}
