#pragma once

#include "base/eventloop.h"
#include "base/random.h"
#include "daemon/daemonsettings.h"
#include "daemon/loopdelaymonitor.h"
#include "http/connectionbudget.h"
#include "http/webclient.h"
#include "http/webserver.h"
#include "log/eventlog.h"
#include "metadata/relayedtransport.h"
#include "net/metrics.h"
#include "platform/platformstore.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <functional>
#include <memory>
#include <string>

namespace Basilbend
{

/// The parts that all daemons share: event loop, log, metrics and their server, the HTTP client, the metadata store, and the
/// handling of signals and of changes of the settings file.
class DaemonRuntime
{
public:
    DaemonRuntime(std::string settingsFile, DaemonSettings settings);
    ~DaemonRuntime();
    DaemonRuntime(const DaemonRuntime &) = delete;
    DaemonRuntime &operator=(const DaemonRuntime &) = delete;

    /// Runs the event loop until quit() is called, which onStopRequested has to arrange.
    void run();

    /// Makes run() return.
    void quit();

    asio::io_context &io()
    {
        return m_io;
    }
    const DaemonSettings &settings() const
    {
        return m_settings;
    }
    const std::string &incarnation() const
    {
        return m_incarnation;
    }
    const EventLoop &loop() const
    {
        return m_loop;
    }
    EventLog &log()
    {
        return m_log;
    }
    Metrics &metrics()
    {
        return m_metrics;
    }
    Random &random()
    {
        return m_random;
    }
    WebClient &client()
    {
        return m_client;
    }
    PlatformStore &store()
    {
        return m_store;
    }
    /// Adds to the hooks of a server what all servers of the process share.
    ServerHooks sharedServerHooks(ServerHooks hooks);

    RelayedTransport &relay()
    {
        return m_relay;
    }

    /// Called once, at the first SIGTERM or SIGINT.
    std::function<void()> onStopRequested;
    /// Called when the settings file has changed and the new settings are valid and in force.
    std::function<void()> onSettingsChanged;
    /// Called before the metrics are served, to update gauges.
    std::function<void()> onMetricsRequested;
    /// Called about once a second with the delay of the event loop.
    std::function<void(const LoopDelay &)> onLoopDelayMeasured;

private:
    void waitForSignal();
    void scheduleHousekeeping();
    void runHousekeeping();
    void recordLoopDelay(const LoopDelay &delay);
    void logStoreCalls();
    void reload(const char *why);
    void serveMetrics();
    static std::size_t writeLog(std::string_view bytes);

    std::string m_settingsFile;
    std::string m_settingsText;
    DaemonSettings m_settings;
    std::string m_incarnation;
    asio::io_context m_io;
    EventLoop m_loop;
    EventLog m_log;
    Metrics m_metrics;
    Random m_random;
    WebClient m_client;
    DirectTransport m_directTransport;
    RelayedTransport m_relay;
    PlatformStore m_store;
    asio::signal_set m_signals;
    /// Limits what the connections of clients use, at all listening addresses together.
    std::shared_ptr<ConnectionBudget> m_connectionBudget;
    std::unique_ptr<WebServer> m_metricsServer;
    PlatformStoreCounts m_loggedCounts;
    LoopDelayMonitor m_loopDelay;
    int m_housekeepingRuns = 0;
    bool m_isStopping = false;
};

}
