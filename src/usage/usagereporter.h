#pragma once

#include "fleet/ordersender.h"
#include "usage/sealedwindow.h"
#include "usage/usagebatch.h"

namespace Basilbend
{

struct UsageReporterCounts {
    std::uint64_t acknowledged = 0;
    std::uint64_t refused = 0;
    std::uint64_t unreadable = 0;
};

/// Sends the sealed windows of a shard in order, each until it is acknowledged with a 2xx status. Figures come from the sealed
/// window only, so that every repeat, by whichever process, has the same ones.
class UsageReporter
{
public:
    UsageReporter(Leadership &leadership, OrderSender &sender, UsageKeys keys, Store &store, NowFunction now, Milliseconds retryPeriod = Milliseconds(5000));
    UsageReporter(const UsageReporter &) = delete;
    UsageReporter &operator=(const UsageReporter &) = delete;

    /// Starts what is due; call it at least once a second.
    void tick();

    const UsageReporterCounts &counts() const
    {
        return m_counts;
    }

private:
    void readProgress();
    void readSealed();
    void place(const SealedWindow &sealed);
    void finish(OrderEnd end, int status);
    void writeProgress();

    Leadership &m_leadership;
    OrderSender &m_sender;
    const UsageKeys m_keys;
    Store &m_store;
    const NowFunction m_now;
    const Milliseconds m_retryPeriod;
    UsageReporterCounts m_counts;

    bool m_busy = false;
    bool m_positioned = false;
    bool m_progressDue = false;
    UsageProgress m_progress;
    std::uint64_t m_progressVersion = 0;
    std::uint64_t m_next = 0;
    std::uint64_t m_write = 0;
    Timestamp m_nextTry;
};

}
