#include "billing/usagewindowreporter.h"

#include "billing/usagerecords.h"
#include "election/leaderelection.h"
#include "http/socketoptions.h"
#include "platform/dutycalls.h"

#include <algorithm>
#include <charconv>

namespace Basilbend
{

namespace
{

constexpr Milliseconds RetryPause{300};
constexpr Milliseconds ResponseTimeout{1500};
constexpr Milliseconds ConnectTimeout{500};
/// Maximum number of past windows that a new leader reports. A new system starts with the window in which it starts.
constexpr std::int64_t MaxBacklogWindows = 12;
/// Number of windows for which sealed totals are retained, longer than a report can be in transit.
constexpr std::int64_t RetainedSealedWindows = 24;
/// Maximum number of removals in one commit, besides the write.
constexpr std::size_t MaxRemovals = 30;

}

UsageWindowReporter::UsageWindowReporter(MetadataStore &store,
                                         EventLoop loop,
                                         EventLog &log,
                                         Metrics &metrics,
                                         WebClient &client,
                                         UsageWindowReporterSettings settings,
                                         UsageWindowReporterHooks hooks)
    : m_store(store)
    , m_loop(std::move(loop))
    , m_log(log)
    , m_metrics(metrics)
    , m_client(client)
    , m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
    , m_server(parseSocketEndpoint(m_settings.address))
{
}

Timestamp UsageWindowReporter::windowEnd(std::int64_t window) const
{
    return Timestamp((window + 1) * m_settings.windowSpan.count());
}

void UsageWindowReporter::scheduleStep(Milliseconds pause, void (UsageWindowReporter::*step)())
{
    m_loop.runAfter(pause, [this, step, generation = m_generation] {
        if (generation == m_generation) {
            (this->*step)();
        }
    });
}

void UsageWindowReporter::activate()
{
    ++m_generation;
    readReportedWindow();
}

void UsageWindowReporter::deactivate()
{
    ++m_generation;
    m_call.cancel();
}

void UsageWindowReporter::readReportedWindow()
{
    m_store.get(UsageRecords::ReportedKey, [this, generation = m_generation](const MetadataReply &reply) {
        if (generation != m_generation) {
            return;
        }
        const auto current = m_loop.now().milliseconds() / m_settings.windowSpan.count();
        if (reply.status == MetadataStatus::NotFound) {
            createReportedWindow(current - 1);
            return;
        }
        if (reply.status == MetadataStatus::Done && !reply.items.empty()) {
            const auto &text = reply.items.front().value;
            std::int64_t reported = 0;
            std::from_chars(text.data(), text.data() + text.size(), reported);
            m_window = std::max(reported + 1, current - MaxBacklogWindows);
        } else {
            scheduleStep(RetryPause, &UsageWindowReporter::readReportedWindow);
            return;
        }
        poll();
    });
}

void UsageWindowReporter::createReportedWindow(std::int64_t window)
{
    // Written before the first report, so that a new leader knows which window to start with.
    const MetadataChange change{{{UsageRecords::ReportedKey, 0}}, {{UsageRecords::ReportedKey, std::to_string(window), 0}}, {}};
    m_store.commit(change, [this, generation = m_generation](const MetadataReply &reply) {
        if (generation == m_generation) {
            const bool exists = reply.status == MetadataStatus::Done || reply.status == MetadataStatus::Conflict;
            scheduleStep(exists ? Milliseconds(0) : RetryPause, &UsageWindowReporter::readReportedWindow);
        }
    });
}

void UsageWindowReporter::poll()
{
    const auto now = m_loop.now();
    const auto collectAt = windowEnd(m_window) + CollectDelay;
    if (now < collectAt) {
        scheduleStep(collectAt - now, &UsageWindowReporter::poll);
    } else if (!m_hooks.mayAct()) {
        scheduleStep(RetryPause, &UsageWindowReporter::poll);
    } else {
        collect();
    }
}

void UsageWindowReporter::collect()
{
    m_store.list(UsageRecords::countPrefix(m_window), {}, [this, generation = m_generation](const MetadataReply &reply) {
        if (generation != m_generation) {
            return;
        }
        if (reply.status != MetadataStatus::Done) {
            scheduleStep(RetryPause, &UsageWindowReporter::poll);
            return;
        }
        UsageCounts sum;
        m_countKeys.clear();
        for (const auto &item : reply.items) {
            m_countKeys.push_back(item.key);
            const auto counts = UsageRecords::decodeCounts(item.value);
            if (!counts) {
                m_log.warning("usage_unreadable", {{"key", item.key}});
                continue;
            }
            for (const auto &[workspace, n] : *counts) {
                sum[workspace] += n;
            }
        }
        seal(sum);
    });
}

void UsageWindowReporter::seal(const UsageCounts &counts)
{
    const auto key = UsageRecords::sealedKey(m_window);
    const MetadataChange change{{{key, 0}, {LeaderElection::holderKey(), m_hooks.term()}}, {{key, UsageRecords::encodeCounts(counts), 0}}, {}};
    m_store.commit(change, [this, generation = m_generation, counts](const MetadataReply &reply) {
        if (generation != m_generation) {
            return;
        }
        if (reply.status == MetadataStatus::Done) {
            send(counts);
        } else {
            // Another leader, or this one with a commit whose answer was lost, may have sealed the window with other totals.
            readSealed();
        }
    });
}

void UsageWindowReporter::readSealed()
{
    m_store.get(UsageRecords::sealedKey(m_window), [this, generation = m_generation](const MetadataReply &reply) {
        if (generation != m_generation) {
            return;
        }
        const auto counts = reply.status == MetadataStatus::Done && !reply.items.empty() ? UsageRecords::decodeCounts(reply.items.front().value) : std::nullopt;
        if (counts) {
            send(*counts);
        } else {
            scheduleStep(RetryPause, &UsageWindowReporter::poll);
        }
    });
}

void UsageWindowReporter::send(const UsageCounts &counts)
{
    if (!m_hooks.mayAct()) {
        scheduleStep(RetryPause, &UsageWindowReporter::poll);
        return;
    }
    const auto message = makeUsageReport(m_settings.address, m_settings.holder, m_hooks.term(), m_window, counts);
    auto status = std::make_shared<int>(0);
    auto isOpen = std::make_shared<bool>(true);
    const auto generation = m_generation;
    CallHooks hooks;
    hooks.onHead = [status](const ResponseHead &head) { *status = head.status; };
    hooks.onEnd = [this, generation, status, isOpen, counts](CallOutcome outcome) {
        const bool wasOpen = *isOpen;
        *isOpen = false;
        if (wasOpen && generation == m_generation) {
            handleReportResponse(outcome, *status, counts);
        }
    };
    m_call = m_client.send(m_server, message, std::move(hooks), ConnectTimeout);
    m_loop.runAfter(ResponseTimeout, [this, generation, isOpen, counts] {
        if (*isOpen && generation == m_generation) {
            *isOpen = false;
            m_call.cancel();
            handleReportResponse(CallOutcome::ClosedUnanswered, 0, counts);
        }
    });
}

void UsageWindowReporter::handleReportResponse(CallOutcome outcome, int status, const UsageCounts &counts)
{
    std::uint64_t total = 0;
    for (const auto &[workspace, n] : counts) {
        total += n;
    }
    const auto age = m_loop.now() - windowEnd(m_window);
    if (outcome == CallOutcome::Complete && status == 200) {
        m_log.info("usage_reported", {{"window", m_window}, {"requests", total}, {"token", m_hooks.term()}, {"age_ms", age}});
        m_metrics.count("basilbend_usage_reports_total");
        if (age > m_settings.reportDeadline) {
            m_metrics.count("basilbend_usage_reports_late_total");
            m_log.warning("usage_reported_late", {{"window", m_window}, {"age_ms", age}, {"due_ms", m_settings.reportDeadline}});
        }
        recordReported();
        return;
    }
    m_log.warning("usage_not_reported", {{"window", m_window}, {"end", callOutcomeName(outcome)}, {"status", status}, {"age_ms", age}});
    scheduleStep(RetryPause, &UsageWindowReporter::readSealed);
}

void UsageWindowReporter::recordReported()
{
    MetadataChange change;
    change.preconditions.push_back({LeaderElection::holderKey(), m_hooks.term()});
    change.writes.push_back({UsageRecords::ReportedKey, std::to_string(m_window), 0});
    m_countKeys.resize(std::min(m_countKeys.size(), MaxRemovals));
    change.removals = m_countKeys;
    change.removals.push_back(UsageRecords::sealedKey(m_window - RetainedSealedWindows));
    m_store.commit(change, [this, generation = m_generation, window = m_window](const MetadataReply &reply) {
        // A new leader that does not find the key updated reports the window again with its sealed totals.
        if (generation == m_generation && reply.status != MetadataStatus::Done) {
            m_log.warning("usage_position_not_written", {{"window", window}, {"store", metadataStatusName(reply.status)}});
        }
    });
    ++m_window;
    poll();
}

}
