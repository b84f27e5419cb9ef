#pragma once

#include "base/random.h"
#include "store/store.h"
#include "store/virtualtime.h"

#include <list>
#include <map>

namespace Basilbend
{

/// Fault switches of a FakeStore. Probabilities are per call, in [0, 1].
struct FakeStoreFaults {
    /// Every call fails with StoreUnavailable and writes nothing.
    bool outage = false;

    /// Time to each answer; the effect takes place after half of it.
    Milliseconds latency{2};

    /// The write takes effect and its answer is lost.
    double loseAnswer = 0;

    /// The answer is reported as lost at once and the write takes effect later, after delayedEffect.
    double delayWrite = 0;
    Milliseconds delayedEffect{500};

    /// The call fails with StoreUnavailable and writes nothing.
    double failCall = 0;
};

/// Calls that a FakeStore received, refused ones included.
struct FakeStoreCounts {
    std::uint64_t gets = 0;
    std::uint64_t lists = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t writtenBytes = 0;

    std::uint64_t total() const
    {
        return gets + lists + writes + watches;
    }
};

/// The platform's key-value service in virtual time, for tests and benchmarks.
class FakeStore : public Store
{
public:
    FakeStore(VirtualTime &time, std::uint64_t seed);

    void get(const std::string &key, EntryCallback callback) override;
    void list(const std::string &prefix, std::uint64_t afterVersion, ListCallback callback) override;
    void compareAndSwap(const std::string &key, std::uint64_t expectedVersion, const std::string &value, Milliseconds lease, WriteCallback callback) override;
    void watch(const std::string &prefix, std::uint64_t afterVersion, Milliseconds span, ListCallback callback) override;

    FakeStoreFaults faults;

    /// The answer of the next write is lost after the write took effect.
    void loseNextAnswer()
    {
        m_loseNext = true;
    }

    const FakeStoreCounts &counts() const
    {
        return m_counts;
    }

    /// What the service holds now, without a call being counted.
    std::optional<StoreEntry> peek(const std::string &key) const;
    std::vector<StoreEntry> peekAll(const std::string &prefix, std::uint64_t afterVersion = 0) const;

private:
    struct Slot {
        std::string value;
        std::uint64_t version = 0;
        std::optional<Timestamp> expiry;
    };
    struct Waiter {
        std::uint64_t id = 0;
        std::string prefix;
        std::uint64_t afterVersion = 0;
        ListCallback callback;
    };

    bool fails();
    Result<std::uint64_t> write(const std::string &key, std::uint64_t expectedVersion, const std::string &value, Milliseconds lease);
    bool isLive(const Slot &slot) const;
    void wakeWaiters(const std::string &key);
    void answerWaiter(std::list<Waiter>::iterator it);

    VirtualTime &m_time;
    Random m_random;
    FakeStoreCounts m_counts;
    std::map<std::string, Slot> m_slots;
    /// Keys by version of their last write, so that a list after a version does not visit all keys.
    std::map<std::uint64_t, std::string> m_byVersion;
    std::list<Waiter> m_waiters;
    std::uint64_t m_version = 0;
    std::uint64_t m_nextWaiter = 0;
    bool m_loseNext = false;
};

}
