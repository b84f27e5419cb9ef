#pragma once

#include "net/httpserver.h"
#include "standins/standin.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace Basilbend
{

/// Serves a stand-in over HTTP by the process clock. Calls of the stand-in are made one at a time.
class StandInServer
{
public:
    /// Port 0 takes a free one. Throws std::system_error when the address can't be bound.
    StandInServer(std::unique_ptr<StandIn> standIn, const std::string &address, std::uint16_t port);
    ~StandInServer();
    StandInServer(const StandInServer &) = delete;
    StandInServer &operator=(const StandInServer &) = delete;

    std::uint16_t port() const;

    /// "http://ADDRESS:PORT".
    std::string url() const;

    nlohmann::json stats();

    /// Throws boost::outcome_v2::bad_result_access on an unknown switch.
    void setFaults(const nlohmann::json &faults);

    /// Closes all connections without answers, as a killed process does. What the stand-in counted can still be read.
    void stop();

private:
    void runTicks();

    std::unique_ptr<StandIn> m_standIn;
    std::mutex m_mutex;
    std::string m_address;
    std::atomic<bool> m_stopping{false};
    HttpServer m_server;
    std::thread m_ticker;
};

}
