#pragma once

#include "http/webserver.h"
#include "soak/soakprocess.h"
#include "soak/storeserver.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <string>

namespace Basilbend
{

/// The listening addresses of a process of the system.
enum class Listener {
    Clients,
    Readiness,
    Processes,
    Metrics,
};

/// A gateway or a scheduler as a process on the loopback interface, with the memory of the smallest host. The metadata store and one
/// endpoint run in the test.
class TargetProcess
{
public:
    /// role: "gateway" or "scheduler". descriptors: limit on its open descriptors; zero: that of the test. Returns when the process
    /// serves requests.
    TargetProcess(asio::io_context &io, const std::string &role, std::uint64_t descriptors = 0);
    ~TargetProcess();

    asio::ip::tcp::endpoint addressOf(Listener listener) const;

    /// Whether the process is alive and its memory has stayed below MaxMemoryKib and its open descriptors below the limit. Reports what
    /// is wrong as a failure of the test.
    void checkLimits();

    /// Sends one ordinary request to each listener of the process and fails the test unless each is answered with its usual status.
    void checkServes();

    /// Highest resident memory of the process so far; zero if it has ended.
    long peakMemoryKib() const;
    std::size_t openDescriptors() const;

    /// Memory of the smallest host that runs a process.
    static constexpr long MaxMemoryKib = 110 * 1024;
    /// Descriptors that must stay free for calls to endpoints, the store and other processes.
    static constexpr std::uint64_t ReservedDescriptors = 32;

private:
    /// Status of the response; zero if there is none.
    int statusOf(Listener listener, const std::string &target);
    void publish();
    bool isServing();

    asio::io_context &m_io;
    std::string m_role;
    std::uint64_t m_descriptors;
    std::string m_directory;
    StoreServer m_store;
    WebServer m_endpoint;
    std::uint16_t m_firstPort = 0;
    std::unique_ptr<SoakProcess> m_process;
};

}
