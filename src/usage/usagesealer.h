#pragma once

#include "leadership/leadership.h"
#include "store/createonce.h"
#include "usage/sealedwindow.h"
#include "usage/usagebatch.h"

namespace Basilbend
{

struct UsageSealerSettings {
    Milliseconds windowLength{60000};

    /// A window is sealed this long after its end, and not sooner than this after the store failed a call, so that entries
    /// have written their batches.
    Milliseconds grace{30000};
    Milliseconds retryPeriod{1000};
};

struct UsageSealerCounts {
    std::uint64_t sealed = 0;
    std::uint64_t sealedByOthers = 0;
    std::uint64_t unreadable = 0;
};

/// Seals the usage windows of a shard one after another. Being in charge only saves work: a sealed window is created once,
/// so that two sealers at the same time can't seal it differently.
class UsageSealer
{
public:
    UsageSealer(Leadership &leadership, UsageSealerSettings settings, UsageKeys keys, Store &store, NowFunction now);
    UsageSealer(const UsageSealer &) = delete;
    UsageSealer &operator=(const UsageSealer &) = delete;

    /// Starts what is due; call it at least once a second.
    void tick();

    const UsageSealerCounts &counts() const
    {
        return m_counts;
    }

private:
    void readProgress();
    void startChain();
    void readSealed(std::uint64_t window);
    void pass(const StoreEntry &entry);
    void listBatches();
    void seal(const std::vector<StoreEntry> &entries);
    void create();
    void finish(const CreateOutcome &outcome);
    void fail();

    Leadership &m_leadership;
    const UsageSealerSettings m_settings;
    const UsageKeys m_keys;
    Store &m_store;
    const NowFunction m_now;
    UsageSealerCounts m_counts;

    bool m_busy = false;
    bool m_positioned = false;
    std::uint64_t m_next = 0;
    /// True once the next window is known not to be sealed yet.
    bool m_atEnd = false;
    std::uint64_t m_includedVersion = 0;
    UsageFigures m_carried;
    /// The bytes of a create with an unknown outcome.
    std::string m_text;
    std::string m_progressText;
    std::uint64_t m_write = 0;
    Timestamp m_nextTry;
    Timestamp m_lastFailure;
};

}
