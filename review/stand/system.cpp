#include "stand/system.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Basilbend::Review
{

namespace
{

std::string address(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::string quoted(const std::string &text)
{
    return "\"" + text + "\"";
}

}

Process::Process(std::vector<std::string> command, std::vector<std::string> variables, std::string logFile)
{
    std::vector<char *> arguments;
    for (auto &word : command) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    std::vector<char *> environment;
    for (auto &variable : variables) {
        environment.push_back(variable.data());
    }
    environment.push_back(nullptr);
    const int log = ::open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    m_pid = ::fork();
    if (m_pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execve(arguments.front(), arguments.data(), environment.data());
        ::_exit(127);
    }
    ::close(log);
}

Process::~Process()
{
    kill();
}

void Process::signal(int number) const
{
    if (m_pid > 0) {
        ::kill(m_pid, number);
    }
}

void Process::kill()
{
    if (m_pid > 0) {
        ::kill(m_pid, SIGKILL);
        ::kill(m_pid, SIGCONT);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = 0;
    }
}

bool Process::isRunning()
{
    if (m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
        m_pid = 0;
    }
    return m_pid > 0;
}

std::uint16_t freePort(asio::io_context &io)
{
    // Below the ports that the system assigns to outgoing connections, so that a process can be started again at its port.
    static std::uint16_t last = static_cast<std::uint16_t>(11000 + ::getpid() % 800 * 25);
    while (true) {
        asio::ip::tcp::acceptor acceptor(io);
        acceptor.open(asio::ip::tcp::v4());
        asio::error_code ec;
        acceptor.bind({asio::ip::address_v4::loopback(), ++last}, ec);
        if (!ec) {
            return last;
        }
    }
}

std::vector<Node> startNodes(asio::io_context &io, const Platform &platform, const std::string &directory, int gateways, int schedulers)
{
    std::vector<std::string> peers;
    for (int i = 0; i < gateways; ++i) {
        peers.push_back(address(freePort(io)));
    }
    std::string peerList;
    for (std::size_t i = 0; i < peers.size() && i < 3; ++i) {
        peerList += (i == 0 ? "" : ",") + quoted(peers[i]);
    }
    const auto common = [&](const std::string &role, const std::string &name, const std::string &processes) {
        return "role: " + role + "\nnode: " + quoted(name) + "\nzone: \"z0\"\nprocesses: " + quoted(processes) + "\npeers: [" + peerList
            + "]\nmetrics: " + quoted(address(freePort(io))) + "\nstore: " + quoted(address(platform.storePort()))
            + "\nreports: " + quoted(address(platform.reportsPort())) + "\nusage_window_seconds: 5\nregions:\n  \"z0\": \"r0\"\n";
    };
    std::vector<Node> nodes;
    for (int i = 0; i < gateways + schedulers; ++i) {
        const bool isGateway = i < gateways;
        const std::string role = isGateway ? "gateway" : "scheduler";
        Node node;
        node.name = role + std::to_string(isGateway ? i : i - gateways);
        auto settings = common(role, node.name, isGateway ? peers[static_cast<std::size_t>(i)] : address(freePort(io)));
        if (isGateway) {
            node.clients = address(freePort(io));
            node.readiness = address(freePort(io));
            settings += "clients: " + quoted(node.clients) + "\nreadiness: " + quoted(node.readiness);
            settings += "\nwithdrawal_seconds: 5000e-3\nendpoint_leave_seconds: 2000e-3\ngrace_seconds: 8\n";
        } else {
            settings += "usage_due_seconds: 10\nbatch_cancel_seconds: 3000e-3\nleader_turn_seconds: 3000e-3\n";
        }
        const auto file = directory + "/" + node.name + ".yaml";
        std::ofstream(file) << settings;
        node.process = std::make_unique<Process>(std::vector<std::string>{"target/basilbend", role},
                                                 std::vector<std::string>{"BASILBEND_CONFIG=" + file, "PATH=/usr/bin:/bin"},
                                                 directory + "/" + node.name + ".log");
        nodes.push_back(std::move(node));
    }
    return nodes;
}

}
