#pragma once

#include "base/eventloop.h"
#include "billing/usagecounts.h"
#include "http/webclient.h"
#include "log/eventlog.h"
#include "metadata/metadatastore.h"
#include "net/metrics.h"

#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Basilbend
{

struct UsageWindowReporterSettings {
    std::string holder;
    /// Address of the platform's API, "IP:PORT".
    std::string address;
    Milliseconds windowSpan{5000};
    /// Time after the end of a window within which its report is due.
    Milliseconds reportDeadline{10000};
};

struct UsageWindowReporterHooks {
    std::function<bool()> mayAct;
    std::function<std::uint64_t()> term;
};

/// Reports usage windows to the platform while this process leads: adds up the counts of all processes, seals the totals in
/// the metadata store and sends them. Only sealed totals are sent, so a window is never reported with two different totals,
/// whichever process reports it and however often.
class UsageWindowReporter
{
public:
    UsageWindowReporter(MetadataStore &store,
                        EventLoop loop,
                        EventLog &log,
                        Metrics &metrics,
                        WebClient &client,
                        UsageWindowReporterSettings settings,
                        UsageWindowReporterHooks hooks);

    /// Starts to report with the window after the newest reported one.
    void activate();
    void deactivate();

    /// Time after the end of a window at which its counts are assumed to be complete.
    static constexpr Milliseconds CollectDelay{4500};

private:
    void readReportedWindow();
    void createReportedWindow(std::int64_t window);
    void poll();
    void collect();
    void seal(const UsageCounts &counts);
    void readSealed();
    void send(const UsageCounts &counts);
    void handleReportResponse(CallOutcome outcome, int status, const UsageCounts &counts);
    void recordReported();
    void scheduleStep(Milliseconds pause, void (UsageWindowReporter::*step)());
    Timestamp windowEnd(std::int64_t window) const;

    MetadataStore &m_store;
    EventLoop m_loop;
    EventLog &m_log;
    Metrics &m_metrics;
    WebClient &m_client;
    UsageWindowReporterSettings m_settings;
    UsageWindowReporterHooks m_hooks;
    asio::ip::tcp::endpoint m_server;
    /// Number of the window to report next, counted in spans of windowSpan since the Unix epoch.
    std::int64_t m_window = 0;
    std::vector<std::string> m_countKeys;
    std::uint64_t m_generation = 0;
    ClientCall m_call;
};

}
