#pragma once

#include "base/eventloop.h"
#include "http/webclient.h"
#include "soak/invariantchecker.h"
#include "soak/soaksystem.h"

#include <asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <string>

namespace Basilbend
{

/// Changes the configuration again and again and asks each gateway which one it has in force. A gateway that has had no fault itself, and
/// whose store has had none, must handle a request by a configuration that was acknowledged longer ago than the bound; faults of
/// other processes are no excuse.
class ConfigurationJudge
{
public:
    ConfigurationJudge(asio::io_context &io, EventLoop loop, InvariantChecker &checker, SoakSystem &system);

    /// interval: time between two configurations.
    void start(Milliseconds interval);
    void stop();

    /// Number of answers that were judged.
    std::size_t judgedCount() const
    {
        return m_judgedCount;
    }

private:
    struct Probe {
        std::string gateway;
        std::uint64_t configuration;
        Milliseconds age;
        /// The route exists in this configuration alone, and must no longer be known.
        bool isOfDroppedRoute;
        int status = 0;
        std::string body{};
    };

    void changeLater(Milliseconds interval);
    void askAll();
    void ask(SoakNode &node, Probe probe, const std::string &path);
    void judge(const SoakNode &node, const Probe &probe);

    EventLoop m_loop;
    InvariantChecker &m_checker;
    SoakSystem &m_system;
    WebClient m_client;
    std::map<std::uint64_t, ClientCall> m_calls;
    std::uint64_t m_lastCall = 0;
    std::size_t m_judgedCount = 0;
    bool m_isStopped = true;
};

}
