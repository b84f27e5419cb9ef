#pragma once

#include "stand/platform.h"

#include <string>
#include <sys/types.h>
#include <vector>

namespace Basilbend::Review
{

/// A separate process that the case has started. It is killed when the object is destroyed.
class Process
{
public:
    /// variables are NAME=VALUE pairs for the environment of the process. The output goes to the log file.
    Process(std::vector<std::string> command, std::vector<std::string> variables, std::string logFile);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void signal(int number) const;
    /// Kills the process and waits for its end.
    void kill();
    /// Whether the process still runs.
    bool isRunning();

private:
    pid_t m_pid = 0;
};

struct Node {
    std::string name;
    /// Address for consumers; empty for schedulers.
    std::string clients;
    std::string readiness;
    std::unique_ptr<Process> process;
};

/// Starts gateways and schedulers with the commands of the deploy file. All ports are free ones.
std::vector<Node> startNodes(asio::io_context &io, const Platform &platform, const std::string &directory, int gateways, int schedulers);

/// Returns a free port of the loopback address.
std::uint16_t freePort(asio::io_context &io);

}
