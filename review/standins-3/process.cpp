#include "process.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace Basilbend::Review
{

namespace
{

constexpr const char *Program = "target/basilbend";
constexpr const char *SettingsVariable = "BASILBEND_CONFIG";

long privateKib(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    std::string word;
    while (file >> word) {
        if (word == "RssAnon:") {
            long kib = 0;
            file >> kib;
            return kib;
        }
    }
    return 0;
}

}

Process::Process(std::string role, std::string settingsFile, std::string logFile, std::uint64_t memory)
    : m_role(std::move(role))
    , m_settingsFile(std::move(settingsFile))
    , m_logFile(std::move(logFile))
    , m_memory(memory)
    , m_watcher([this] { watchMemory(); })
{
}

Process::~Process()
{
    m_isEnding = true;
    m_watcher.join();
    kill();
}

void Process::start()
{
    const auto parent = ::getpid();
    m_pid = ::fork();
    if (m_pid < 0) {
        throw std::system_error(errno, std::generic_category(), "fork");
    }
    if (m_pid > 0) {
        m_peakKib = 0;
        m_watchedPid = m_pid;
        return;
    }
    // The process ends with the case, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) {
        ::_exit(127);
    }
    const int log = ::open(m_logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    if (m_memory > 0) {
        const rlimit limit{m_memory, RLIM_INFINITY};
        ::setrlimit(RLIMIT_DATA, &limit);
    }
    const rlimit noDump{0, 0};
    ::setrlimit(RLIMIT_CORE, &noDump);
    ::setenv(SettingsVariable, m_settingsFile.c_str(), 1);
    ::execl(Program, Program, m_role.c_str(), static_cast<char *>(nullptr));
    ::_exit(127);
}

void Process::signal(int number) const
{
    if (m_pid > 0) {
        ::kill(m_pid, number);
    }
}

void Process::watchMemory()
{
    while (!m_isEnding) {
        const pid_t pid = m_watchedPid;
        const auto kib = pid > 0 ? privateKib(pid) : 0;
        m_peakKib = std::max<long>(m_peakKib, kib);
        // The process is not waited for before the watch has ended, so the id is its own.
        if (m_memory > 0 && static_cast<std::uint64_t>(kib) * 1024 > m_memory) {
            ::kill(pid, SIGKILL);
            m_watchedPid = 0;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
}

void Process::liftLimit() const
{
    const rlimit limit{RLIM_INFINITY, RLIM_INFINITY};
    if (m_memory > 0 && m_pid > 0) {
        ::prlimit(m_pid, RLIMIT_DATA, &limit, nullptr);
    }
}

bool Process::isRunning()
{
    siginfo_t end{};
    // The process stays a zombie until the watch has let go of it.
    const bool hasEnded = m_pid > 0 && ::waitid(P_PID, static_cast<id_t>(m_pid), &end, WEXITED | WNOHANG | WNOWAIT) == 0 && end.si_pid == m_pid;
    if (hasEnded) {
        m_watchedPid = 0;
        ::waitpid(m_pid, nullptr, 0);
        m_pid = 0;
    }
    return m_pid > 0;
}

void Process::kill()
{
    m_watchedPid = 0;
    if (m_pid > 0) {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = 0;
    }
}

}
