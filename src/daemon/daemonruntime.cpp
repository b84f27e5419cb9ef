#include "daemon/daemonruntime.h"

#include "base/systemclock.h"
#include "base/textfile.h"
#include "http/asioeventloop.h"
#include "http/socketoptions.h"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <malloc.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <sys/resource.h>
#include <unistd.h>

namespace Basilbend
{

namespace
{

constexpr Milliseconds LogFlushInterval{250};
/// Delays of the event loop from this on are logged.
constexpr Milliseconds LongLoopDelay{100};
/// Upper bound of the random number that selects the first peer of a process, so that one peer does not relay for all.
constexpr std::uint64_t FirstPeerBound = 64;
/// The settings file is checked periodically, because the platform may change it without a signal.
constexpr int FlushesPerSettingsCheck = 4;
constexpr int FlushesPerStoreCallsLine = 40;

std::string makeIncarnation()
{
    std::random_device device;
    std::ostringstream text;
    text << std::hex << systemNow().milliseconds() << "-" << device();
    return text.str();
}

/// Blocks of this size and more are returned to the system as soon as they are freed. Large bodies that grow side by side would otherwise
/// leave gaps of about their own size in the heap.
constexpr int LargeBlockBytes = 128 * 1024;

/// Raises the limit of open descriptors, and so of connections, to the hard limit of the system. Returns the limit.
std::size_t raiseDescriptorLimit()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
    return availableDescriptors();
}

}

DaemonRuntime::DaemonRuntime(std::string settingsFile, DaemonSettings settings)
    : m_settingsFile(std::move(settingsFile))
    , m_settingsText(readTextFile(m_settingsFile).value_or(std::string()))
    , m_settings(std::move(settings))
    , m_incarnation(makeIncarnation())
    , m_io(1)
    , m_loop(asioEventLoop(m_io))
    , m_log(EventLogSettings{m_settings.node, m_incarnation}, systemNow, writeLog)
    , m_random(std::hash<std::string>()(m_incarnation))
    , m_client(m_io, systemNow)
    , m_directTransport(m_client, m_loop, parseSocketEndpoint(m_settings.storeAddress))
    , m_relay(m_directTransport, m_client, m_loop, m_log, otherPeers(m_settings), m_random.below(FirstPeerBound), isPeer(m_settings))
    , m_store(m_relay)
    , m_signals(m_io, SIGTERM, SIGINT, SIGHUP)
    , m_connectionBudget(std::make_shared<ConnectionBudget>(connectionLimitsFor(availableMemoryBytes(), raiseDescriptorLimit())))
{
    mallopt(M_MMAP_THRESHOLD, LargeBlockBytes);
    m_connectionBudget->onEvicted = [this](ConnectionEviction reason) {
        m_metrics.count("basilbend_connections_evicted_total", {{"reason", connectionEvictionName(reason)}});
        m_log.warning("connection_evicted",
                      {{"reason", connectionEvictionName(reason)},
                       {"connections", m_connectionBudget->connectionCount()},
                       {"held_bytes", m_connectionBudget->heldBytes()}});
    };
    std::signal(SIGPIPE, SIG_IGN);
    m_log.info("process_started", {{"role", m_settings.role}, {"zone", m_settings.zone}, {"settings_digest", std::hash<std::string>()(m_settingsText)}});
    serveMetrics();
    waitForSignal();
    scheduleHousekeeping();
}

DaemonRuntime::~DaemonRuntime() = default;

std::size_t DaemonRuntime::writeLog(std::string_view bytes)
{
    // When nobody reads the pipe it becomes unwritable; the lines then stay in the log's bounded buffer.
    pollfd descriptor{STDOUT_FILENO, POLLOUT, 0};
    if (::poll(&descriptor, 1, 0) <= 0) {
        return 0;
    }
    // A writable pipe accepts this many bytes without blocking.
    const auto n = ::write(STDOUT_FILENO, bytes.data(), std::min<std::size_t>(bytes.size(), 4096));
    return n > 0 ? static_cast<std::size_t>(n) : 0;
}

void DaemonRuntime::serveMetrics()
{
    auto hooks = defaultServerHooks([this](const std::shared_ptr<ServerExchange> &exchange) {
        if (targetPath(exchange->request().target) != "/metrics") {
            exchange->respond({404, {}, {}});
            return;
        }
        if (onMetricsRequested) {
            onMetricsRequested();
        }
        m_metrics.setGauge("basilbend_server_connections", static_cast<double>(m_connectionBudget->connectionCount()));
        m_metrics.setGauge("basilbend_server_connection_bytes", static_cast<double>(m_connectionBudget->heldBytes()));
        m_metrics.setGauge("basilbend_log_lines_dropped", static_cast<double>(m_log.droppedLines()));
        m_metrics.setGauge("basilbend_outgoing_connections_opened", static_cast<double>(m_client.counts().connects));
        m_metrics.setGauge("basilbend_outgoing_calls_refused", static_cast<double>(m_client.counts().refusedCalls));
        m_metrics.setGauge("basilbend_store_calls", static_cast<double>(m_store.counts().calls));
        m_metrics.setGauge("basilbend_store_calls_unanswered", static_cast<double>(m_store.counts().unanswered));
        exchange->respond({200, {{"Content-Type", "text/plain; version=0.0.4"}}, m_metrics.toText()});
    });
    m_metricsServer = std::make_unique<WebServer>(m_io, m_settings.metricsListenAddress, sharedServerHooks(std::move(hooks)));
}

ServerHooks DaemonRuntime::sharedServerHooks(ServerHooks hooks)
{
    hooks.budget = m_connectionBudget;
    hooks.onHandlerFailed = [this](const std::exception &error) {
        m_metrics.count("basilbend_handler_failures_total");
        m_log.warning("handler_failed", {{"reason", std::string(error.what())}});
    };
    hooks.onAcceptFailed = [this](const asio::error_code &ec) { m_log.warning("accept_failed", {{"reason", ec.message()}}); };
    return hooks;
}

void DaemonRuntime::waitForSignal()
{
    m_signals.async_wait([this](const asio::error_code &ec, int signal) {
        if (ec) {
            return;
        }
        if (signal == SIGHUP) {
            reload("signal");
        } else if (!m_isStopping) {
            m_isStopping = true;
            m_log.info("process_stopping", {{"signal", signal}});
            onStopRequested();
        }
        waitForSignal();
    });
}

void DaemonRuntime::scheduleHousekeeping()
{
    const auto dueAt = m_loop.now() + LogFlushInterval;
    m_loop.runAfter(LogFlushInterval, [this, dueAt] {
        if (const auto delay = m_loopDelay.record(dueAt, m_loop.now())) {
            recordLoopDelay(*delay);
        }
        runHousekeeping();
        scheduleHousekeeping();
    });
}

void DaemonRuntime::runHousekeeping()
{
    m_log.flush();
    ++m_housekeepingRuns;
    if (m_housekeepingRuns % FlushesPerSettingsCheck == 0) {
        reload("changed");
    }
    if (m_housekeepingRuns % FlushesPerStoreCallsLine == 0) {
        logStoreCalls();
    }
}

void DaemonRuntime::recordLoopDelay(const LoopDelay &delay)
{
    m_metrics.observe("basilbend_event_loop_delay_seconds", static_cast<double>(delay.longest.count()) / 1000);
    if (delay.longest >= LongLoopDelay) {
        m_log.warning("event_loop_delayed", {{"longest_ms", delay.longest}, {"mean_ms", delay.mean}});
    }
    if (onLoopDelayMeasured) {
        onLoopDelayMeasured(delay);
    }
}

void DaemonRuntime::logStoreCalls()
{
    const auto counts = m_store.counts();
    const auto &last = m_loggedCounts;
    m_log.info("store_calls",
               {{"gets", counts.gets - last.gets},
                {"lists", counts.lists - last.lists},
                {"watches", counts.watches - last.watches},
                {"commits", counts.commits - last.commits},
                {"lease_calls", counts.leaseCalls - last.leaseCalls},
                {"refused", counts.refused - last.refused},
                {"unanswered", counts.unanswered - last.unanswered}});
    m_loggedCounts = counts;
}

void DaemonRuntime::reload(const char *why)
{
    const auto text = readTextFile(m_settingsFile);
    if (!text || *text == m_settingsText) {
        return;
    }
    m_settingsText = *text;
    auto settings = readDaemonSettings(m_settingsFile, m_settings.role);
    if (!settings) {
        m_log.warning("settings_refused", {{"why", why}, {"reason", settings.error().message}});
        return;
    }
    m_settings = std::move(settings.value());
    m_log.info("settings_reloaded", {{"why", why}, {"settings_digest", std::hash<std::string>()(m_settingsText)}});
    if (onSettingsChanged) {
        onSettingsChanged();
    }
}

void DaemonRuntime::run()
{
    m_io.run();
    m_log.info("process_stopped", {});
    m_log.flush();
}

void DaemonRuntime::quit()
{
    m_io.stop();
}

}
